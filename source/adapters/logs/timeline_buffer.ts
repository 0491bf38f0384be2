/**
 * An agent's part of the time line: a bounded number of recent events, and a
 * log line for those that operators want to see.
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

/** The events of one agent. */
export interface TimelineBuffer extends Events {
  /** Events after this logical time, oldest first. */
  after(logicalTime: number): readonly TimelineEvent[];
}

/** Requests are many: they can't push out what happened to the system. */
const mostControlEvents = 2_000;
const mostRequestEvents = 6_000;

/** Starts empty. */
export function startTimeline(options: {
  readonly agent: string;
  readonly clock: LogicalClock;
  readonly log: (kind: EventKind, detail: EventDetail) => void;
}): TimelineBuffer {
  const control = startRing(mostControlEvents);
  const requests = startRing(mostRequestEvents);
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

function startRing(capacity: number): Ring {
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
