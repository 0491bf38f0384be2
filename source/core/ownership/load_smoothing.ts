/**
 * Smooths the request rates of slices and the weights of servers. A slice may
 * get only a few requests, so that the count of one second is mostly chance.
 *
 * A rate follows the measured one slowly, and equally in both directions. If it
 * rose faster than it fell, slices with few requests would seem to have more
 * than they do, and their servers would seem to be full. It follows quickly
 * when the change is statistically significant, for the slice alone or for all
 * slices of the server. A weight is taken from the first second of requests,
 * and smoothed from then on.
 *
 * @module
 */
import type { SliceLoad } from "./renewal.ts";

/** Share of a change that is adopted from the measurement of one second. */
const defaultSmoothing = 0.2;
/** The share that is adopted if the change is significant. */
const fastSmoothing = 0.8;
/** A change of more standard deviations than this is significant. */
const maxDeviations = 3;

/** Updates rates by slice, in requests a second, from one server's report. */
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
    const significant = allChanged ||
      isSignificantChange({ rate, measured: requestsPerSecond });
    const smoothing = significant ? fastSmoothing : defaultSmoothing;
    next.set(slice, rate + (requestsPerSecond - rate) * smoothing);
  }
  return next;
}

/** The standard deviation of a count is about the square root of its mean. */
function isSignificantChange(
  { rate, measured }: { readonly rate: number; readonly measured: number },
): boolean {
  const deviation = Math.sqrt(Math.max(1, rate));
  return Math.abs(measured - rate) > maxDeviations * deviation;
}

function sum(values: readonly number[]): number {
  return values.reduce((total, value) => total + value, 0);
}

/** A server's weight, with the number of reports that it was measured from. */
export interface SmoothedWeight {
  /** Requests that the server can run in a second. */
  readonly weight: number;
  readonly samples: number;
}

/**
 * Updates a server's weight from one report. A server that has not run any
 * request reports a default weight, which the first second of requests
 * replaces.
 */
export function smoothWeight(
  former: SmoothedWeight | undefined,
  report: {
    readonly weight: number;
    readonly sliceLoads: readonly SliceLoad[];
  },
): SmoothedWeight {
  const hasRun = report.sliceLoads.some((load) => load.requestsPerSecond > 0);
  if (former === undefined) return { weight: report.weight, samples: 0 };
  if (!hasRun) return { weight: former.weight, samples: former.samples };
  const samples = former.samples + 1;
  const smoothing = Math.max(defaultSmoothing, 1 / samples);
  const weight = former.weight + (report.weight - former.weight) * smoothing;
  return { weight, samples };
}
