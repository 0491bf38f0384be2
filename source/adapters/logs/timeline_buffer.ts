/**
 * An agent's part of the time line: a bounded buffer of recent events, each of
 * which is also passed to the log.
 *
 * @module
 */
import type {
  EventDetail,
  EventKind,
  Events,
  TimelineEvent,
} from "../../ports/events.ts";
import type { LogicalClock } from "./logical_clock.ts";

/** The recent events of one agent. */
export interface TimelineBuffer extends Events {
  /** Events with a later logical time than this one, oldest first. */
  after(logicalTime: number): readonly TimelineEvent[];
}

/**
 * Events of requests have a buffer of their own, since they are so many that
 * they would displace all other events.
 */
const maxControlEvents = 2_000;
const maxRequestEvents = 6_000;

/** Creates an empty buffer. */
export function startTimeline(options: {
  readonly agent: string;
  readonly clock: LogicalClock;
  readonly log: (kind: EventKind, detail: EventDetail) => void;
}): TimelineBuffer {
  const control = createRing(maxControlEvents);
  const requests = createRing(maxRequestEvents);
  return {
    record(kind, detail = {}) {
      const event: TimelineEvent = {
        agent: options.agent,
        logicalTime: options.clock.next(),
        wallTime: Date.now(),
        kind,
        detail,
      };
      (kind.startsWith("request-") ? requests : control).add(event);
      options.log(kind, detail);
    },
    after(logicalTime) {
      return [...control.all(), ...requests.all()]
        .filter((event) => event.logicalTime > logicalTime)
        .sort((left, right) => left.logicalTime - right.logicalTime);
    },
  };
}

interface Ring {
  add(event: TimelineEvent): void;
  all(): readonly TimelineEvent[];
}

function createRing(capacity: number): Ring {
  const events: TimelineEvent[] = [];
  let next = 0;
  return {
    add(event) {
      events[next % capacity] = event;
      next += 1;
    },
    all: () => events,
  };
}
