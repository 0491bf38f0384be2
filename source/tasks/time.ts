/**
 * The clocks and timers that tasks use.
 *
 * @module
 */
import type { Clocks } from "../core/clocks.ts";

/** Reads the monotonic and the wall clock, in milliseconds. */
export function readClocks(): Clocks {
  return { monotonic: performance.now(), wall: Date.now() };
}

/** The monotonic clock in milliseconds. */
export function monotonicNow(): number {
  return performance.now();
}

/** Resolves after this time, or at once when the signal is aborted. */
export function pause(
  milliseconds: number,
  signal?: AbortSignal,
): Promise<void> {
  return new Promise((resolve) => {
    if (signal?.aborted) return resolve();
    const done = () => {
      clearTimeout(timer);
      signal?.removeEventListener("abort", done);
      resolve();
    };
    const timer = setTimeout(done, milliseconds);
    signal?.addEventListener("abort", done, { once: true });
  });
}

/** Resolves once the signal is aborted. */
export function aborted(signal: AbortSignal): Promise<void> {
  return new Promise((resolve) => {
    if (signal.aborted) return resolve();
    signal.addEventListener("abort", () => resolve(), { once: true });
  });
}

/** A repeating timer. */
export interface Ticker {
  stop(): void;
}

/** Calls `tick` repeatedly, at this interval. */
export function startTicker(
  tick: () => void,
  options: { readonly intervalMilliseconds: number },
): Ticker {
  const timer = setInterval(tick, options.intervalMilliseconds);
  return { stop: () => clearInterval(timer) };
}
