/**
 * Transit delay: how much longer than the fastest message a request was on its
 * way to this process, so that this time can be subtracted from the time that
 * the request has left.
 *
 * The monotonic clocks of two processes have different origins, so that one
 * difference between arrival and departure says nothing by itself. The smallest
 * difference seen is that of a fast message, and serves as the baseline: what a
 * message takes beyond it is delay. When all messages have been delayed for a
 * long time, a clock has stopped meanwhile, and the baseline is replaced.
 *
 * @module
 */
import type { Clocks } from "../clocks.ts";

/** When a message was sent, on the clock of its sender. */
export interface Departure {
  /** The id of the sending process, which is never reused. */
  readonly process: string;
  /** Time on its departure clock, in whole milliseconds. */
  readonly at: number;
}

/** The smallest difference between arrival and departure for one sender. */
export interface MinDifference {
  readonly milliseconds: number;
  /** On the monotonic clock of the receiver. */
  readonly seenAt: number;
  /** The messages since then, all of them delayed; null without any. */
  readonly delayed: DelayedMessages | null;
}

interface DelayedMessages {
  /** The smallest difference among them. */
  readonly milliseconds: number;
  readonly count: number;
  /** When the first of them arrived, on the receiver's monotonic clock. */
  readonly since: number;
}

/** The result of one arrival. */
export interface Arrival {
  readonly minDifference: MinDifference;
  /** Time on the way beyond that of the fastest message; 0 without delay. */
  readonly delayMilliseconds: number;
}

/** Clocks drift apart by at most one part in a hundred. */
const maxClockDrift = 0.01;

/**
 * When all messages of a sender have been delayed for so long, its clock or
 * this one is taken to have stopped. A queue that never emptied looks the same.
 */
const resetMilliseconds = 20_000;
/**
 * Fewer messages may all have met a queue by chance, and change no baseline.
 */
const minDelayedMessages = 10;

/**
 * Compares an arrival with the smallest difference known of its sender, which
 * is null for the first message.
 */
export function recordArrival(
  known: MinDifference | null,
  times: { readonly departedAt: number; readonly arrivedAt: number },
): Arrival {
  const { departedAt, arrivedAt } = times;
  const milliseconds = arrivedAt - departedAt;
  const fastest = { milliseconds, seenAt: arrivedAt, delayed: null };
  if (known === null) return { minDifference: fastest, delayMilliseconds: 0 };
  const delay = milliseconds - expectedDifference(known, arrivedAt);
  if (delay <= 0) return { minDifference: fastest, delayMilliseconds: 0 };
  const delayed = addDelayed(known.delayed, { milliseconds, arrivedAt });
  const minDifference = isBaselineStale(delayed, arrivedAt)
    ? { ...fastest, milliseconds: delayed.milliseconds }
    : { ...known, delayed };
  return { minDifference, delayMilliseconds: delay };
}

function addDelayed(
  former: DelayedMessages | null,
  { milliseconds, arrivedAt }: {
    readonly milliseconds: number;
    readonly arrivedAt: number;
  },
): DelayedMessages {
  if (former === null) return { milliseconds, count: 1, since: arrivedAt };
  return {
    milliseconds: Math.min(former.milliseconds, milliseconds),
    count: former.count + 1,
    since: former.since,
  };
}

function isBaselineStale(delayed: DelayedMessages, now: number): boolean {
  return delayed.count >= minDelayedMessages &&
    now - delayed.since >= resetMilliseconds;
}

/** The baseline, with the drift of the clocks since then, which is no delay. */
function expectedDifference(known: MinDifference, arrivedAt: number): number {
  return known.milliseconds + (arrivedAt - known.seenAt) * maxClockDrift;
}

/**
 * The clock of departures: monotonic, and it includes the time for which the
 * host was suspended. A monotonic clock that excludes it would make all later
 * messages look delayed. A wall clock that is set forward can't be told from a
 * suspension; messages then look early, and the next one sets a new baseline.
 */
export interface DepartureClock {
  /** Added to the monotonic clock, in milliseconds. */
  readonly suspendedMilliseconds: number;
  /** By how many milliseconds the wall clock is ahead of this clock. */
  readonly wallOffset: number;
}

/**
 * Between two readings, adjustments of the wall clock are smaller than this.
 */
const minSuspensionMilliseconds = 100;

/** A departure clock without any suspension. */
export function createDepartureClock(now: Clocks): DepartureClock {
  return {
    suspendedMilliseconds: 0,
    wallOffset: now.wall - now.monotonic,
  };
}

/** Accounts for a reading of both clocks. */
export function stepDepartureClock(
  clock: DepartureClock,
  now: Clocks,
): DepartureClock {
  const wallOffset = now.wall - departureTime(clock, now);
  const gained = wallOffset - clock.wallOffset;
  if (gained < 0) return { ...clock, wallOffset: wallOffset };
  if (gained < minSuspensionMilliseconds) return clock;
  const suspendedMilliseconds = clock.suspendedMilliseconds + gained;
  return { ...clock, suspendedMilliseconds };
}

/** The time on the departure clock, in milliseconds. */
export function departureTime(clock: DepartureClock, now: Clocks): number {
  return now.monotonic + clock.suspendedMilliseconds;
}
