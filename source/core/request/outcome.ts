/**
 * The three outcomes of a request, and why.
 *
 * Invariant: `not-run` is said only with proof that the target never began.
 * Whatever may have begun, and was not answered whole, is `unknown`.
 *
 * @module
 */

import type { VersionedOwner } from "../ownership/table.ts";

/** What a caller is told of its request. */
export type Outcome = "answered" | "not-run" | "unknown";

/** Why a request has no answer of its target. */
export type FailureReason =
  | "malformed-request"
  | "no-such-service"
  | "body-too-large"
  | "queue-full"
  | "deadline-too-near"
  | "deadline-passed"
  | "target-leaving"
  | "agent-stopping"
  | "target-refused"
  | "target-unreachable"
  | "not-owner"
  | "moving"
  | "lease-ended"
  | "no-owner-known"
  | "no-target-known"
  | "configuration-stale"
  | "connection-lost"
  | "caller-left";

/** An attempt that brought no whole answer. */
export interface Failure {
  readonly outcome: "not-run" | "unknown";
  readonly reason: FailureReason;
  /** When to come back, in milliseconds; null where nothing is known. */
  readonly retryAfterMilliseconds: number | null;
  /** Who owns the key, as the server knows that refused; null for unknown. */
  readonly owner: VersionedOwner | null;
}

/** A failure with proof that nothing began. */
export function notRun(
  reason: FailureReason,
  retryAfterMilliseconds: number | null = null,
): Failure {
  return { outcome: "not-run", reason, retryAfterMilliseconds, owner: null };
}

/** A refusal by a server that knows who owns the key instead. */
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
 * What all attempts together prove: one that may have begun can't be made
 * undone by a later one that surely did not.
 */
export function combineFailures(
  earlier: Failure | null,
  latest: Failure,
): Failure {
  return earlier?.outcome === "unknown"
    ? unknownOutcome(latest.reason)
    : latest;
}

const statusOfReason: Readonly<Record<FailureReason, number>> = {
  "malformed-request": 400,
  "no-such-service": 404,
  "body-too-large": 413,
  "queue-full": 503,
  "deadline-too-near": 503,
  "deadline-passed": 504,
  "target-leaving": 503,
  "agent-stopping": 503,
  "target-refused": 503,
  "target-unreachable": 503,
  "not-owner": 503,
  "moving": 503,
  "lease-ended": 503,
  "no-owner-known": 503,
  "no-target-known": 503,
  "configuration-stale": 503,
  "connection-lost": 502,
  "caller-left": 499,
};

/** The HTTP status that tells a caller of a failure. */
export function statusOf(failure: Failure): number {
  return statusOfReason[failure.reason];
}

/** Whether this text names a reason that this release knows. */
export function isFailureReason(text: string): text is FailureReason {
  return Object.hasOwn(statusOfReason, text);
}
