/**
 * Sends a request to the next hop with undici and reads the header of its
 * answer. When there is no answer, determines whether the request may have run.
 *
 * @module
 */
import { Buffer } from "node:buffer";
import type { Readable } from "node:stream";
import { Result } from "true-myth";
import type { Dispatcher } from "undici";
import {
  type Failure,
  type FailureReason,
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

/** A request to send. */
export interface ExchangeOptions extends AttemptContext {
  readonly headers: Headers;
  readonly body: Body;
  /** Aborts this copy of the request; defaults to the request's own signal. */
  readonly signal?: AbortSignal;
  /** Called when writing starts, after any wait for a connection of the pool. */
  readonly started?: () => void;
  /** Called for each interim (1xx) response before the answer. */
  readonly heard?: () => void;
  /**
   * Why an answer with these header fields does not belong to the request; null
   * if it does. The connection of an answer that does not is closed, and the
   * outcome of the request is unknown.
   */
  readonly faultOfAnswer?: (headers: Headers) => string | null;
}

/**
 * Sends a request on a connection that it does not share meanwhile. A request
 * that is aborted while it waits for a connection has not run.
 */
export async function exchange(
  pool: Dispatcher,
  options: ExchangeOptions,
): Promise<Result<ProxyAnswer, Failure>> {
  const { request, signal = request.signal } = options;
  if (request.signal.aborted) return Result.err(failureOfUnsent(options));
  let started = false;
  const interceptedStart = pool.compose(interceptStart(() => {
    started = true;
    options.started?.();
  }));
  const { faultOfAnswer } = options;
  const intercepted = faultOfAnswer === undefined
    ? interceptedStart
    : interceptedStart.compose(interceptAnswer(faultOfAnswer));
  const ended = new AbortController();
  const abortedUnsent = new Promise<Result<ProxyAnswer, Failure>>((resolve) => {
    const end = () => {
      if (!started) resolve(Result.err(failureOfUnsent(options)));
    };
    signal.addEventListener("abort", end, { signal: ended.signal });
  });
  // A request that is aborted before it is started will not be written later.
  const result = await Promise.race([
    abortedUnsent,
    sendRequest(intercepted, options),
  ]);
  ended.abort();
  return result;
}

async function sendRequest(
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
    if (!isAnswerStatus(response.statusCode)) {
      response.body.on("error", () => undefined).destroy();
      return Result.err(unknownOutcome("connection-lost"));
    }
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

/** Whether a status can be that of an answer, which is then passed on. */
export function isAnswerStatus(status: number): boolean {
  return Number.isInteger(status) && status >= 200 && status <= 599;
}

/**
 * Returns an undici interceptor that calls `onStart` when the writing of a
 * request starts, after any wait for a connection of the pool.
 */
export function interceptStart(
  onStart: () => void,
): Dispatcher.DispatcherComposeInterceptor {
  return (dispatch) => (request, handler) =>
    dispatch(request, {
      ...forwardEvents(handler),
      onRequestStart(controller, context) {
        onStart();
        handler.onRequestStart?.(controller, context);
      },
    });
}

/**
 * Returns an undici interceptor that closes the connection of an answer with a
 * fault. It acts while the header is parsed: once a short answer has been read
 * to its end, its connection may already have the next request.
 */
function interceptAnswer(
  faultOfAnswer: (headers: Headers) => string | null,
): Dispatcher.DispatcherComposeInterceptor {
  return (dispatch) => (request, handler) =>
    dispatch(request, {
      ...forwardEvents(handler),
      onResponseStart(controller, status, headers, message) {
        const fault = faultOfAnswer(headers as Headers);
        if (fault !== null) return controller.abort(new Error(fault));
        handler.onResponseStart?.(controller, status, headers, message);
      },
    });
}

/** A handler that passes all events of a request on to another one. */
function forwardEvents(
  handler: Dispatcher.DispatchHandler,
): Dispatcher.DispatchHandler {
  return {
    onRequestStart: (...event) => handler.onRequestStart?.(...event),
    onResponseStart: (...event) => handler.onResponseStart?.(...event),
    onResponseData: (...event) => handler.onResponseData?.(...event),
    onResponseEnd: (...event) => handler.onResponseEnd?.(...event),
    onResponseError: (...event) => handler.onResponseError?.(...event),
  };
}

/**
 * Converts a body for undici. A stream is not read before the connection is
 * established, so that an unsent request can still be sent elsewhere.
 */
export function bodyToSend(body: Body): Uint8Array | Readable | null {
  if (body.kind === "kept") return body.bytes.length === 0 ? null : body.bytes;
  const chunks = limitBody(body);
  // undici accepts any asynchronous iterable, but its types require a stream.
  return chunks as unknown as Readable;
}

const tooLargeCode = "BODY_TOO_LARGE";

/** Enforces the upper bound on bodies whose length is not stated in advance. */
async function* limitBody(
  body: Body & { readonly kind: "stream" },
): AsyncGenerator<Uint8Array> {
  let bytes = 0;
  for await (const chunk of body.stream.iterator({ destroyOnReturn: false })) {
    bytes += chunk.length;
    if (bytes > body.maxBytes) {
      throw Object.assign(new Error("body too large"), { code: tooLargeCode });
    }
    yield chunk;
  }
}

/** What {@link failureOfError} needs to know of an attempt. */
export interface AttemptContext {
  readonly request: ProxyRequest;
  readonly now: () => number;
}

function failureOfUnsent(attempt: AttemptContext): Failure {
  return notRun(reasonOfAbort(attempt));
}

/** Why a request was aborted: by its deadline, or since its caller has left. */
export function reasonOfAbort({ request, now }: AttemptContext): FailureReason {
  return now() >= request.deadlineAt ? "deadline-passed" : "caller-left";
}

/** Converts an error to a failure: not run if proved by the error, or unknown. */
export function failureOfError(
  error: unknown,
  attempt: AttemptContext,
): Failure {
  if (wasUnreachable(error)) return notRun("target-unreachable");
  if (codeOfError(error) === tooLargeCode) {
    return unknownOutcome("body-too-large");
  }
  if (attempt.request.signal.aborted) {
    return unknownOutcome(reasonOfAbort(attempt));
  }
  return unknownOutcome("connection-lost");
}

/** Buffers a stream to its end; rejects when it is cut off. */
export async function readWhole(body: Readable): Promise<Uint8Array> {
  const chunks: Uint8Array[] = [];
  for await (const chunk of body) chunks.push(chunk as Uint8Array);
  return Buffer.concat(chunks);
}

/** Upper bounds for reading the rest of an answer that is not used. */
const maxDrainedBytes = 65_536;
const maxDrainMilliseconds = 250;

/**
 * Reads and discards the rest of an answer, so that its connection can be
 * reused; closes the connection when the rest exceeds the bounds.
 */
export function drain(body: Readable): void {
  let bytes = 0;
  const timer = setTimeout(() => body.destroy(), maxDrainMilliseconds);
  body.on("close", () => clearTimeout(timer));
  body.on("error", () => undefined);
  body.on("data", (chunk: Uint8Array) => {
    bytes += chunk.length;
    if (bytes > maxDrainedBytes) body.destroy();
  });
}
