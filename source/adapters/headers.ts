/**
 * Header fields of the product's own protocol between callers, agents and
 * targets.
 *
 * @module
 */
import type { IncomingHttpHeaders, IncomingMessage } from "node:http";
import {
  type Failure,
  isFailureReason,
  notRun,
  type Outcome,
  unknownOutcome,
} from "../core/request/outcome.ts";
import type { Headers } from "../ports/upstream.ts";

/** Names of the header fields. */
export const fields = {
  requestId: "x-request-id",
  key: "geraniumledge-key",
  rank: "geraniumledge-rank",
  deadline: "geraniumledge-deadline-milliseconds",
  /** Time left until the objective; negative once it has passed. */
  objective: "geraniumledge-objective-milliseconds",
  idempotent: "geraniumledge-idempotent",
  outcome: "geraniumledge-outcome",
  reason: "geraniumledge-reason",
  /** In a target's refusal: the id of the request that has not run. */
  refusedRequest: "geraniumledge-refused-request",
  service: "geraniumledge-service",
  /** The service that a request comes from, percent-encoded. */
  account: "geraniumledge-account",
  load: "geraniumledge-load",
  slowness: "geraniumledge-slowness",
  token: "geraniumledge-fencing-token",
  slice: "geraniumledge-slice",
  leaseEnd: "geraniumledge-lease-ends-at",
  clock: "geraniumledge-clock",
  hop: "geraniumledge-hop",
  departure: "geraniumledge-departure",
  retryAfter: "geraniumledge-retry-after-milliseconds",
} as const;

/** Fields that concern one connection only (RFC 9110, section 7.6.1). */
const connectionFields: ReadonlySet<string> = new Set([
  "connection",
  "keep-alive",
  "proxy-authenticate",
  "proxy-authorization",
  "proxy-connection",
  "te",
  "trailer",
  "transfer-encoding",
  "upgrade",
  "expect",
  "host",
]);

/** Fields that only agents may set; not forwarded as they were received. */
const internalFields: ReadonlySet<string> = new Set([
  fields.service,
  fields.account,
  fields.objective,
  fields.load,
  fields.slowness,
  fields.token,
  fields.slice,
  fields.leaseEnd,
  fields.clock,
  fields.hop,
  fields.departure,
]);

/**
 * All header lines of a received message, by lower-case name. Node's own
 * `headers` leaves out the second line of some names, and names that a plain
 * object has without being given them.
 */
export function receivedHeaders(
  { rawHeaders }: Pick<IncomingMessage, "rawHeaders">,
): Headers {
  const received = emptyHeaders();
  for (let index = 0; index < rawHeaders.length; index += 2) {
    const name = (rawHeaders[index] ?? "").toLowerCase();
    const value = rawHeaders[index + 1] ?? "";
    const former = received[name];
    if (former === undefined) received[name] = value;
    else if (typeof former === "string") received[name] = [former, value];
    else former.push(value);
  }
  return received;
}

/** Has no name yet, and none that it inherits. */
function emptyHeaders(): Record<string, string | string[]> {
  return Object.create(null) as Record<string, string | string[]>;
}

/** Returns the fields of a message that are forwarded to the next hop. */
export function forwardableHeaders(
  headers: IncomingHttpHeaders | Headers,
): Headers {
  const dropped = fieldsOfConnection(headers);
  const kept: Record<string, string | readonly string[]> = emptyHeaders();
  for (const [name, value] of Object.entries(headers)) {
    if (value === undefined || connectionFields.has(name)) continue;
    if (internalFields.has(name) || dropped.has(name)) continue;
    kept[name] = value;
  }
  return kept;
}

const commonConnectionValues: ReadonlySet<string> = new Set([
  "",
  "keep-alive",
  "close",
]);
const noFields: ReadonlySet<string> = new Set();

/** Fields that the `connection` field marks as specific to this connection. */
function fieldsOfConnection(
  headers: IncomingHttpHeaders | Headers,
): ReadonlySet<string> {
  const value = String(headers["connection"] ?? "").toLowerCase();
  if (commonConnectionValues.has(value)) return noFields;
  return new Set(value.split(",").map((name) => name.trim()));
}

/** The first value of a field; null when the field is missing. */
export function firstValue(
  headers: IncomingHttpHeaders | Headers,
  name: string,
): string | null {
  const value = headers[name];
  if (value === undefined) return null;
  return typeof value === "string" ? value : value[0] ?? null;
}

/** The failure stated by an answer; null for an answer of the target. */
export function failureFromHeaders(headers: Headers): Failure | null {
  const outcome = firstValue(headers, fields.outcome) as Outcome | null;
  if (outcome === null || outcome === "answered") return null;
  const reason = firstValue(headers, fields.reason) ?? "";
  const validReason = isFailureReason(reason) ? reason : "target-refused";
  if (outcome !== "not-run") return unknownOutcome(validReason);
  const retryAfter = firstValue(headers, fields.retryAfter);
  return notRun(validReason, retryAfter === null ? null : Number(retryAfter));
}

/** Decodes a percent-encoded field value; returns malformed text unchanged. */
export function decodeFieldText(text: string): string {
  try {
    return decodeURIComponent(text);
  } catch {
    return text;
  }
}
