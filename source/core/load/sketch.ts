/**
 * A sketch of the most frequent keys, by the space-saving algorithm: it counts
 * a bounded number of keys, and never undercounts a key that it contains.
 *
 * @module
 */

/** A counted key. */
export interface KeyCount {
  readonly key: string;
  readonly count: number;
}

/** Counts since the sketch was created. */
export interface Sketch {
  readonly capacity: number;
  readonly counts: ReadonlyMap<string, number>;
}

/** An empty sketch that holds at most `capacity` keys. */
export function createSketch(capacity: number): Sketch {
  return { capacity, counts: new Map() };
}

/** Counts a batch of keys; repeated keys count repeatedly. */
export function countKeys(sketch: Sketch, keys: readonly string[]): Sketch {
  if (keys.length === 0) return sketch;
  const counts = new Map(sketch.counts);
  for (const key of keys) countOne(counts, { key, capacity: sketch.capacity });
  return { ...sketch, counts };
}

function countOne(
  counts: Map<string, number>,
  entry: { readonly key: string; readonly capacity: number },
): void {
  const count = counts.get(entry.key);
  if (count !== undefined || counts.size < entry.capacity) {
    counts.set(entry.key, (count ?? 0) + 1);
    return;
  }
  const [rarest, fewest] = rarestOf(counts);
  counts.delete(rarest);
  counts.set(entry.key, fewest + 1);
}

function rarestOf(counts: ReadonlyMap<string, number>): [string, number] {
  let rarest: [string, number] = ["", Infinity];
  for (const entry of counts) if (entry[1] < rarest[1]) rarest = entry;
  return rarest;
}

/** The keys with the highest counts, at most `limit`, the highest first. */
export function busiestKeys(
  sketch: Sketch,
  limit: number,
): readonly KeyCount[] {
  return [...sketch.counts]
    .map(([key, count]) => ({ key, count }))
    .sort((left, right) => right.count - left.count)
    .slice(0, limit);
}
