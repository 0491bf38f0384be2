/**
 * Time as decisions see it. A deadline that protects a promise is judged on
 * two clocks, and has passed as soon as one of them says so.
 *
 * @module
 */

/** The two clocks of a host, in milliseconds. */
export interface Clocks {
  /** Never set back; may stop while the host is suspended. */
  readonly monotonic: number;
  /** Goes on during suspension; may be set by an operator. */
  readonly wall: number;
}

/** Both clocks at zero: before every instant that a process sees. */
export const beginningOfTime: Clocks = { monotonic: 0, wall: 0 };

/** The instant this many milliseconds later, on both clocks. */
export function later(instant: Clocks, milliseconds: number): Clocks {
  return {
    monotonic: instant.monotonic + milliseconds,
    wall: instant.wall + milliseconds,
  };
}

/** Whether `now` is before `end` on both clocks. */
export function surelyBefore(now: Clocks, end: Clocks): boolean {
  return now.monotonic < end.monotonic && now.wall < end.wall;
}

/** The later of two instants, on each clock by itself. */
export function latest(left: Clocks, right: Clocks): Clocks {
  return {
    monotonic: Math.max(left.monotonic, right.monotonic),
    wall: Math.max(left.wall, right.wall),
  };
}
