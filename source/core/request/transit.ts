/**
 * How much longer than usual a request was on its way to this process, so that
 * the time on the way is taken off the time that it has left.
 *
 * The steady clocks of two processes have no common beginning: the difference
 * between a departure on one and the arrival on the other says nothing by
 * itself. The least difference seen is that of a quick message; what a message
 * has above it was spent waiting on the way. Where no message is quick any more
 * for long, a clock has stood still: what is usual is learned anew.
 *
 * @module
 */
import type { Clocks } from "../clocks.ts";

/** When a message left, in the terms of the process that sent it. */
export interface Departure {
  /** The sending process, by a name that is never used again. */
  readonly process: string;
  /** On its departure clock, in whole milliseconds. */
  readonly at: number;
}

/** The least difference between arrival and departure seen of one process. */
export interface LeastDifference {
  readonly milliseconds: number;
  /** On the receiver's steady clock. */
  readonly seenAt: number;
  /** The messages since then, each of them late; null without any. */
  readonly lateOnes: LateMessages | null;
}

interface LateMessages {
  /** The least difference among them. */
  readonly milliseconds: number;
  readonly count: number;
  /** When the first of them came, on the receiver's steady clock. */
  readonly since: number;
}

/** What one arrival tells. */
export interface Arrival {
  readonly least: LeastDifference;
  /** Spent on the way beyond the time of the quickest message, or 0. */
  readonly lateMilliseconds: number;
}

/** Clocks run apart by one part in a hundred at most. */
const mostClockDrift = 0.01;

/**
 * When all messages of a process have been late for so long, its clock or this
 * one has stood still. A queue that never ran empty meanwhile looks the same.
 */
const relearnMilliseconds = 20_000;
/** Fewer messages may all have met a queue by chance. */
const leastLateMessages = 10;

/** Compares an arrival with the quickest one known; null for the first. */
export function noteArrival(
  known: LeastDifference | null,
  times: { readonly departedAt: number; readonly arrivedAt: number },
): Arrival {
  const { departedAt, arrivedAt } = times;
  const milliseconds = arrivedAt - departedAt;
  const quick = { milliseconds, seenAt: arrivedAt, lateOnes: null };
  if (known === null) return { least: quick, lateMilliseconds: 0 };
  const late = milliseconds - usualDifference(known, arrivedAt);
  if (late <= 0) return { least: quick, lateMilliseconds: 0 };
  const lateOnes = addLate(known.lateOnes, { milliseconds, arrivedAt });
  const least = haveReplaced(lateOnes, arrivedAt)
    ? { ...quick, milliseconds: lateOnes.milliseconds }
    : { ...known, lateOnes };
  return { least, lateMilliseconds: late };
}

function addLate(
  former: LateMessages | null,
  { milliseconds, arrivedAt }: {
    readonly milliseconds: number;
    readonly arrivedAt: number;
  },
): LateMessages {
  if (former === null) return { milliseconds, count: 1, since: arrivedAt };
  return {
    milliseconds: Math.min(former.milliseconds, milliseconds),
    count: former.count + 1,
    since: former.since,
  };
}

function haveReplaced(lateOnes: LateMessages, now: number): boolean {
  return lateOnes.count >= leastLateMessages &&
    now - lateOnes.since >= relearnMilliseconds;
}

/** What has grown since by drift alone is no lateness. */
function usualDifference(known: LeastDifference, arrivedAt: number): number {
  return known.milliseconds + (arrivedAt - known.seenAt) * mostClockDrift;
}

/**
 * The clock of departures: steady, and it counts the time for which the host
 * was suspended. A steady clock that leaves it out would make all later
 * messages look late. A wall clock that is set forward looks the same; then
 * messages look early, and what is usual is learned anew from the next one.
 */
export interface DepartureClock {
  /** Added to the steady clock, in milliseconds. */
  readonly suspendedMilliseconds: number;
  /** What the wall clock is ahead of this clock. */
  readonly wallAhead: number;
}

/** A wall clock gains less than this on a steady one by itself at one time. */
const leastSuspensionMilliseconds = 100;

/** Starts without any suspension. */
export function beginDepartureClock(now: Clocks): DepartureClock {
  return {
    suspendedMilliseconds: 0,
    wallAhead: now.wall - now.monotonic,
  };
}

/** Takes a reading of both clocks into account. */
export function stepDepartureClock(
  clock: DepartureClock,
  now: Clocks,
): DepartureClock {
  const wallAhead = now.wall - departureTime(clock, now);
  const gained = wallAhead - clock.wallAhead;
  if (gained < 0) return { ...clock, wallAhead };
  if (gained < leastSuspensionMilliseconds) return clock;
  const suspendedMilliseconds = clock.suspendedMilliseconds + gained;
  return { ...clock, suspendedMilliseconds };
}

/** What the clock of departures shows. */
export function departureTime(clock: DepartureClock, now: Clocks): number {
  return now.monotonic + clock.suspendedMilliseconds;
}
