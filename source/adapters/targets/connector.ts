/**
 * Opens connections for undici. When one is reset, the answer that is being
 * received on it fails.
 *
 * @module
 */
import { buildConnector } from "undici";

/** Set as the code of a reset, for which undici has no rule of its own. */
const resetCode = "CONNECTION_RESET";

/**
 * Returns a connector for the clients and pools of undici. For an answer without
 * a length, undici takes a reset (ECONNRESET) for the end of the answer, since
 * some systems report it in place of an orderly end. A target that fails while
 * it answers resets its connection too, and its answer is not complete.
 */
export function createConnector(
  timeoutMilliseconds: number,
): buildConnector.connector {
  const connect = buildConnector({ timeout: timeoutMilliseconds });
  return (options, callback) =>
    connect(options, (...connected) => {
      // Called before undici's own listener, which is added later.
      connected[1]?.on("error", (error: NodeJS.ErrnoException) => {
        if (error.code === "ECONNRESET") error.code = resetCode;
      });
      callback(...connected);
    });
}
