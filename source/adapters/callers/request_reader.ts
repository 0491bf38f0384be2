/**
 * Converts an HTTP request to a `ProxyRequest`, the form used on every hop, or
 * explains why the request is refused.
 *
 * @module
 */
import { randomUUID } from "node:crypto";
import { Buffer } from "node:buffer";
import type { IncomingMessage } from "node:http";
import { Readable } from "node:stream";
import { Result } from "true-myth";
import type { Configuration, Service } from "../../core/document/document.ts";
import { type FailureReason } from "../../core/request/outcome.ts";
import type { Body, ProxyRequest } from "../../ports/upstream.ts";
import {
  decodeFieldText,
  fields,
  firstValue,
  forwardableHeaders,
  receivedHeaders,
} from "../headers.ts";
import type { MatchRoute } from "./route_matcher.ts";

/** Why a request is refused, with an explanation for the caller. */
export interface RefusedRequest {
  readonly reason: FailureReason;
  readonly message: string;
}

/** Bodies up to this size are buffered, so that the request can be retried. */
export const defaultMaxKeptBytes = 65_536;

const maxKeyLength = 1_024;
const maxIdLength = 128;

/** Methods that RFC 9110 defines as idempotent. */
const idempotentMethods: ReadonlySet<string> = new Set([
  "GET",
  "HEAD",
  "PUT",
  "DELETE",
  "OPTIONS",
]);

/** Context in which a request is read. */
export interface ReadOptions {
  readonly configuration: Configuration;
  readonly matchRoute: MatchRoute;
  /** Aborted when the request is given up, e.g. when its caller disconnects. */
  readonly signal: AbortSignal;
  /**
   * When the request would have arrived without any transit delay, on the
   * monotonic clock in milliseconds.
   */
  readonly arrivedAt: number;
}

/** Reads a request from a caller, or returns why it is refused. */
export function readCallerRequest(
  message: IncomingMessage,
  options: ReadOptions,
): Result<ProxyRequest, RefusedRequest> {
  const path = message.url ?? "/";
  const route = options.matchRoute(path);
  if (route === null) {
    return refused(
      "no-such-service",
      `no service has a route for the path ${path.slice(0, 200)}`,
    );
  }
  const key = firstValue(message.headers, fields.key) ?? route.key;
  return readFields(message, {
    ...options,
    service: route.service,
    key,
    fromAgent: false,
  });
}

/** Reads a request that another agent forwarded, or returns why it is refused. */
export function readForwardedRequest(
  message: IncomingMessage,
  options: ReadOptions,
): Result<ProxyRequest, RefusedRequest> {
  const name = firstValue(message.headers, fields.service);
  const service = options.configuration.services.find((service) =>
    service.name === name
  );
  if (service === undefined) {
    // The sender may have a newer configuration, so this must not be a 404.
    return refused("configuration-stale", `no service is named ${name}`);
  }
  const encoded = firstValue(message.headers, fields.key);
  const key = encoded === null ? null : decodeFieldText(encoded);
  return readFields(message, { ...options, service, key, fromAgent: true });
}

function readFields(
  message: IncomingMessage,
  options: ReadOptions & {
    readonly service: Service;
    readonly key: string | null;
    /** Agents state a rank by its index, callers by its name. */
    readonly fromAgent: boolean;
  },
): Result<ProxyRequest, RefusedRequest> {
  const { service } = options;
  const id = firstValue(message.headers, fields.requestId) ?? randomUUID();
  if (!/^[\x21-\x7e]+$/.test(id) || id.length > maxIdLength) {
    return malformed(
      `${fields.requestId} must be 1 to ${maxIdLength} visible ASCII characters`,
    );
  }
  const account = options.fromAgent
    ? firstValue(message.headers, fields.account)
    : null;
  const key = readKey(options);
  if (key.isErr) return Result.err(key.error);
  const rank = readRank(message, options);
  if (rank.isErr) return Result.err(rank.error);
  const deadline = readDeadline(message, { ...options, rank: rank.value });
  if (deadline.isErr) return Result.err(deadline.error);
  const idempotent = readIdempotent(message);
  if (idempotent.isErr) return Result.err(idempotent.error);
  const tooLarge = checkBodyLength(message, service);
  if (tooLarge !== null) return Result.err(tooLarge);
  return Result.ok({
    id,
    method: message.method ?? "GET",
    path: message.url ?? "/",
    authority: message.headers.host ?? "",
    headers: forwardableHeaders(receivedHeaders(message)),
    service: service.name,
    key: key.value,
    rank: rank.value,
    idempotent: idempotent.value,
    longestBodyBytes: service.longestBodyBytes,
    maxAttempts: null,
    objectiveAt: options.fromAgent
      ? readObjective(message, options.arrivedAt)
      : null,
    deadlineAt: options.arrivedAt + deadline.value,
    signal: options.signal,
    ...(account === null ? {} : { account: decodeFieldText(account) }),
  });
}

function readKey(options: {
  readonly service: Service;
  readonly key: string | null;
}): Result<string | null, RefusedRequest> {
  const { service, key } = options;
  if (service.keys === null) return Result.ok(null);
  if (key === null || key === "") {
    return malformed(
      `the service ${service.name} is divided by key: state the key in the ` +
        `path or in the field ${fields.key}`,
    );
  }
  if (key.length > maxKeyLength) {
    return malformed(`a key has ${maxKeyLength} characters at most`);
  }
  return Result.ok(key);
}

function readRank(
  message: IncomingMessage,
  options: {
    readonly service: Service;
    readonly configuration: Configuration;
    readonly fromAgent: boolean;
  },
): Result<number, RefusedRequest> {
  const { ranks } = options.configuration;
  const text = firstValue(message.headers, fields.rank);
  if (options.fromAgent && text !== null && /^\d{1,2}$/.test(text)) {
    return Result.ok(Math.min(Number(text), ranks.length - 1));
  }
  const name = text ?? options.service.defaultRank;
  const rank = ranks.findIndex((rank) => rank.name === name);
  if (rank >= 0) return Result.ok(rank);
  const known = ranks.map((rank) => rank.name).join(", ");
  return malformed(`${fields.rank} must be one of: ${known}`);
}

function readDeadline(
  message: IncomingMessage,
  options: {
    readonly service: Service;
    readonly configuration: Configuration;
    readonly rank: number;
  },
): Result<number, RefusedRequest> {
  const maxDeadline = options.service.longestDeadlineMilliseconds;
  const text = firstValue(message.headers, fields.deadline);
  if (text === null) {
    const rank = options.configuration.ranks[options.rank];
    const defaultDeadline = rank?.defaultDeadlineMilliseconds ?? maxDeadline;
    return Result.ok(Math.min(defaultDeadline, maxDeadline));
  }
  if (!/^\d{1,9}$/.test(text) || Number(text) === 0) {
    return malformed(
      `${fields.deadline} must be a whole number of milliseconds above 0`,
    );
  }
  return Result.ok(Math.min(Number(text), maxDeadline));
}

/** Reads the objective, which only agents state, to each other. */
function readObjective(message: IncomingMessage, now: number): number | null {
  const remaining = Number(
    firstValue(message.headers, fields.objective) ?? NaN,
  );
  return Number.isFinite(remaining) ? now + remaining : null;
}

function readIdempotent(
  message: IncomingMessage,
): Result<boolean, RefusedRequest> {
  const text = firstValue(message.headers, fields.idempotent);
  if (text === null) {
    return Result.ok(idempotentMethods.has(message.method ?? "GET"));
  }
  if (text === "true" || text === "false") {
    return Result.ok(text === "true");
  }
  return malformed(`${fields.idempotent} must be true or false`);
}

function checkBodyLength(
  message: IncomingMessage,
  service: Service,
): RefusedRequest | null {
  const length = Number(message.headers["content-length"] ?? 0);
  if (length <= service.longestBodyBytes) return null;
  return {
    reason: "body-too-large",
    message: `the body has ${length} bytes; the service ${service.name} ` +
      `takes ${service.longestBodyBytes} at most`,
  };
}

function refused<Value>(
  reason: FailureReason,
  message: string,
): Result<Value, RefusedRequest> {
  return Result.err({ reason, message });
}

function malformed<Value>(message: string): Result<Value, RefusedRequest> {
  return refused("malformed-request", message);
}

/**
 * Buffers a small body; returns any other as a stream. Null when the sender
 * disconnected before the end of a small body.
 */
export async function readBody(
  message: IncomingMessage,
  options: {
    readonly maxBytes: number;
    /** Bodies up to this size are buffered, so that they can be sent again. */
    readonly maxKeptBytes?: number;
  },
): Promise<Body | null> {
  const { headers } = message;
  const { maxBytes, maxKeptBytes = defaultMaxKeptBytes } = options;
  const chunked = headers["transfer-encoding"] !== undefined;
  const length = Number(headers["content-length"] ?? 0);
  if (length > maxKeptBytes) return streamed(message, maxBytes);
  if (length === 0 && !chunked) {
    return { kind: "kept", bytes: new Uint8Array() };
  }
  return await readOrStream(message, { maxBytes, maxKeptBytes });
}

function streamed(stream: Readable, maxBytes: number): Body {
  return { kind: "stream", stream, used: false, maxBytes: maxBytes };
}

/** Buffers a body; returns it as a stream when it exceeds the buffer limit. */
async function readOrStream(
  message: IncomingMessage,
  options: { readonly maxBytes: number; readonly maxKeptBytes: number },
): Promise<Body | null> {
  const chunks: Uint8Array[] = [];
  let bytes = 0;
  const source = message.iterator({ destroyOnReturn: false });
  try {
    for await (const chunk of source) {
      chunks.push(chunk as Uint8Array);
      bytes += (chunk as Uint8Array).length;
      if (bytes > options.maxKeptBytes) {
        const complete = Readable.from(concatenate(chunks, message), {
          objectMode: false,
        });
        return streamed(complete, options.maxBytes);
      }
    }
  } catch {
    return null;
  }
  return { kind: "kept", bytes: Buffer.concat(chunks) };
}

async function* concatenate(
  first: readonly Uint8Array[],
  rest: IncomingMessage,
): AsyncGenerator<Uint8Array> {
  yield* first;
  yield* rest;
}
