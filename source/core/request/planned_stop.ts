/**
 * Which requests an agent still starts during its planned stop. A request that
 * may not end before the agent does is refused at once, so that none is cut
 * off.
 *
 * @module
 */

/** A planned stop in progress. Times are monotonic, in milliseconds. */
export interface PlannedStop {
  /** Until then callers don't know of it, and are served as before. */
  readonly announcedAt: number;
  /** A request whose deadline is not after this still gets its answer. */
  readonly endsAt: number;
}

/** Whether a request may start now; `stop` is null without a planned stop. */
export function mayStart(
  request: { readonly deadlineAt: number },
  options: { readonly stop: PlannedStop | null; readonly now: number },
): boolean {
  const { stop, now } = options;
  if (stop === null || now < stop.announcedAt) return true;
  return request.deadlineAt <= stop.endsAt;
}
