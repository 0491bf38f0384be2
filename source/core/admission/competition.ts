/**
 * Which waiting requests of a rank start before an arriving one: in the order
 * of their objectives, and in that of fair shares while clients compete.
 *
 * @module
 */
import {
  type Client,
  type Competitor,
  type FairShares,
  hasCompetition,
  workAhead,
} from "./fair_shares.ts";
import {
  competesWith,
  isFullyUtilized,
  type QueuedRequest,
  startsBefore,
} from "./objective_first.ts";

/** A request of a client, with what its order depends on. */
export interface Competing extends QueuedRequest {
  readonly client: Client;
}

/**
 * Whether clients compete for what is left to a rank: nearly all slots are
 * needed, and requests of several of them wait.
 */
export function isContested(
  waiting: readonly Competitor[],
  utilization: number,
  arriving = waiting[0]?.client,
): boolean {
  return isFullyUtilized(utilization) && hasCompetition(waiting, arriving);
}

/** The waiting work of a rank that starts before an arriving request of it. */
export function workBefore(
  waiting: readonly Competing[],
  arriving: Competing,
  view: {
    readonly now: number;
    /** The offered load of the rank and those above. */
    readonly utilization: number;
    readonly use: FairShares;
    /** Whether late requests count although they would start afterwards. */
    readonly countsLate: boolean;
  },
): number {
  const { now, utilization, use, countsLate } = view;
  const { client } = arriving;
  if (!isContested(waiting, utilization, client)) {
    return waiting.reduce(
      (sum, other) =>
        (countsLate
            ? other.orderAt <= arriving.orderAt
            : startsBefore(other, arriving, now))
          ? sum + other.serviceMilliseconds
          : sum,
      0,
    );
  }
  const ahead = waiting
    .filter((other) => competesWith(other, arriving, now))
    .map((other) => ({
      client: other.client,
      milliseconds: other.serviceMilliseconds,
      first: startsBefore(other, arriving, now),
    }));
  return workAhead(ahead, client, { shares: use, now });
}
