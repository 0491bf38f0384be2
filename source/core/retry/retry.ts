/**
 * Retries: only where a second run is impossible or allowed, within a budget
 * that all requests of the agent share, with random delays, and never past the
 * deadline.
 *
 * @module
 */
import type { Failure, FailureReason } from "../request/outcome.ts";

/** The retry budget and the delays of retries. */
export interface RetrySettings {
  /** How many retries each first attempt adds to the budget. */
  readonly earnedByRequest: number;
  /** The maximum of the budget. */
  readonly maxSaved: number;
  readonly firstDelayMilliseconds: number;
  /** The longest wait for the end of a handover; the deadline if left out. */
  readonly maxWaitMilliseconds?: number;
  readonly maxDelayMilliseconds: number;
  /** The longest wait for a loan of another agent; left out, none is asked. */
  readonly loanTimeoutMilliseconds?: number;
}

/** How many retries may still be sent. */
export interface RetryBudget {
  readonly saved: number;
}

/** A failed attempt. Times are monotonic, in milliseconds. */
export interface FailedAttempt {
  readonly failure: Failure;
  /** The number of the attempt, from 1. */
  readonly attempt: number;
  /** How many attempts so far may have reached a target. */
  readonly reached: number;
  /** How many targets the request may reach; null for no limit. */
  readonly maxAttempts: number | null;
  readonly idempotent: boolean;
  /** Whether the request has a key, so that only the owner can run it. */
  readonly keyed: boolean;
  /** Whether the server that refused has named a later owner of the key. */
  readonly redirected: boolean;
  /** Whether the whole body can be sent again. */
  readonly bodyRepeatable: boolean;
  readonly beganAt: number;
  /** The end of its objective; null for none. */
  readonly objectiveAt: number | null;
  readonly now: number;
  readonly deadlineAt: number;
}

/** What to do after a failed attempt. */
export type RetryDecision =
  | {
    readonly kind: "retry";
    readonly delayMilliseconds: number;
    readonly budget: RetryBudget;
    /** Whether the retry was taken from the budget. */
    readonly usesBudget: boolean;
  }
  | {
    readonly kind: "giveUp";
    readonly budget: RetryBudget;
    /** Whether only the budget was missing for a retry. */
    readonly usesBudget: boolean;
  };

/** The budget that an agent starts with. */
export function createRetryBudget(settings: RetrySettings): RetryBudget {
  return { saved: settings.maxSaved };
}

/** Adds what one first attempt earns to the budget. */
export function earnRetry(
  budget: RetryBudget,
  settings: RetrySettings,
): RetryBudget {
  const saved = Math.min(
    settings.maxSaved,
    budget.saved + settings.earnedByRequest,
  );
  return { saved };
}

/** Reasons after which a retry is pointless. */
const finalReasons: ReadonlySet<FailureReason> = new Set([
  "malformed-request",
  "no-such-service",
  "body-too-large",
  "deadline-passed",
  "deadline-too-near",
  "agent-stopping",
  "configuration-stale",
  "caller-left",
]);

/**
 * Reasons that show a handover: waiting for its end puts no load on a target.
 */
const handoverReasons: ReadonlySet<FailureReason> = new Set([
  "moving",
  "not-owner",
  "lease-ended",
  "no-owner-known",
]);

/**
 * Reasons that show a target is gone, leaving, failing or in a region that is
 * not allowed: another can run the request.
 */
const otherTargetReasons: ReadonlySet<FailureReason> = new Set([
  "target-leaving",
  "target-unreachable",
  "target-failing",
  // The agent beside the target has a newer configuration than the entry.
  "region-not-allowed",
]);

/** The part of its objective for which a request may wait for a handover. */
const waitShareOfObjective = 0.5;

/** After this many attempts at leaving targets the request is refused. */
const maxAgentsAsked = 4;

/** Whether the failed attempt may have reached a target. */
export function reachedTarget(failure: Failure): boolean {
  const { outcome, reason } = failure;
  return outcome === "unknown" || reason === "target-refused";
}

/**
 * Decides whether to send a request again, and after which delay.
 *
 * `random` returns a number from 0 up to but not including 1.
 */
export function decideRetry(
  failed: FailedAttempt,
  options: {
    readonly settings: RetrySettings;
    readonly budget: RetryBudget;
    readonly random: () => number;
  },
): RetryDecision {
  const { budget } = options;
  const { reason, outcome } = failed.failure;
  const giveUp: RetryDecision = { kind: "giveUp", budget, usesBudget: false };
  const free = { kind: "retry", budget, usesBudget: false } as const;
  if (finalReasons.has(reason) || !failed.bodyRepeatable) return giveUp;
  if (outcome === "unknown" && !failed.idempotent) return giveUp;
  const delay = retryDelay(failed.attempt, options);
  if (failed.now + delay >= failed.deadlineAt) return giveUp;
  if (handoverReasons.has(reason)) {
    const waited = failed.now - failed.beganAt;
    if (waited > maxHandoverWait(failed, options.settings)) return giveUp;
    const delayMilliseconds = failed.redirected ? 0 : delay;
    return { ...free, delayMilliseconds };
  }
  if (failed.keyed && reason === "region-not-allowed") return giveUp;
  if (otherTargetReasons.has(reason)) {
    if (failed.attempt >= maxAgentsAsked) return giveUp;
    const delayMilliseconds = failed.keyed ? delay : 0;
    return { ...free, delayMilliseconds };
  }
  if (failed.keyed && reason === "queue-full") return giveUp;
  if (failed.maxAttempts !== null && failed.reached >= failed.maxAttempts) {
    return giveUp;
  }
  if (budget.saved < 1) return { ...giveUp, usesBudget: true };
  return {
    kind: "retry",
    delayMilliseconds: delay,
    budget: { saved: budget.saved - 1 },
    usesBudget: true,
  };
}

/**
 * How long a request may wait for the end of a handover. With most of its
 * objective used, it would miss it, so that its caller had better be told when
 * to retry.
 */
function maxHandoverWait(
  failed: FailedAttempt,
  settings: RetrySettings,
): number {
  const { maxWaitMilliseconds = Infinity } = settings;
  if (failed.objectiveAt === null) return maxWaitMilliseconds;
  const objective = failed.objectiveAt - failed.beganAt;
  return Math.min(maxWaitMilliseconds, objective * waitShareOfObjective);
}

function retryDelay(
  attempt: number,
  options: {
    readonly settings: RetrySettings;
    readonly random: () => number;
  },
): number {
  const { firstDelayMilliseconds, maxDelayMilliseconds } = options.settings;
  const maxMilliseconds = Math.min(
    maxDelayMilliseconds,
    firstDelayMilliseconds * 2 ** (attempt - 1),
  );
  return maxMilliseconds * (0.5 + options.random() / 2);
}
