/**
 * The weights by which slices are placed in a large group that has just begun
 * to get requests: few servers have run many of them, most have run none.
 *
 * A weight that no request has been measured for is a default, and one from a
 * few requests may be several times too high. A single server that seems so
 * much faster than the others would get slices from all of them, and refuse
 * most of their requests. So a server counts as a typical one of its group at
 * most until it has run requests, and as not far above that until it has run
 * them for a while. A low weight is taken as it is: a new grantor has no reports
 * yet, and would give a slow server as much as the others.
 *
 * A limit holds at once, and only as long as it is reported: a target is cold for
 * a few seconds, in which a smoothed weight would hardly have changed.
 *
 * @module
 */
import type { SmoothedWeight } from "./load_smoothing.ts";

/** The median is taken over measured weights from this number of them on. */
const minMeasuredServers = 5;
/** Reports, one a second, from which on a weight is taken as it is. */
const minTrustedSamples = 10;
/** Until then it counts as the median times this at most. */
const maxUntrustedFactor = 2;

/** A server whose weight may be limited, as that of a cold one is. */
interface WeighedServer extends SmoothedWeight {
  readonly weightLimit?: number | undefined;
}

/** The weight of each server to place slices by, at least 1. */
export function placementWeights<Id>(
  servers: ReadonlyMap<Id, WeighedServer>,
): ReadonlyMap<Id, number> {
  const all = [...servers.values()];
  const measured = all.filter(({ samples }) => samples > 0);
  const typical = median(
    (measured.length < minMeasuredServers ? all : measured)
      .map(({ weight }) => weight),
  );
  return new Map(
    [...servers].map(([id, server]) => {
      const { weightLimit = Infinity } = server;
      const weight = Math.min(weightLimit, placementWeight(server, typical));
      return [id, Math.max(1, weight)];
    }),
  );
}

function placementWeight(
  { weight, samples }: SmoothedWeight,
  typical: number,
): number {
  if (samples >= minTrustedSamples) return weight;
  const most = samples === 0 ? typical : typical * maxUntrustedFactor;
  return Math.max(1, Math.min(most, weight));
}

/** The lower of the two middle values, if there are two. */
function median(values: readonly number[]): number {
  const sorted = values.toSorted((left, right) => left - right);
  return sorted[Math.floor((sorted.length - 1) / 2)] ?? 1;
}
