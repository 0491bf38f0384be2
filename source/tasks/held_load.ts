/**
 * What a holder's slices and busiest keys are asked for, as it tells the
 * grantor with its renewals.
 *
 * Renewals follow each other closely while slices move. A rate counted between
 * two of them is chance: one request within a tenth of a second would look like
 * ten a second. So requests are counted on until a whole period is over, and a
 * renewal before that reports no load.
 *
 * @module
 */
import type { HolderState } from "../core/ownership/holder.ts";
import type { KeyLoad, SliceLoad } from "../core/ownership/renewal.ts";
import { type PlaceKey, sliceOfKey } from "../core/ownership/table.ts";
import { beginSketch, busiestKeys, countKeys } from "../core/load/sketch.ts";

const sketchCapacity = 64;
const maxReportedKeys = 16;

/** What is asked for, in requests a second. */
export interface MeasuredLoad {
  readonly sliceLoads: readonly SliceLoad[];
  readonly keyLoads: readonly KeyLoad[];
}

/** A running count. */
export interface LoadCount {
  add(key: string, slice: number): void;
  /** The rates of the period that has ended; null while it lasts. */
  measure(held: HeldSlices, now: number): MeasuredLoad | null;
  /** Begins a period, once the grantor knows of the former one. */
  restart(held: HeldSlices, now: number): void;
}

/** The part of a holder's state that its load is measured by. */
export type HeldSlices = Pick<HolderState, "slices" | "table">;

/** Keys kept for the sketch in one period. */
const maxSampledKeys = 512;
/** Somewhat less than the time between two renewals that nothing hurries. */
const minPeriodMilliseconds = 800;

/** Starts counting; `now` is on the monotonic clock, in milliseconds. */
export function startLoadCount(options: {
  readonly place: PlaceKey;
  readonly now: number;
}): LoadCount {
  let since = options.now;
  /** A sample: all that were asked for until it is full. */
  let keys: string[] = [];
  let requests = new Map<number, number>();
  /** Slices held since the period began: of others only a part is counted. */
  let heldThroughout: ReadonlySet<number> = new Set();

  function measureSlices(
    { slices }: HeldSlices,
    seconds: number,
  ): readonly SliceLoad[] {
    const whole = [...slices].filter(([slice, { releasing }]) =>
      !releasing && heldThroughout.has(slice)
    );
    return whole.map(([slice]) => ({
      slice,
      requestsPerSecond: roundToTenth((requests.get(slice) ?? 0) / seconds),
    }));
  }

  function measureKeys(
    { table }: HeldSlices,
    seconds: number,
  ): readonly KeyLoad[] {
    const total = [...requests.values()].reduce((sum, n) => sum + n, 0);
    const scale = keys.length === 0 ? 0 : total / keys.length;
    const sketch = countKeys(beginSketch(sketchCapacity), keys);
    return busiestKeys(sketch, maxReportedKeys).map(({ key, count }) => ({
      key,
      slice: sliceOfKey(table, key, options.place),
      requestsPerSecond: roundToTenth(count * scale / seconds),
    }));
  }

  return {
    add(key, slice) {
      requests.set(slice, (requests.get(slice) ?? 0) + 1);
      if (keys.length < maxSampledKeys) keys.push(key);
    },
    measure(held, now) {
      if (now - since < minPeriodMilliseconds) return null;
      const seconds = (now - since) / 1_000;
      return {
        sliceLoads: measureSlices(held, seconds),
        keyLoads: measureKeys(held, seconds),
      };
    },
    restart({ slices }, now) {
      since = now;
      keys = [];
      requests = new Map();
      heldThroughout = new Set(slices.keys());
    },
  };
}

/** One decimal is enough, and keeps renewals short. */
function roundToTenth(value: number): number {
  return Math.round(value * 10) / 10;
}
