/**
 * Collects the garbage of the process when its resident memory is high.
 *
 * @module
 */
import process from "node:process";
import { setFlagsFromString } from "node:v8";
import { runInNewContext } from "node:vm";
import {
  type CollectionBounds,
  isDue,
  nothingCollected,
} from "../core/load/collection.ts";

/** Called with bytes that have been read or are held; may collect garbage. */
export type CountPassedBytes = (bytes: number) => void;

/** Starts to count bytes. */
export function openCollector(bounds: CollectionBounds): CountPassedBytes {
  let collect: (() => void) | null = null;
  let state = nothingCollected;
  return (bytes) => {
    state = { ...state, passedBytes: state.passedBytes + bytes };
    const now = performance.now();
    if (!isDue(state, bounds, now)) return;
    state = { ...state, passedBytes: 0 };
    if (process.memoryUsage.rss() <= bounds.residentBytes) return;
    collect ??= exposeCollector();
    collect();
    const collectedAt = performance.now();
    state = { ...state, collectedAt, milliseconds: collectedAt - now };
  };
}

/**
 * Returns the collector of the runtime. Not called before it is needed: code
 * that the runtime has compiled in advance is not used once a flag has changed,
 * which makes a start take longer.
 */
function exposeCollector(): () => void {
  setFlagsFromString("--expose-gc");
  return runInNewContext("gc") as () => void;
}
