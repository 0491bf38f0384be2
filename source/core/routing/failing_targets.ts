/**
 * Leaves failing targets out of the choice for a request. While a target has
 * less than its whole share of traffic, a part of the requests leaves it out,
 * and the others are divided as usual. A target at the least share is tried with
 * one request at a time, at increasing intervals.
 *
 * Invariant: a target is left out only while another one can be chosen.
 *
 * @module
 */
import { minShare, type ObservedHealth } from "../target/observed_health.ts";

/** The time between two trials of a target, over the share that it has left. */
const trialMilliseconds = 1_000;
/**
 * The longest time between two trials: an entry that sends a target no other
 * request must learn that it has recovered.
 */
const maxTrialMilliseconds = 8_000;

/** What the choice knows of a target. */
export interface ConsideredTarget {
  readonly health: ObservedHealth;
  /** The mean share of all targets that the choice is made from. */
  readonly meanShare: number;
  /** Requests to it that have not ended. */
  readonly inFlight: number;
  readonly now: number;
}

/**
 * Whether a request leaves a target out of its choice. `random` returns a number
 * from 0 up to but not including 1.
 */
export type LeavesOut = (
  target: ConsideredTarget,
  random: () => number,
) => boolean;

/** Leaves out none, and draws no random number. */
export const leaveOutNone: LeavesOut = () => false;

/**
 * Leaves out failing targets for the part of their share that they lost, and
 * those with the least share until their next trial. Where
 * all fail alike, the requests are at fault or something that all depend on, and
 * near targets are as good as far ones.
 */
export const leaveOutFailing: LeavesOut = (target, random) => {
  const { health, meanShare } = target;
  if (health.share >= meanShare || isTrialDue(target)) return false;
  if (health.share <= minShare) return true;
  return random() >= health.share / meanShare;
};

/** Whether a target may be tried again, which nothing else would show. */
export function isTrialDue(
  { health, inFlight, now }: Omit<ConsideredTarget, "meanShare">,
): boolean {
  if (inFlight > 0) return false;
  const interval = Math.min(
    maxTrialMilliseconds,
    trialMilliseconds / health.share,
  );
  return now - health.endedAt >= interval;
}
