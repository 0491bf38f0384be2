/**
 * The order of events of many processes.
 *
 * Invariant: an event never stands before one that could have caused it.
 *
 * @module
 */

/** What ordering needs of an event. */
export interface OrderedEvent {
  readonly agent: string;
  readonly logicalTime: number;
  readonly wallTime: number;
}

/** Sorts by logical time; wall clocks, which differ, only settle ties. */
export function orderEvents<Event extends OrderedEvent>(
  events: readonly Event[],
): readonly Event[] {
  return [...events].sort((left, right) =>
    left.logicalTime - right.logicalTime ||
    left.wallTime - right.wallTime ||
    (left.agent < right.agent ? -1 : 1)
  );
}
