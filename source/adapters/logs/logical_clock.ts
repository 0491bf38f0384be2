/**
 * A logical clock (Lamport): it grows with each event and past each message
 * received, so that sorting by it never puts an effect before its cause.
 *
 * @module
 */

/** One process's logical clock. */
export interface LogicalClock {
  /** Counts an event and brings its time. */
  next(): number;
  /** Takes the time of a received message into account. */
  observe(time: number): void;
}

/** A clock at zero. */
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
