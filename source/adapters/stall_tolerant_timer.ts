/**
 * A time limit for another process to answer. Time in which this process was
 * stalled does not count, because the answer may have arrived without having
 * been read.
 *
 * @module
 */

/** A time limit that can be cancelled. */
export interface StallTolerantTimer {
  stop(): void;
}

/** A timer that fires later than this was delayed by a stall of this process. */
const typicalDelayMilliseconds = 5;

/**
 * Calls `end` after this time. If this process was stalled meanwhile, the time
 * is extended once by the delay of the timer, at most to twice the time.
 */
export function startStallTolerantTimer(
  end: () => void,
  milliseconds: number,
): StallTolerantTimer {
  const dueAt = performance.now() + milliseconds;
  let timer = setTimeout(() => {
    const delay = performance.now() - dueAt;
    if (delay <= typicalDelayMilliseconds) return end();
    timer = setTimeout(end, Math.min(delay, milliseconds));
  }, milliseconds);
  return { stop: () => clearTimeout(timer) };
}
