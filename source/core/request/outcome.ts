/**
 * The three outcomes of a request, and the reasons for failures.
 *
 * Invariant: the outcome is `not-run` only with proof that the target never
 * started the request. A request that may have started, and has no complete
 * answer, is `unknown`.
 *
 * @module
 */

import type { VersionedOwner } from "../ownership/table.ts";

/** The outcome of a request, as reported to its caller. */
export type Outcome = "answered" | "not-run" | "unknown";

/** Why a request has no answer from its target. */
export type FailureReason =
  | "malformed-request"
  | "no-such-service"
  | "body-too-large"
  | "queue-full"
  /** The process holds as much for callers as its memory allows. */
  | "memory-full"
  | "deadline-too-near"
  | "deadline-passed"
  | "target-leaving"
  | "agent-stopping"
  | "target-refused"
  /** The target fails requests, and is given only a part of them. */
  | "target-failing"
  | "target-unreachable"
  | "not-owner"
  | "moving"
  | "lease-ended"
  | "no-owner-known"
  | "no-target-known"
  | "region-not-allowed"
  | "configuration-stale"
  | "connection-lost"
  | "caller-left";

/** An attempt that has no complete answer. */
export interface Failure {
  readonly outcome: "not-run" | "unknown";
  readonly reason: FailureReason;
  /** When to retry, in milliseconds from now; null if not known. */
  readonly retryAfterMilliseconds: number | null;
  /**
   * The owner of the key according to the server that refused; null if not
   * known.
   */
  readonly owner: VersionedOwner | null;
}

/** A failure with proof that the request has not started. */
export function notRun(
  reason: FailureReason,
  retryAfterMilliseconds: number | null = null,
): Failure {
  return { outcome: "not-run", reason, retryAfterMilliseconds, owner: null };
}

/** A refusal by a server that is not the owner of the key. */
export function ownedElsewhere(owner: VersionedOwner | null): Failure {
  return { ...notRun("not-owner"), owner };
}

/** A failure after which the request may have taken effect. */
export function unknownOutcome(reason: FailureReason): Failure {
  return {
    outcome: "unknown",
    reason,
    retryAfterMilliseconds: null,
    owner: null,
  };
}

/**
 * The failure of all attempts together: when an earlier attempt may have run,
 * the outcome stays unknown, even if the latest has definitely not run. Of
 * several targets, the one that expects capacity first says when to retry.
 */
export function combineFailures(
  earlier: Failure | null,
  latest: Failure,
): Failure {
  if (earlier?.outcome === "unknown") return unknownOutcome(latest.reason);
  return earlier === null || latest.outcome === "unknown"
    ? latest
    : { ...latest, ...soonerRetry(earlier, latest) };
}

function soonerRetry(
  { retryAfterMilliseconds: earlier }: Failure,
  { retryAfterMilliseconds: latest }: Failure,
): Pick<Failure, "retryAfterMilliseconds"> {
  if (earlier === null) return { retryAfterMilliseconds: latest };
  return { retryAfterMilliseconds: Math.min(earlier, latest ?? earlier) };
}

const statusOfReason: Readonly<Record<FailureReason, number>> = {
  "malformed-request": 400,
  "no-such-service": 404,
  "body-too-large": 413,
  "queue-full": 503,
  "memory-full": 503,
  "deadline-too-near": 503,
  "deadline-passed": 504,
  "target-leaving": 503,
  "agent-stopping": 503,
  "target-refused": 503,
  "target-failing": 503,
  "target-unreachable": 503,
  "not-owner": 503,
  "moving": 503,
  "lease-ended": 503,
  "no-owner-known": 503,
  "no-target-known": 503,
  "region-not-allowed": 503,
  "configuration-stale": 503,
  "connection-lost": 502,
  "caller-left": 499,
};

/** The HTTP status with which a failure is reported to a caller. */
export function statusOf(failure: Failure): number {
  return statusOfReason[failure.reason];
}

/** Whether a text is the name of a reason in this release. */
export function isFailureReason(text: string): text is FailureReason {
  return Object.hasOwn(statusOfReason, text);
}
