/**
 * Reports when the store becomes unavailable and when it is available again.
 *
 * @module
 */
import type { Events } from "../ports/events.ts";

/**
 * Returns a function to be called after each store call, with whether the store
 * answered it. An event is recorded only when that changes.
 */
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
