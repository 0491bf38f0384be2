/**
 * Estimates the memory that a received message takes, by its header lines and
 * its stated body.
 *
 * @module
 */
import type { IncomingMessage } from "node:http";
import { memoryOfRequest } from "../../core/load/held_memory.ts";

/** Whether a message has a body. */
export function hasBody(message: IncomingMessage): boolean {
  return isChunked(message) || statedLength(message) > 0;
}

/**
 * The value of a header field. Node's `headers` would keep an object of all
 * lines for as long as the message exists.
 */
function fieldOf({ rawHeaders }: IncomingMessage, name: string): string | null {
  const index = rawHeaders.findIndex((text, index) =>
    index % 2 === 0 && text.length === name.length &&
    text.toLowerCase() === name
  );
  return index < 0 ? null : rawHeaders[index + 1] ?? null;
}

function isChunked(message: IncomingMessage): boolean {
  return fieldOf(message, "transfer-encoding") !== null;
}

function statedLength(message: IncomingMessage): number {
  return Number(fieldOf(message, "content-length") ?? 0);
}

/**
 * An estimate of the memory that a message takes until it is answered, with the
 * part of its body that is buffered: `maxKeptBytes` at most.
 */
export function memoryOfMessage(
  message: IncomingMessage,
  maxKeptBytes: number,
): number {
  const { rawHeaders } = message;
  const headerBytes = rawHeaders.reduce(
    (bytes, text) => bytes + text.length,
    message.url?.length ?? 0,
  );
  return memoryOfRequest({
    headerBytes,
    lines: rawHeaders.length / 2,
    bodyBytes: keptBodyBytes(message, maxKeptBytes),
  });
}

/** The part of a body of unstated length that is assumed to be buffered. */
const unstatedShare = 1 / 4;
/** Buffered of a body that is streamed. */
const streamedBytes = 65_536;

function keptBodyBytes(message: IncomingMessage, maxKeptBytes: number): number {
  if (isChunked(message)) return maxKeptBytes * unstatedShare;
  const length = statedLength(message);
  return length > maxKeptBytes ? streamedBytes : length;
}
