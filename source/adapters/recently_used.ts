/**
 * A bound on entries that are opened on demand: the least recently used one
 * makes room for a new one.
 *
 * @module
 */

/**
 * Returns the entry of a key, creating it if there is none. With more entries
 * than `max`, the least recently used one is removed and passed to `evict`. A map iterates in the order of insertion, so that one is the first.
 */
export function useEntry<Key, Value>(
  entries: Map<Key, Value>,
  key: Key,
  options: {
    readonly max: number;
    readonly create: () => Value;
    readonly evict?: (value: Value) => void;
  },
): Value {
  const value = entries.get(key) ?? options.create();
  entries.delete(key);
  entries.set(key, value);
  const [oldest] = entries;
  if (entries.size > options.max && oldest !== undefined) {
    entries.delete(oldest[0]);
    options.evict?.(oldest[1]);
  }
  return value;
}
