/**
 * What a holder's slices and busiest keys are asked for, as it tells the
 * grantor with each renewal.
 *
 * @module
 */
import type { KeyLoad, SliceLoad } from "../core/ownership/renewal.ts";
import type { HolderState } from "../core/ownership/holder.ts";
import { type PlaceKey, sliceOfKey } from "../core/ownership/table.ts";
import { beginSketch, busiestKeys, countKeys } from "../core/load/sketch.ts";

const sketchCapacity = 64;
const reportedKeys = 16;

/** What was asked for since the last answered renewal. */
export interface HeldLoad {
  readonly since: number;
  /** A sample: all that were asked for until it is full. */
  readonly keys: readonly string[];
  readonly slices: ReadonlyMap<number, number>;
}

/** Keys kept for the sketch between two renewals. */
const mostSampledKeys = 512;

/** Counts requests; kept apart since every request adds to it. */
export function startCounting() {
  let since = performance.now();
  let keys: string[] = [];
  let slices = new Map<number, number>();
  return {
    add(key: string, slice: number): void {
      slices.set(slice, (slices.get(slice) ?? 0) + 1);
      if (keys.length < mostSampledKeys) keys.push(key);
    },
    load: (): HeldLoad => ({ since, keys, slices }),
    restart(): void {
      since = performance.now();
      keys = [];
      slices = new Map();
    },
  };
}

/** One decimal is enough, and keeps renewals short. */
function rounded(value: number): number {
  return Math.round(value * 10) / 10;
}

/** The load of each slice and of the busiest keys, by the second. */
export function measureHeldLoad(
  load: HeldLoad,
  state: HolderState,
  place: PlaceKey,
): {
  readonly sliceLoads: readonly SliceLoad[];
  readonly keyLoads: readonly KeyLoad[];
} {
  const seconds = Math.max(0.1, (performance.now() - load.since) / 1_000);
  const total = [...load.slices.values()].reduce((sum, n) => sum + n, 0);
  const scale = load.keys.length === 0 ? 0 : total / load.keys.length;
  const sketch = countKeys(beginSketch(sketchCapacity), load.keys);
  const sliceLoads = [...state.slices.keys()].map((slice) => ({
    slice,
    requestsPerSecond: rounded((load.slices.get(slice) ?? 0) / seconds),
  }));
  const keyLoads = busiestKeys(sketch, reportedKeys).map(({ key, count }) => ({
    key,
    slice: sliceOfKey(state.table, key, place),
    requestsPerSecond: rounded(count * scale / seconds),
  }));
  return { sliceLoads, keyLoads };
}
