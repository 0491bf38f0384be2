/**
 * Discards what is left of a request's body once its answer is written, as the
 * next request on the connection comes after it.
 *
 * @module
 */
import type { IncomingMessage, ServerResponse } from "node:http";

/** A connection with more to discard than this is closed. */
const maxDiscardedBytes = 67_108_864;
/** A connection that has not sent the rest by then is closed. */
const maxDiscardMilliseconds = 30_000;

/** Discards the rest of the body after the answer, however it was read before. */
export function discardAfterAnswer(response: ServerResponse): void {
  const { req: message } = response;
  response.once("finish", () => {
    if (!message.complete && !message.destroyed) discardRest(message);
  });
}

function discardRest(message: IncomingMessage): void {
  let bytes = 0;
  const timer = setTimeout(() => message.destroy(), maxDiscardMilliseconds);
  const stopTimer = () => clearTimeout(timer);
  message.once("end", stopTimer).once("close", stopTimer);
  message.on("error", () => undefined);
  message.on("data", (chunk: Uint8Array) => {
    bytes += chunk.length;
    if (bytes > maxDiscardedBytes) message.destroy();
  });
  // A reader that has stopped in the middle would hold the body back.
  message.removeAllListeners("readable");
  message.resume();
}
