import FakeTimers from "@sinonjs/fake-timers";

/**
 * Pauses the clock and the timers of the runtime, in milliseconds. What the
 * test runner itself waits on is left alone: with it, a file ends silently and
 * without having run a test.
 */
export function pauseClock(): ReturnType<typeof FakeTimers.install> {
  return FakeTimers.install({
    now: 1_000_000,
    toFake: [
      "setTimeout",
      "clearTimeout",
      "setInterval",
      "clearInterval",
      "Date",
      "performance",
    ],
  });
}

/** A clock that a test has paused. */
export type PausedClock = ReturnType<typeof pauseClock>;
