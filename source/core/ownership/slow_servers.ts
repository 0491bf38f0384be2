/**
 * Gives slow servers a smaller share of the load while there is spare capacity.
 * On a slow server a request may miss its deadline even without queueing, so
 * equal utilization of all servers would make many requests late that a faster
 * server answers in time.
 *
 * The utilization of a slow server is increased for placement by a penalty that
 * shrinks as the mean utilization grows. At full utilization every slot is
 * needed, and all servers are utilized equally.
 *
 * @module
 */

/** Limit of the penalty, for an infinitely slow server while all are idle. */
const maxSlownessPenalty = 1;

/**
 * The utilization of each server with the penalty added. A server's weight is
 * the number of requests that it can run in a second, and its utilization the
 * requests that it gets in a second divided by its weight.
 */
export function penalizeSlowServers<Id>(
  utilizations: ReadonlyMap<Id, number>,
  weightOf: (id: Id) => number,
): Map<Id, number> {
  const fastest = Math.max(0, ...[...utilizations.keys()].map(weightOf));
  const spareShare = Math.max(0, 1 - meanUtilization(utilizations, weightOf));
  return new Map(
    [...utilizations].map(([id, utilization]) => {
      const slowness = 1 - weightOf(id) / fastest;
      return [id, utilization + maxSlownessPenalty * slowness * spareShare];
    }),
  );
}

function meanUtilization<Id>(
  utilizations: ReadonlyMap<Id, number>,
  weightOf: (id: Id) => number,
): number {
  let used = 0;
  let capacity = 0;
  for (const [id, utilization] of utilizations) {
    used += utilization * weightOf(id);
    capacity += weightOf(id);
  }
  return capacity === 0 ? 1 : used / capacity;
}
