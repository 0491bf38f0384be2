/**
 * The two clocks that decisions use. A deadline that protects a guarantee, such
 * as the end of a lease, is compared on both clocks and has passed as soon as
 * it has passed on one of them.
 *
 * @module
 */

/** One instant on the two clocks of a host, in milliseconds. */
export interface Clocks {
  /** Is never set back, but may stop while the host is suspended. */
  readonly monotonic: number;
  /** Continues while the host is suspended, but can be set. */
  readonly wall: number;
}

/** Both clocks at zero: earlier than any instant that a process reads. */
export const clocksAtZero: Clocks = { monotonic: 0, wall: 0 };

/** The instant that is so many milliseconds later on both clocks. */
export function addMilliseconds(instant: Clocks, milliseconds: number): Clocks {
  return {
    monotonic: instant.monotonic + milliseconds,
    wall: instant.wall + milliseconds,
  };
}

/** Whether `now` is before `end` on both clocks. */
export function definitelyBefore(now: Clocks, end: Clocks): boolean {
  return now.monotonic < end.monotonic && now.wall < end.wall;
}

/** The later of two instants, taken for each clock by itself. */
export function latest(left: Clocks, right: Clocks): Clocks {
  return {
    monotonic: Math.max(left.monotonic, right.monotonic),
    wall: Math.max(left.wall, right.wall),
  };
}
