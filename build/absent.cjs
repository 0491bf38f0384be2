// Stands in the binary for native extras that the libraries can do without.
throw new Error("not in this binary");
