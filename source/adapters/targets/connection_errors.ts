/**
 * What errors of connections prove.
 *
 * @module
 */

/**
 * In opening a connection these prove that there was none to send on. Once it
 * stands it can end with some of them as well, after anything was sent.
 */
const unreachable: ReadonlySet<string> = new Set([
  "ECONNREFUSED",
  "EHOSTUNREACH",
  "ENETUNREACH",
]);

/** The code of a library's error; empty for none. */
export function codeOfError(error: unknown): string {
  return typeof error === "object" && error !== null && "code" in error
    ? String(error.code)
    : "";
}

/** Whether the error proves that no connection was there to send on. */
export function wasUnreachable(error: unknown): boolean {
  const code = codeOfError(error);
  if (code === "UND_ERR_CONNECT_TIMEOUT") return true;
  return unreachable.has(code) && isOfConnecting(error);
}

/** Connecting to a name with several addresses joins an error of each. */
function isOfConnecting(error: unknown): boolean {
  if (error instanceof AggregateError) {
    return error.errors.every(isOfConnecting);
  }
  return typeof error === "object" && error !== null && "syscall" in error &&
    error.syscall === "connect";
}
