/**
 * One request and its whole answer by undici, without a stream between: for
 * answers that are read to their end before any of them goes on.
 *
 * @module
 */
import { Buffer } from "node:buffer";
import type { Readable } from "node:stream";
import type { Dispatcher } from "undici";
import type { Headers } from "../ports/upstream.ts";

/** A request as it goes out on one connection. */
export interface OutgoingRequest {
  readonly method: string;
  readonly path: string;
  readonly headers: Headers;
  readonly body: Uint8Array | Readable | null;
  readonly signal: AbortSignal;
}

/** An answer that has come to its end. */
export interface WholeAnswer {
  readonly status: number;
  readonly headers: Headers;
  readonly bytes: Uint8Array;
}

/** Sends a request and reads its answer; rejects with the library's error. */
export function exchangeWhole(
  connection: Dispatcher,
  request: OutgoingRequest,
): Promise<WholeAnswer> {
  const { signal } = request;
  return new Promise((resolve, reject) => {
    const chunks: Uint8Array[] = [];
    let status = 0;
    let headers: Headers = {};
    let controller: Dispatcher.DispatchController | null = null;
    const abort = () => controller?.abort(new Error("given up"));
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
      },
      onResponseData(_controller, chunk) {
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

function joined(chunks: readonly Uint8Array[]): Uint8Array {
  const [first] = chunks;
  return chunks.length === 1 && first !== undefined
    ? first
    : Buffer.concat(chunks);
}
