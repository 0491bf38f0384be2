/**
 * The answer to servers of unequal speed while there is room: on a slow server
 * even a request that waits for nothing may be late, so that servers used
 * alike make many requests late that a faster one would answer in time.
 *
 * A slow server counts as used somewhat more than it is, and is given less,
 * as long as the servers together are not in full use. In full use every slot
 * counts, and all are used alike.
 *
 * @module
 */

/** Use that the slowest conceivable server is counted with while all idle. */
const maxSlownessPenalty = 1;

/**
 * The use of each server as placement shall see it. A server's weight is what
 * it can run in a second, and its use the part of that which it is given.
 */
export function penalizeSlowServers<Id>(
  uses: ReadonlyMap<Id, number>,
  weightOf: (id: Id) => number,
): Map<Id, number> {
  const fastest = Math.max(0, ...[...uses.keys()].map(weightOf));
  const room = Math.max(0, 1 - meanUtilization(uses, weightOf));
  return new Map(
    [...uses].map(([id, use]) => {
      const slowness = 1 - weightOf(id) / fastest;
      return [id, use + maxSlownessPenalty * slowness * room];
    }),
  );
}

function meanUtilization<Id>(
  uses: ReadonlyMap<Id, number>,
  weightOf: (id: Id) => number,
): number {
  let given = 0;
  let possible = 0;
  for (const [id, use] of uses) {
    given += use * weightOf(id);
    possible += weightOf(id);
  }
  return possible === 0 ? 1 : given / possible;
}
