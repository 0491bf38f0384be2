/**
 * Decides when a process collects its garbage by itself. The runtime lets
 * garbage grow to several times of what is held, and does not know how much
 * memory its machine has.
 *
 * @module
 */

/** Bounds for collecting garbage. */
export interface CollectionBounds {
  /** Above this much resident memory, in bytes, garbage is collected. */
  readonly residentBytes: number;
  /** Bytes that must have passed through the process since the last look. */
  readonly passedBytes: number;
  /**
   * The share of the time that collections may take, as each of them blocks the
   * process.
   */
  readonly maxTimeShare: number;
}

/** What has happened since the latest collection. */
export interface CollectionState {
  readonly passedBytes: number;
  /** When the latest one ended, on the monotonic clock; null if none has. */
  readonly collectedAt: number | null;
  /** How long the latest one took. */
  readonly milliseconds: number;
}

/** Nothing has happened. */
export const nothingCollected: CollectionState = {
  passedBytes: 0,
  collectedAt: null,
  milliseconds: 0,
};

/** Whether enough has passed to look at the resident memory. */
export function isDue(
  { passedBytes, collectedAt, milliseconds }: CollectionState,
  bounds: CollectionBounds,
  now: number,
): boolean {
  const pause = milliseconds / bounds.maxTimeShare - milliseconds;
  return passedBytes >= bounds.passedBytes &&
    (collectedAt === null || now - collectedAt >= pause);
}
