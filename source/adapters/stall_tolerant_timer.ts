/**
 * A time limit for another process to answer. Time in which this process
 * itself did not get to run doesn't count: the answer may have come meanwhile
 * and only not been read.
 *
 * @module
 */

/** A time limit that can be called off. */
export interface StallTolerantTimer {
  stop(): void;
}

/** A timer that fires later than this is late because of this process. */
const usualLatenessMilliseconds = 5;

/** Calls `end` after this time, longer by what this process was held up. */
export function startStallTolerantTimer(
  end: () => void,
  milliseconds: number,
): StallTolerantTimer {
  const dueAt = performance.now() + milliseconds;
  let timer = setTimeout(() => {
    const late = performance.now() - dueAt;
    if (late <= usualLatenessMilliseconds) return end();
    timer = setTimeout(end, Math.min(late, milliseconds));
  }, milliseconds);
  return { stop: () => clearTimeout(timer) };
}
