/**
 * One request to the next hop and the head of its answer, by undici, and what
 * is proved when there is none.
 *
 * @module
 */
import { Buffer } from "node:buffer";
import type { Readable } from "node:stream";
import { Result } from "true-myth";
import type { Dispatcher } from "undici";
import {
  type Failure,
  notRun,
  unknownOutcome,
} from "../../core/request/outcome.ts";
import type {
  Body,
  Headers,
  ProxyAnswer,
  ProxyRequest,
} from "../../ports/upstream.ts";
import { codeOfError, wasUnreachable } from "./connection_errors.ts";

/** A request as it goes out. */
export interface ExchangeOptions extends AttemptContext {
  readonly headers: Headers;
  readonly body: Body;
  /** Ends this copy; the request's own when left out. */
  readonly signal?: AbortSignal;
  /** Called when it begins to be written, after any wait in the pool. */
  readonly started?: () => void;
  /** Called when something is heard before the answer. */
  readonly heard?: () => void;
}

/**
 * Sends a request on a connection of its own. What is aborted while it waits
 * for one has not run.
 */
export async function exchange(
  pool: Dispatcher,
  options: ExchangeOptions,
): Promise<Result<ProxyAnswer, Failure>> {
  const { request, signal = request.signal } = options;
  if (request.signal.aborted) return Result.err(abortedBefore(options));
  let started = false;
  const noted = pool.compose(interceptStart(() => {
    started = true;
    options.started?.();
  }));
  const ended = new AbortController();
  const unsent = new Promise<Result<ProxyAnswer, Failure>>((resolve) => {
    const end = () => {
      if (!started) resolve(Result.err(abortedBefore(options)));
    };
    signal.addEventListener("abort", end, { signal: ended.signal });
  });
  // What is aborted before it was begun is not written later on.
  const result = await Promise.race([unsent, converse(noted, options)]);
  ended.abort();
  return result;
}

async function converse(
  pool: Dispatcher,
  options: ExchangeOptions,
): Promise<Result<ProxyAnswer, Failure>> {
  const { request, heard } = options;
  try {
    const response = await pool.request({
      method: request.method as "GET",
      path: request.path,
      headers: options.headers as Record<string, string | string[]>,
      body: bodyToSend(options.body),
      signal: options.signal ?? request.signal,
      onInfo: () => heard?.(),
      responseHeaders: null,
    });
    return Result.ok({
      status: response.statusCode,
      headers: response.headers as Headers,
      body: { kind: "stream", stream: response.body },
      load: null,
    });
  } catch (error) {
    return Result.err(failureOfError(error, options));
  }
}

/** Tells when a request begins to be written, after any wait in the pool. */
export function interceptStart(
  onStart: () => void,
): Dispatcher.DispatcherComposeInterceptor {
  return (dispatch) => (request, handler) =>
    dispatch(request, {
      onRequestStart(controller, context) {
        onStart();
        handler.onRequestStart?.(controller, context);
      },
      onResponseStart: (...event) => handler.onResponseStart?.(...event),
      onResponseData: (...event) => handler.onResponseData?.(...event),
      onResponseEnd: (...event) => handler.onResponseEnd?.(...event),
      onResponseError: (...event) => handler.onResponseError?.(...event),
    });
}

/**
 * A stream is read only once the connection stands, so that a request that
 * never left can be sent elsewhere.
 */
export function bodyToSend(body: Body): Uint8Array | Readable | null {
  if (body.kind === "kept") return body.bytes.length === 0 ? null : body.bytes;
  const chunks = limited(body);
  // The library takes any asynchronous iterable, but its types name streams.
  return chunks as unknown as Readable;
}

const tooLargeCode = "BODY_TOO_LARGE";

/** The length of a body is not always stated before it comes. */
async function* limited(
  body: Body & { readonly kind: "stream" },
): AsyncGenerator<Uint8Array> {
  let bytes = 0;
  for await (const chunk of body.stream.iterator({ destroyOnReturn: false })) {
    bytes += chunk.length;
    if (bytes > body.longestBytes) {
      throw Object.assign(new Error("body too large"), { code: tooLargeCode });
    }
    yield chunk;
  }
}

/** What a failure is judged by. */
export interface AttemptContext {
  readonly request: ProxyRequest;
  readonly now: () => number;
}

function abortedBefore(attempt: AttemptContext): Failure {
  const late = attempt.now() >= attempt.request.deadlineAt;
  return notRun(late ? "deadline-passed" : "caller-left");
}

/** What an error in sending proves of the request. */
export function failureOfError(
  error: unknown,
  attempt: AttemptContext,
): Failure {
  if (wasUnreachable(error)) return notRun("target-unreachable");
  if (codeOfError(error) === tooLargeCode) {
    return unknownOutcome("body-too-large");
  }
  if (attempt.request.signal.aborted) {
    const late = attempt.now() >= attempt.request.deadlineAt;
    return unknownOutcome(late ? "deadline-passed" : "caller-left");
  }
  return unknownOutcome("connection-lost");
}

/** Reads a stream to its end; rejects when it breaks off. */
export async function readWhole(body: Readable): Promise<Uint8Array> {
  const chunks: Uint8Array[] = [];
  for await (const chunk of body) chunks.push(chunk as Uint8Array);
  return Buffer.concat(chunks);
}

/** What nobody needs of an answer is read up to this many bytes. */
const mostDrainedBytes = 65_536;
/** And for this long. */
const longestDrainMilliseconds = 250;

/**
 * Reads the rest of an answer that nobody needs, so that its connection can be
 * used again; closes the connection when that rest does not end.
 */
export function drain(body: Readable): void {
  let bytes = 0;
  const timer = setTimeout(() => body.destroy(), longestDrainMilliseconds);
  body.on("close", () => clearTimeout(timer));
  body.on("error", () => undefined);
  body.on("data", (chunk: Uint8Array) => {
    bytes += chunk.length;
    if (bytes > mostDrainedBytes) body.destroy();
  });
}
