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
  setFlagsFromString("--expose-gc");
  const collect = runInNewContext("gc") as () => void;
  let state = nothingCollected;
  return (bytes) => {
    state = { ...state, passedBytes: state.passedBytes + bytes };
    const now = performance.now();
    if (!isDue(state, bounds, now)) return;
    state = { ...state, passedBytes: 0 };
    if (process.memoryUsage.rss() <= bounds.residentBytes) return;
    collect();
    const collectedAt = performance.now();
    state = { ...state, collectedAt, milliseconds: collectedAt - now };
  };
}
