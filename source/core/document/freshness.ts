/**
 * Whether the configuration that an agent has is recent enough to serve by.
 *
 * Invariant: an agent that was suspended or disconnected serves nothing until
 * the store, or an agent that is itself fresh, has confirmed its configuration.
 *
 * @module
 */
import { addMilliseconds, type Clocks, definitelyBefore } from "../clocks.ts";

/** When the configuration was last confirmed, and for how long that counts. */
export interface Freshness {
  readonly confirmedAt: Clocks | null;
  readonly lifetimeMilliseconds: number;
}

/** A configuration that has not been confirmed. */
export function createFreshness(lifetimeMilliseconds: number): Freshness {
  return { confirmedAt: null, lifetimeMilliseconds };
}

/** Records a confirmation by the store or by a fresh agent. */
export function confirmFreshness(freshness: Freshness, at: Clocks): Freshness {
  return { ...freshness, confirmedAt: at };
}

/** Whether the last confirmation is recent enough on both clocks. */
export function isFresh(freshness: Freshness, now: Clocks): boolean {
  if (freshness.confirmedAt === null) return false;
  const end = addMilliseconds(
    freshness.confirmedAt,
    freshness.lifetimeMilliseconds,
  );
  return definitelyBefore(now, end);
}
