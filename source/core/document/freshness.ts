/**
 * Whether an agent may trust its copy of the configuration.
 *
 * Invariant: an agent that was frozen or cut off serves nothing until the
 * store, or an agent that is itself fresh, has confirmed its copy.
 *
 * @module
 */
import { type Clocks, later, surelyBefore } from "../clocks.ts";

/** What is known of the copy's age. */
export interface Freshness {
  readonly confirmedAt: Clocks | null;
  readonly lifetimeMilliseconds: number;
}

/** A copy that nothing has confirmed yet. */
export function beginFreshness(lifetimeMilliseconds: number): Freshness {
  return { confirmedAt: null, lifetimeMilliseconds };
}

/** Notes a confirmation by the store or by a fresh agent. */
export function confirmFreshness(freshness: Freshness, at: Clocks): Freshness {
  return { ...freshness, confirmedAt: at };
}

/** Whether the last confirmation is recent by both clocks. */
export function isFresh(freshness: Freshness, now: Clocks): boolean {
  if (freshness.confirmedAt === null) return false;
  const end = later(freshness.confirmedAt, freshness.lifetimeMilliseconds);
  return surelyBefore(now, end);
}
