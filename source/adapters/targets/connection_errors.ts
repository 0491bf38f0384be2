/**
 * Determines whether a connection error proves that nothing was sent.
 *
 * @module
 */

/**
 * While connecting, these codes prove that no connection was established. An
 * established connection can fail with some of them too, after data was sent.
 */
const connectFailureCodes: ReadonlySet<string> = new Set([
  "ECONNREFUSED",
  "EHOSTUNREACH",
  "ENETUNREACH",
]);

/** The `code` of an error; empty when it has none. */
export function codeOfError(error: unknown): string {
  return typeof error === "object" && error !== null && "code" in error
    ? String(error.code)
    : "";
}

/** Whether the error proves that no connection was established. */
export function wasUnreachable(error: unknown): boolean {
  const code = codeOfError(error);
  if (code === "UND_ERR_CONNECT_TIMEOUT") return true;
  return connectFailureCodes.has(code) && isConnectError(error);
}

/** For a host name with several addresses, Node aggregates one error of each. */
function isConnectError(error: unknown): boolean {
  if (error instanceof AggregateError) {
    return error.errors.every(isConnectError);
  }
  return typeof error === "object" && error !== null && "syscall" in error &&
    error.syscall === "connect";
}
