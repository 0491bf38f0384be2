/**
 * Measures the request rates of a holder's slices and busiest keys, which its
 * renewals report to the grantor.
 *
 * Renewals follow each other closely while slices move. A rate counted between
 * two of them would be noise: one request within 100 ms would count as ten a
 * second. So requests are counted until a minimum period has passed, and
 * renewals before that report no load.
 *
 * @module
 */
import type { HolderState } from "../core/ownership/holder.ts";
import type { KeyLoad, SliceLoad } from "../core/ownership/renewal.ts";
import { type PlaceKey, sliceOfKey } from "../core/ownership/table.ts";
import { busiestKeys, countKeys, createSketch } from "../core/load/sketch.ts";

const sketchCapacity = 64;
const maxReportedKeys = 16;

/** Request rates by slice and, for the busiest keys, by key. */
export interface MeasuredLoad {
  readonly sliceLoads: readonly SliceLoad[];
  readonly keyLoads: readonly KeyLoad[];
}

/** A running count of requests. */
export interface LoadCount {
  /** Counts one request. */
  add(key: string, slice: number): void;
  /** The rates since the period began; null before its minimum length. */
  measure(held: HeldSlices, now: number): MeasuredLoad | null;
  /** Starts a new period; called once the grantor has the last one's rates. */
  restart(held: HeldSlices, now: number): void;
}

/** The part of a holder's state that its load is measured by. */
export type HeldSlices = Pick<HolderState, "slices" | "table">;

/** Maximum number of keys sampled for the sketch in one period. */
const maxSampledKeys = 512;
/** Slightly less than the regular interval between two renewals. */
const minPeriodMilliseconds = 800;

/** Starts counting; `now` is on the monotonic clock, in milliseconds. */
export function startLoadCount(options: {
  readonly place: PlaceKey;
  readonly now: number;
}): LoadCount {
  let since = options.now;
  /** The sampled keys: those of the first requests of the period. */
  let keys: string[] = [];
  let requests = new Map<number, number>();
  /** Slices held since the period began; counts of others are incomplete. */
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
    const sketch = countKeys(createSketch(sketchCapacity), keys);
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

/** Rounds to one decimal, which is precise enough and keeps renewals short. */
function roundToTenth(value: number): number {
  return Math.round(value * 10) / 10;
}
