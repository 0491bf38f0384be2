/**
 * Sends one request with undici and buffers its whole answer, without a stream:
 * for answers that are read to their end before any of them is passed on.
 *
 * @module
 */
import { Buffer } from "node:buffer";
import type { Readable } from "node:stream";
import type { Dispatcher } from "undici";
import type { Headers } from "../../ports/upstream.ts";
import { firstValue } from "../headers.ts";

/** A request to send on a connection. */
export interface OutgoingRequest {
  readonly method: string;
  readonly path: string;
  readonly headers: Headers;
  readonly body: Uint8Array | Readable | null;
  /** Aborts the exchange and closes its connection. */
  readonly signal: AbortSignal;
  /** Upper bound of the answer's body; a longer answer is discarded. */
  readonly maxAnswerBytes: number;
}

/** An answer that was received completely. */
export interface WholeAnswer {
  readonly status: number;
  readonly headers: Headers;
  readonly bytes: Uint8Array;
}

/** The error when an answer's body exceeds its upper bound. */
export class AnswerTooLong extends Error {
  constructor(maxAnswerBytes: number) {
    super(`the body of the answer exceeds ${maxAnswerBytes} bytes`);
  }
}

/**
 * Sends a request and reads its answer. On failure, closes the connection and
 * rejects with the error of undici, or with {@link AnswerTooLong}.
 */
export function exchangeWhole(
  connection: Dispatcher,
  request: OutgoingRequest,
): Promise<WholeAnswer> {
  const { signal, maxAnswerBytes } = request;
  return new Promise((resolve, reject) => {
    const chunks: Uint8Array[] = [];
    let length = 0;
    let status = 0;
    let headers: Headers = {};
    let controller: Dispatcher.DispatchController | null = null;
    const fail = (error: Error) => {
      stopListening();
      reject(error);
      // Without a controller the request is unsent; onRequestStart aborts it.
      controller?.abort(error);
    };
    const abort = () => fail(new Error("the request was aborted"));
    signal.addEventListener("abort", abort, { once: true });
    const stopListening = () => signal.removeEventListener("abort", abort);
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
        if (statedLength(headers) > maxAnswerBytes) {
          fail(new AnswerTooLong(maxAnswerBytes));
        }
      },
      onResponseData(_controller, chunk) {
        length += chunk.length;
        if (length > maxAnswerBytes) {
          return fail(new AnswerTooLong(maxAnswerBytes));
        }
        chunks.push(chunk);
      },
      onResponseEnd() {
        stopListening();
        resolve({ status, headers, bytes: concatenate(chunks) });
      },
      onResponseError(_controller, error) {
        stopListening();
        reject(error);
      },
    });
  });
}

/** The stated length of an answer; 0 when it is not stated. */
function statedLength(headers: Headers): number {
  return Number(firstValue(headers, "content-length") ?? 0);
}

function concatenate(chunks: readonly Uint8Array[]): Uint8Array {
  const [first] = chunks;
  return chunks.length === 1 && first !== undefined
    ? first
    : Buffer.concat(chunks);
}
