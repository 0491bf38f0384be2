/**
 * A Lamport clock. It advances with each event and beyond the time of each
 * received message, so sorting by it never puts an effect before its cause.
 *
 * @module
 */

/** One process's logical clock. */
export interface LogicalClock {
  /** Advances the clock for an event and returns the time of the event. */
  next(): number;
  /** Advances the clock to the time of a received message, if it is later. */
  observe(time: number): void;
}

/** Creates a clock at zero. */
export function startLogicalClock(): LogicalClock {
  let time = 0;
  return {
    next() {
      time += 1;
      return time;
    },
    observe(other) {
      time = Math.max(time, other);
    },
  };
}
