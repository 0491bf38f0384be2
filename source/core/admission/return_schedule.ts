/**
 * The order in which refused callers return to a target.
 *
 * Callers that are all told the same delay return together, and most of them
 * are refused again. So each refusal books a moment of its own: the target ends
 * work faster than new requests bring it, and the returning requests divide the
 * difference among them, one after the other. A more valuable rank books before
 * a less valuable one, whose own bookings move back.
 *
 * This order is for callers that can no longer be in time. One that can return
 * after its wait and still be in time is told that wait, and books nothing: in
 * the order it would be late, and take what others could use in time.
 *
 * A returning request can't be told from a new one. The work that is due to
 * return is therefore subtracted from the work that arrives; the rest is new.
 *
 * @module
 */

import { isFullyUtilized } from "./objective_first.ts";

/** The work of refused requests that return within one interval. */
interface DueReturns {
  readonly rank: number;
  /** The end of the interval. */
  readonly at: number;
  readonly milliseconds: number;
}

interface RankReturns {
  /** New work that has arrived, as time in a slot, at least 0; decays. */
  readonly newMilliseconds: number;
  /** Until when capacity for returning requests is booked. */
  readonly bookedUntil: number;
}

/** The bookings of one target. Times are monotonic milliseconds. */
export interface ReturnSchedule {
  readonly ranks: readonly RankReturns[];
  /** Returns that are not yet due, in order of time. */
  readonly due: readonly DueReturns[];
  /** Up to when due returns are counted and new work is decayed. */
  readonly settledAt: number;
}

/** The slots of a target, and the part guaranteed to each rank, 0 to 1. */
export interface ReturnCapacity {
  readonly slots: number;
  readonly shares: readonly number[];
}

/** A request that is refused for lack of capacity. */
export interface RefusedReturn {
  readonly rank: number;
  /** Expected time in the target. */
  readonly milliseconds: number;
  /** How long it would have had to wait; null if not known. */
  readonly waitMilliseconds: number | null;
  /** The end of its objective; when left out, it can't be in time. */
  readonly objectiveAt?: number;
  readonly deadlineAt: number;
  readonly now: number;
}

/** What a refused caller is told. */
export interface BookedReturn {
  readonly retryAfterMilliseconds: number | null;
  /** In how long there is capacity for it; null if not known. */
  readonly capacityAfterMilliseconds: number | null;
}

/** Decides when a refused caller returns. */
export type BookReturn = (
  schedule: ReturnSchedule,
  refused: RefusedReturn,
  capacity: ReturnCapacity,
) => { readonly schedule: ReturnSchedule; readonly booked: BookedReturn };

/** Books nothing: the caller is told how long it would have waited. */
export const keepDelay: BookReturn = (schedule, { waitMilliseconds }) => ({
  schedule,
  booked: {
    retryAfterMilliseconds: waitMilliseconds,
    capacityAfterMilliseconds: null,
  },
});

/** Time in which the sum of new work decays to about a third. */
const decayMilliseconds = 1_500;
/** Returns are counted in intervals of this length. */
const intervalMilliseconds = 50;
/**
 * The part of the slots that returning requests are assumed to get however much
 * new work arrives. A burst ends, and its callers must not all be put off for as
 * long as they can wait.
 */
const minReturnShare = 0.1;
/** No return is booked further ahead, so that a long overload is forgotten. */
const maxAheadMilliseconds = 5_000;
/** Callers wait at most this part of the time that they have left. */
export const maxWaitShare = 1 / 3;
/**
 * The part of its wait that a caller may have to wait again when it returns, as
 * others return at the same time.
 */
const secondWaitShare = 1 / 3;
/** A shorter delay is no use to a caller. */
export const minRetryMilliseconds = 10;
/** The time in the target of work that has not been measured. */
const unmeasuredMilliseconds = 100;

/** A schedule without bookings. */
export const noReturns: ReturnSchedule = { ranks: [], due: [], settledAt: 0 };

const unusedRank: RankReturns = { newMilliseconds: 0, bookedUntil: 0 };

/** Counts the work of an arriving request, which may be a returning one. */
export function recordArrival(
  schedule: ReturnSchedule,
  arrived: {
    readonly rank: number;
    readonly milliseconds: number;
    readonly now: number;
  },
): ReturnSchedule {
  const settled = settle(schedule, arrived.now);
  return addNewWork(settled, arrived.rank, arrived.milliseconds);
}

/**
 * Moves what is booked to where a changed capacity ends it, and converts new
 * work and due returns to the new measure. Callers that were put off by a slow
 * target would otherwise wait although a fast one has capacity.
 */
export function rescaleReturns(
  schedule: ReturnSchedule,
  change: {
    /** The capacity before, as a multiple of the one from now on. */
    readonly ratioOf: (rank: number) => number;
    /** The time in a slot of a request, as a multiple of the one before. */
    readonly factorOf: (rank: number) => number;
    readonly now: number;
  },
): ReturnSchedule {
  const { ratioOf, factorOf, now } = change;
  const ranks = schedule.ranks.map((former, rank) => {
    const ahead = Math.max(0, former.bookedUntil - now) * ratioOf(rank);
    const bookedUntil = now + Math.min(maxAheadMilliseconds, ahead);
    const newMilliseconds = former.newMilliseconds * factorOf(rank);
    return { newMilliseconds, bookedUntil };
  });
  const due = schedule.due.map((former) => ({
    ...former,
    milliseconds: former.milliseconds * factorOf(former.rank),
  }));
  return { ...schedule, ranks, due };
}

/** Books the return of a refused request. */
export function bookReturn(
  schedule: ReturnSchedule,
  refused: RefusedReturn,
  capacity: ReturnCapacity,
): { readonly schedule: ReturnSchedule; readonly booked: BookedReturn } {
  const { rank, now } = refused;
  const milliseconds = refused.milliseconds || unmeasuredMilliseconds;
  const settled = settle(schedule, now);
  const earliest = now +
    Math.max(minRetryMilliseconds, refused.waitMilliseconds ?? 0);
  const bookedUntil = settled.ranks[rank]?.bookedUntil ?? 0;
  const capacityAt = Math.max(earliest, bookedUntil);
  const latest = now + longestWait(refused);
  const above = newWorkUpTo(settled, rank - 1) / capacity.slots;
  // A rank that waits for its share waits long, and best in order.
  const mayBeTimely = !isFullyUtilized(above) &&
    canBeTimely(refused, { returnsAt: earliest, milliseconds });
  if (mayBeTimely) {
    const returnsAt = Math.min(earliest, latest);
    return {
      schedule: addDue(settled, { rank, at: returnsAt, milliseconds }),
      booked: {
        retryAfterMilliseconds: returnsAt - now,
        capacityAfterMilliseconds: null,
      },
    };
  }
  const returnsAt = Math.min(capacityAt, latest);
  const expected = addDue(settled, { rank, at: returnsAt, milliseconds });
  const booked = {
    retryAfterMilliseconds: returnsAt - now,
    capacityAfterMilliseconds: capacityAt - now,
  };
  // A caller that returns before its turn takes none of the booked capacity.
  if (capacityAt > latest) return { schedule: expected, booked };
  const ranks = withRank(expected.ranks, capacity.shares.length - 1).map(
    (other, index) => {
      if (index < rank) return other;
      const from = index === rank
        ? capacityAt
        : Math.max(other.bookedUntil, capacityAt);
      const until = from + milliseconds / spareSlots(expected, index, capacity);
      const bookedUntil = Math.min(until, now + maxAheadMilliseconds);
      return { ...other, bookedUntil };
    },
  );
  return { schedule: { ...expected, ranks }, booked };
}

/** Whether a caller that returns after its wait can still be in time. */
function canBeTimely(
  { objectiveAt = -Infinity, now }: RefusedReturn,
  expected: { readonly returnsAt: number; readonly milliseconds: number },
): boolean {
  const { returnsAt, milliseconds } = expected;
  const secondWait = (returnsAt - now) * secondWaitShare;
  return returnsAt + secondWait + milliseconds <= objectiveAt;
}

/** How long the caller of a request can wait before it returns. */
export function longestWait(
  request: { readonly deadlineAt: number; readonly now: number },
): number {
  const left = request.deadlineAt - request.now;
  return Math.max(minRetryMilliseconds, left * maxWaitShare);
}

/** The slots that more valuable ranks and the shares of others leave to one. */
export function freeSlots(
  schedule: ReturnSchedule,
  rank: number,
  capacity: ReturnCapacity,
): number {
  const used = newWorkUpTo(schedule, rank - 1);
  return Math.max(0, capacity.slots * (1 - lowerShares(rank, capacity)) - used);
}

/** New work of a rank and those above, as slots in use. */
function newWorkUpTo(schedule: ReturnSchedule, rank: number): number {
  return schedule.ranks.slice(0, rank + 1).reduce(
    (sum, { newMilliseconds }) => sum + newMilliseconds / decayMilliseconds,
    0,
  );
}

function lowerShares(rank: number, { shares }: ReturnCapacity): number {
  return shares.slice(rank + 1).reduce((sum, share) => sum + share, 0);
}

/** The slots that returning requests of a rank can use. */
function spareSlots(
  schedule: ReturnSchedule,
  rank: number,
  capacity: ReturnCapacity,
): number {
  const { slots } = capacity;
  const rest = slots * (1 - lowerShares(rank, capacity)) -
    newWorkUpTo(schedule, rank);
  return Math.max(slots * minReturnShare, rest);
}

/** Subtracts what was due to return since then, and decays new work. */
function settle(schedule: ReturnSchedule, now: number): ReturnSchedule {
  const elapsed = Math.max(0, now - schedule.settledAt);
  const factor = Math.exp(-elapsed / decayMilliseconds);
  const ranks = schedule.ranks.map((rank) => ({
    ...rank,
    newMilliseconds: rank.newMilliseconds * factor,
  }));
  const settledAt = Math.max(schedule.settledAt, now);
  const later = schedule.due.findIndex(({ at }) => at > now);
  const count = later < 0 ? schedule.due.length : later;
  const due = schedule.due.slice(count);
  return schedule.due.slice(0, count).reduce<ReturnSchedule>(
    (settled, { rank, milliseconds }) =>
      addNewWork(settled, rank, -milliseconds),
    { ranks, due, settledAt },
  );
}

/**
 * Adds to the new work of a rank. Callers that were due may have gone elsewhere,
 * so what is subtracted for them is at most what has arrived.
 */
function addNewWork(
  schedule: ReturnSchedule,
  rank: number,
  milliseconds: number,
): ReturnSchedule {
  const ranks = withRank(schedule.ranks, rank).map((other, index) => {
    if (index !== rank) return other;
    const sum = Math.max(0, other.newMilliseconds + milliseconds);
    return { ...other, newMilliseconds: sum };
  });
  return { ...schedule, ranks };
}

function withRank(
  ranks: readonly RankReturns[],
  rank: number,
): readonly RankReturns[] {
  const missing = Math.max(0, rank + 1 - ranks.length);
  return [...ranks, ...Array.from({ length: missing }, () => unusedRank)];
}

/** Adds to the returns of an interval; there is one entry for each of them. */
function addDue(
  schedule: ReturnSchedule,
  { rank, at, milliseconds }: DueReturns,
): ReturnSchedule {
  const end = Math.ceil(at / intervalMilliseconds) * intervalMilliseconds;
  const same = schedule.due.findIndex((other) =>
    other.at === end && other.rank === rank
  );
  const former = schedule.due[same];
  if (former !== undefined) {
    const sum = former.milliseconds + milliseconds;
    const due = schedule.due.with(same, { rank, at: end, milliseconds: sum });
    return { ...schedule, due };
  }
  const later = schedule.due.findIndex((other) => other.at > end);
  const index = later < 0 ? schedule.due.length : later;
  const added = { rank, at: end, milliseconds };
  return { ...schedule, due: schedule.due.toSpliced(index, 0, added) };
}
