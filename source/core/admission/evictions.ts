/**
 * Which waiting requests are refused: those that don't fit into the queue,
 * those that have waited too long, and those whose wait has become too long.
 *
 * Invariant: a request that leaves its queue here is refused, exactly once.
 *
 * @module
 */
import {
  expectedServiceTime,
  isRankContested,
  occupiedMilliseconds,
  utilizationFor,
} from "./estimates.ts";
import type { AdmissionEffect, AdmissionTransition } from "./events.ts";
import { coldRetryDelay } from "./expected_waits.ts";
import { lastOfLargest, noUse } from "./fair_shares.ts";
import { maxLateWait } from "./objective_first.ts";
import { countWaiting, dequeue, queueOf, withQueue } from "./queue.ts";
import {
  reasonToGiveUp,
  reasonToRefuse,
  type Refusal,
  refusal,
  refuse,
} from "./refusal.ts";
import type { AdmissionState, WaitingRequest } from "./state.ts";

/**
 * Refuses a request when the queue is full: the last one of the least urgent
 * rank that has more waiting than its share of the queue. If clients compete,
 * it is the last one of the client that has most.
 */
export function evictOverflow(
  state: AdmissionState,
  now: number,
): AdmissionTransition {
  if (countWaiting(state) <= state.settings.queueLength) {
    return { state, effects: [] };
  }
  const rank = rankToEvict(state);
  const last = largestOf(state, rank, now) ?? queueOf(state, rank).at(-1);
  if (last === undefined) return { state, effects: [] };
  const next = dequeue(state, rank, last);
  const refused = refusal("queue-full", coldRetryDelay(next, now));
  return { state: next, effects: [refuse(last, refused)] };
}

function rankToEvict(state: AdmissionState): number {
  for (let rank = state.waiting.length - 1; rank >= 0; rank -= 1) {
    const share = state.settings.ranks[rank]?.share ?? 0;
    const reserved = Math.floor(share * state.settings.queueLength);
    if (queueOf(state, rank).length > reserved) return rank;
  }
  return 0;
}

/** The last request of the client that has most; null without competition. */
function largestOf(
  state: AdmissionState,
  rank: number,
  now: number,
): WaitingRequest | null {
  if (!isRankContested(state, rank, now)) return null;
  const waiting = queueOf(state, rank).map((entry) => {
    const { client, work } = entry;
    const milliseconds = occupiedMilliseconds(state, { rank, work });
    return { client, milliseconds, entry };
  });
  const use = state.use[rank] ?? noUse;
  return lastOfLargest(waiting, use, now)?.entry ?? null;
}

/**
 * Refuses the last request of the client that has most, if its wait has become
 * too long since one of a client that has less goes before it.
 */
export function refuseOfLargest(
  state: AdmissionState,
  rank: number,
  now: number,
): AdmissionTransition {
  const entry = largestOf(state, rank, now);
  if (entry === null) return { state, effects: [] };
  const others = dequeue(state, rank, entry);
  const refused = reasonToRefuse(others, entry, { rank, now });
  return refused === null
    ? { state, effects: [] }
    : { state: others, effects: [refuse(entry, refused)] };
}

/** Refuses the requests that have waited too long. */
export function refuseOverdue(
  state: AdmissionState,
  now: number,
): AdmissionTransition {
  const retryAfter = coldRetryDelay(state, now);
  return refuseWhere(state, (rank) => {
    const { maxLateWaitMilliseconds = Infinity } = state.settings;
    const maxLateMilliseconds = maxLateWait({
      utilization: utilizationFor(state, rank, now),
      maxLateWaitMilliseconds,
    });
    return (entry) => {
      const { work } = entry;
      const serviceMilliseconds = expectedServiceTime(state, { rank, work });
      const view = { now, serviceMilliseconds, maxLateMilliseconds };
      const reason = reasonToGiveUp(entry, view);
      if (reason === null) return null;
      // No time is left in which the caller could return.
      return refusal(reason, reason === "deadline-passed" ? null : retryAfter);
    };
  });
}

/** Refuses all waiting requests, since the target leaves. */
export function refuseWaiting(state: AdmissionState): AdmissionTransition {
  return refuseWhere(state, () => () => refusal("target-leaving"));
}

/** Refuses the waiting requests of each rank for which there is a reason. */
function refuseWhere(
  state: AdmissionState,
  reasonsFor: (rank: number) => (entry: WaitingRequest) => Refusal | null,
): AdmissionTransition {
  const effects: AdmissionEffect[] = [];
  const waiting = state.waiting.map((queue, rank) => {
    if (queue.length === 0) return queue;
    const reasonFor = reasonsFor(rank);
    return queue.filter((entry) => {
      const refused = reasonFor(entry);
      if (refused !== null) effects.push(refuse(entry, refused));
      return refused === null;
    });
  });
  return effects.length === 0
    ? { state, effects }
    : { state: { ...state, waiting }, effects };
}

/** Queues the waiting requests again, as if they arrived now. */
export function queueAgain(
  before: AdmissionState,
  now: number,
): AdmissionTransition {
  const effects: AdmissionEffect[] = [];
  let state: AdmissionState = {
    ...before,
    waiting: before.waiting.map(() => []),
  };
  before.waiting.forEach((queue, rank) => {
    for (const entry of queue) {
      const refused = reasonToRefuse(state, entry, { rank, now });
      if (refused === null) {
        state = withQueue(state, rank, [...queueOf(state, rank), entry]);
      } else {
        effects.push(refuse(entry, refused));
      }
    }
  });
  return { state, effects };
}
