/**
 * Counts the moves of slices that this agent's grantors start, and those for
 * load above capacity that begin to wait for the budget.
 *
 * @module
 */
import type { Events } from "../ports/events.ts";
import type { CounterName } from "../ports/metrics.ts";

/** Names of the counters. */
export type MoveCounter = Extract<
  CounterName,
  "slices_moved" | "moves_deferred"
>;

/** Events that are also counted as they are recorded. */
export function withMoveCounts(
  events: Events,
  count: (name: MoveCounter, amount: number) => void,
): Events {
  return {
    record(kind, detail) {
      events.record(kind, detail);
      if (kind === "move-started") count("slices_moved", 1);
      if (kind !== "slices-rebalanced") return;
      if (detail?.["cause"] !== "above-capacity") return;
      const deferred = detail?.["deferred"];
      if (typeof deferred !== "number" || deferred === 0) return;
      count("moves_deferred", deferred);
    },
  };
}
