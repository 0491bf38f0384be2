/**
 * The answer to slices with few requests each, on servers that nobody has seen
 * at work: what is measured in one second is mostly chance.
 *
 * A rate follows what is measured slowly, up and down alike, or slices with few
 * requests would seem to have more than they do, and their servers to be full.
 * It follows at once what can't be chance, of one slice or of all that a server
 * holds. A speed is taken from the first requests that ran, and then steadied.
 *
 * @module
 */
import type { SliceLoad } from "./renewal.ts";

/** The part of a change that is taken over from one second's measure. */
const defaultSmoothing = 0.2;
/** The same where the change can't be chance. */
const fastSmoothing = 0.8;
/** A change of more standard deviations than this is not taken for chance. */
const maxDeviations = 3;

/** The rates of slices, in requests a second, after one server's report. */
export function smoothRates(
  rates: ReadonlyMap<number, number>,
  measured: readonly SliceLoad[],
): ReadonlyMap<number, number> {
  const known = measured.filter(({ slice }) => rates.has(slice));
  const allChanged = isSignificantChange({
    rate: sum(known.map(({ slice }) => rates.get(slice) ?? 0)),
    measured: sum(known.map((load) => load.requestsPerSecond)),
  });
  const next = new Map(rates);
  for (const { slice, requestsPerSecond } of measured) {
    const rate = rates.get(slice) ?? requestsPerSecond;
    const quick = allChanged ||
      isSignificantChange({ rate, measured: requestsPerSecond });
    const smoothing = quick ? fastSmoothing : defaultSmoothing;
    next.set(slice, rate + (requestsPerSecond - rate) * smoothing);
  }
  return next;
}

/** Counts of a second vary by the root of their mean. */
function isSignificantChange(
  { rate, measured }: { readonly rate: number; readonly measured: number },
): boolean {
  const deviation = Math.sqrt(Math.max(1, rate));
  return Math.abs(measured - rate) > maxDeviations * deviation;
}

function sum(values: readonly number[]): number {
  return values.reduce((total, value) => total + value, 0);
}

/** What a server can run in a second, and how many seconds it was seen at it. */
export interface SmoothedWeight {
  readonly weight: number;
  readonly weighings: number;
}

/**
 * The weight of a server after one report. While it has run nothing it states a
 * usual weight, which the first second of requests replaces.
 */
export function smoothWeight(
  former: SmoothedWeight | undefined,
  report: {
    readonly weight: number;
    readonly sliceLoads: readonly SliceLoad[];
  },
): SmoothedWeight {
  const worked = report.sliceLoads.some((load) => load.requestsPerSecond > 0);
  if (former === undefined) return { weight: report.weight, weighings: 0 };
  if (!worked) return { weight: former.weight, weighings: former.weighings };
  const weighings = former.weighings + 1;
  const smoothing = Math.max(defaultSmoothing, 1 / weighings);
  const weight = former.weight + (report.weight - former.weight) * smoothing;
  return { weight, weighings };
}
