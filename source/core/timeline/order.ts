/**
 * Ordering of events from many processes.
 *
 * Invariant: an event never comes before one that could have caused it.
 *
 * @module
 */

/** The fields by which events are ordered. */
export interface OrderedEvent {
  readonly agent: string;
  readonly logicalTime: number;
  readonly wallTime: number;
}

/** Sorts by logical time; wall clocks, which may differ, only break ties. */
export function orderEvents<Event extends OrderedEvent>(
  events: readonly Event[],
): readonly Event[] {
  return [...events].sort((left, right) =>
    left.logicalTime - right.logicalTime ||
    left.wallTime - right.wallTime ||
    (left.agent < right.agent ? -1 : 1)
  );
}
