/**
 * Retries: only when they can't run a request twice, within a budget shared by
 * all requests of the agent, with random delays, never past the deadline.
 *
 * @module
 */
import type { Failure, FailureReason } from "../request/outcome.ts";

/** Settings of the retry budget. */
export interface RetrySettings {
  /** Retries earned by each first attempt. */
  readonly earnedByRequest: number;
  /** Most retries that can be saved up. */
  readonly mostSaved: number;
  readonly firstDelayMilliseconds: number;
  /** The longest wait for the end of a hand-over; its deadline if left out. */
  readonly longestWaitMilliseconds?: number;
  readonly longestDelayMilliseconds: number;
}

/** Retries that may still be sent. */
export interface RetryBudget {
  readonly saved: number;
}

/** One failed attempt, with what the decision depends on. */
export interface FailedAttempt {
  readonly failure: Failure;
  /** Counts from 1. */
  readonly attempt: number;
  /** Attempts so far that may have reached a target. */
  readonly reached: number;
  /** Most targets that the request may reach; null for no bound. */
  readonly mostAttempts: number | null;
  readonly idempotent: boolean;
  /** Whether only the owner of a key can run it. */
  readonly keyed: boolean;
  /** Whether the server that refused knows of a later owner of the key. */
  readonly redirected: boolean;
  /** Whether the whole body can be sent once more. */
  readonly bodyRepeatable: boolean;
  readonly beganAt: number;
  /** The end of its full worth; null for none. */
  readonly objectiveAt: number | null;
  readonly now: number;
  readonly deadlineAt: number;
}

/** What follows a failed attempt. */
export type RetryDecision =
  | {
    readonly kind: "retry";
    readonly delayMilliseconds: number;
    readonly budget: RetryBudget;
  }
  | { readonly kind: "giveUp"; readonly budget: RetryBudget };

/** The budget that an agent starts with. */
export function beginBudget(settings: RetrySettings): RetryBudget {
  return { saved: settings.mostSaved };
}

/** Counts a first attempt towards the budget. */
export function earnRetry(
  budget: RetryBudget,
  settings: RetrySettings,
): RetryBudget {
  const saved = Math.min(
    settings.mostSaved,
    budget.saved + settings.earnedByRequest,
  );
  return { saved };
}

/** Reasons that repeating the request can't change. */
const final: ReadonlySet<FailureReason> = new Set([
  "malformed-request",
  "no-such-service",
  "body-too-large",
  "deadline-passed",
  "deadline-too-near",
  "agent-stopping",
  "configuration-stale",
  "caller-left",
]);

/** A hand-over in progress: waiting for its end costs no target anything. */
const waiting: ReadonlySet<FailureReason> = new Set([
  "moving",
  "not-owner",
  "lease-ended",
  "no-owner-known",
]);

/** The target is gone or going: another one takes the request at once. */
const elsewhere: ReadonlySet<FailureReason> = new Set([
  "target-leaving",
  "target-unreachable",
]);

/** The part of its objective that a request may wait for a hand-over. */
const waitShareOfObjective = 0.5;

/** Agents that are asked for room before the request is refused. */
const mostAgentsAsked = 4;

/** Whether a failed attempt may have reached a target. */
export function reachedTarget(failure: Failure): boolean {
  const { outcome, reason } = failure;
  return outcome === "unknown" || reason === "target-refused";
}

/**
 * Whether to send a request again, and after which delay.
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
  const giveUp: RetryDecision = { kind: "giveUp", budget };
  if (final.has(reason) || !failed.bodyRepeatable) return giveUp;
  if (outcome === "unknown" && !failed.idempotent) return giveUp;
  const delay = delayBefore(failed.attempt, options);
  if (failed.now + delay >= failed.deadlineAt) return giveUp;
  if (waiting.has(reason)) {
    const waited = failed.now - failed.beganAt;
    if (waited > longestWait(failed, options.settings)) return giveUp;
    const delayMilliseconds = failed.redirected ? 0 : delay;
    return { kind: "retry", delayMilliseconds, budget };
  }
  if (elsewhere.has(reason)) {
    if (failed.attempt >= mostAgentsAsked) return giveUp;
    const delayMilliseconds = failed.keyed ? delay : 0;
    return { kind: "retry", delayMilliseconds, budget };
  }
  if (failed.keyed && reason === "queue-full") return giveUp;
  if (budget.saved < 1) return giveUp;
  if (failed.mostAttempts !== null && failed.reached >= failed.mostAttempts) {
    return giveUp;
  }
  return {
    kind: "retry",
    delayMilliseconds: delay,
    budget: { saved: budget.saved - 1 },
  };
}

/**
 * How long the end of a hand-over is waited for. A request that has used most
 * of its objective would be late: its caller is better told when to return.
 */
function longestWait(failed: FailedAttempt, settings: RetrySettings): number {
  const { longestWaitMilliseconds = Infinity } = settings;
  if (failed.objectiveAt === null) return longestWaitMilliseconds;
  const objective = failed.objectiveAt - failed.beganAt;
  return Math.min(longestWaitMilliseconds, objective * waitShareOfObjective);
}

function delayBefore(
  attempt: number,
  options: {
    readonly settings: RetrySettings;
    readonly random: () => number;
  },
): number {
  const { firstDelayMilliseconds, longestDelayMilliseconds } = options.settings;
  const ceiling = Math.min(
    longestDelayMilliseconds,
    firstDelayMilliseconds * 2 ** (attempt - 1),
  );
  return ceiling * (0.5 + options.random() / 2);
}
