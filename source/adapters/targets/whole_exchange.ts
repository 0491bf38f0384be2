/**
 * One request and its whole answer by undici, without a stream between: for
 * answers that are read to their end before any of them goes on.
 *
 * @module
 */
import { Buffer } from "node:buffer";
import type { Readable } from "node:stream";
import type { Dispatcher } from "undici";
import type { Headers } from "../../ports/upstream.ts";
import { firstValue } from "../headers.ts";

/** A request as it goes out on one connection. */
export interface OutgoingRequest {
  readonly method: string;
  readonly path: string;
  readonly headers: Headers;
  readonly body: Uint8Array | Readable | null;
  /** Ends the wait and closes the connection, however far the answer came. */
  readonly signal: AbortSignal;
  /** Bytes of an answer's body; of one that proves longer nothing is kept. */
  readonly maxAnswerBytes: number;
}

/** An answer that has come to its end. */
export interface WholeAnswer {
  readonly status: number;
  readonly headers: Headers;
  readonly bytes: Uint8Array;
}

/** Rejected with when an answer's body is longer than it may be. */
export class AnswerTooLong extends Error {
  constructor(longestBytes: number) {
    super(`an answer of more than ${longestBytes} bytes`);
  }
}

/**
 * Sends a request and reads its answer; rejects with the library's error, and
 * closes the connection then.
 */
export function exchangeWhole(
  connection: Dispatcher,
  request: OutgoingRequest,
): Promise<WholeAnswer> {
  const { signal, maxAnswerBytes: longestBytes } = request;
  return new Promise((resolve, reject) => {
    const chunks: Uint8Array[] = [];
    let length = 0;
    let status = 0;
    let headers: Headers = {};
    let controller: Dispatcher.DispatchController | null = null;
    const giveUp = (error: Error) => {
      forget();
      reject(error);
      // One that has not been sent yet is given up before it is.
      controller?.abort(error);
    };
    const abort = () => giveUp(new Error("given up"));
    signal.addEventListener("abort", abort, { once: true });
    const forget = () => signal.removeEventListener("abort", abort);
    connection.dispatch({
      method: request.method as Dispatcher.HttpMethod,
      path: request.path,
      headers: request.headers as Record<string, string | string[]>,
      body: request.body,
    }, {
      onRequestStart(started) {
        controller = started;
        if (signal.aborted) abort();
      },
      onResponseStart(_controller, statusCode, fields) {
        status = statusCode;
        headers = fields as Headers;
        if (statedLength(headers) > longestBytes) {
          giveUp(new AnswerTooLong(longestBytes));
        }
      },
      onResponseData(_controller, chunk) {
        length += chunk.length;
        if (length > longestBytes) {
          return giveUp(new AnswerTooLong(longestBytes));
        }
        chunks.push(chunk);
      },
      onResponseEnd() {
        forget();
        resolve({ status, headers, bytes: joined(chunks) });
      },
      onResponseError(_controller, error) {
        forget();
        reject(error);
      },
    });
  });
}

/** 0 for a length that is not stated. */
function statedLength(headers: Headers): number {
  return Number(firstValue(headers, "content-length") ?? 0);
}

function joined(chunks: readonly Uint8Array[]): Uint8Array {
  const [first] = chunks;
  return chunks.length === 1 && first !== undefined
    ? first
    : Buffer.concat(chunks);
}
