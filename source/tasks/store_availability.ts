/**
 * Tells once when the store is lost and once when it is back.
 *
 * @module
 */
import type { Events } from "../ports/events.ts";

/** Hears of each call whether the store answered it. */
export function trackStoreAvailability(
  events: Events,
): (reachable: boolean) => void {
  let available = true;
  return (reachable) => {
    if (reachable === available) return;
    available = reachable;
    events.record(reachable ? "store-available" : "store-unavailable");
  };
}
