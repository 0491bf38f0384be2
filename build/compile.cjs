// Starts the built program that is named as the first argument, and writes the
// compiled code of all that has run by its end.
"use strict";
const { writeFileSync } = require("node:fs");
const { resolve } = require("node:path");
const process = require("node:process");

const [launcher] = process.argv.splice(2, 1);
const { script, compiled } = require(resolve(launcher));

process.on("exit", () => {
  writeFileSync(compiled, script.createCachedData());
  process.exitCode = 0;
});
