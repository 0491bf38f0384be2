import assert from "node:assert/strict";
import { describe, it } from "node:test";
import {
  type LinkCapacityEvent,
  stepLinkCapacity,
  unmeasuredLink,
} from "./link_capacity.ts";

const objectiveMilliseconds = 2_000;
const deadlineMilliseconds = 4_000;
const offerEveryMilliseconds = 50;
const bodyBytes = 60_000;

/** The times of refusals over a simulated link with capacity to spare. */
function refusals(options: {
  readonly milliseconds: number;
  /** How long a body takes that is admitted at this time. */
  readonly takes: (now: number) => number;
}): readonly number[] {
  const refusedAt: number[] = [];
  const due = new Map<number, LinkCapacityEvent[]>();
  let state = unmeasuredLink;

  function feed(event: LinkCapacityEvent): void {
    const next = stepLinkCapacity(state, event);
    state = next.state;
    for (const { kind, id } of next.effects) {
      if (kind === "refuse") refusedAt.push(event.now);
      else {
        const now = event.now + options.takes(event.now);
        due.set(now, [...due.get(now) ?? [], { kind: "arrived", id, now }]);
      }
    }
  }

  for (let now = 0; now < options.milliseconds; now += 10) {
    for (const event of due.get(now) ?? []) feed(event);
    due.delete(now);
    if (now % offerEveryMilliseconds === 0) {
      const offer = {
        id: `r-${now}`,
        bytes: bodyBytes,
        objectiveAt: now + objectiveMilliseconds,
        deadlineAt: now + deadlineMilliseconds,
      };
      feed({ kind: "offered", offer, now });
    }
    feed({ kind: "tick", now });
  }
  return refusedAt;
}

describe("bodies from senders that become slow", () => {
  describe("over a link that has capacity for all of them", () => {
    // Guards against taking a link for full for ever because no body is as
    // little delayed any more as the least delayed one was.
    for (const slow of [200, 400, 600]) {
      it(`are all admitted after half a minute, at ${slow} ms for each`, () => {
        const changesAt = 5_000;
        const refusedAt = refusals({
          milliseconds: 60_000,
          takes: (now) => now < changesAt ? 20 : slow,
        });
        const late = refusedAt.filter((now) => now > changesAt + 30_000);
        assert.equal(late.length, 0, `${late.length} of ${refusedAt.length}`);
      });
    }
  });
});
