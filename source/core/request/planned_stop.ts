/**
 * Which requests begin while their agent stops as planned: what can't surely
 * end before the agent does is refused at once, so that nothing is cut off.
 *
 * @module
 */

/** A planned stop that has begun. Times are monotonic, in milliseconds. */
export interface PlannedStop {
  /** Until then callers can't know of it, and are served as before. */
  readonly announcedAt: number;
  /** A request whose time ends by then still gets its answer. */
  readonly endsAt: number;
}

/** Whether a request may be passed on now; `stop` is null while none is due. */
export function mayBegin(
  request: { readonly deadlineAt: number },
  options: { readonly stop: PlannedStop | null; readonly now: number },
): boolean {
  const { stop, now } = options;
  if (stop === null || now < stop.announcedAt) return true;
  return request.deadlineAt <= stop.endsAt;
}
