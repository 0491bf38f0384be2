import assert from "node:assert/strict";
import { describe, it } from "node:test";
import {
  type LinkCapacityState,
  stepLinkCapacity,
  unmeasuredLink,
} from "./link_capacity.ts";

interface Counts {
  readonly refused: number;
  readonly came: number;
  readonly bytesPerSecond: number | null;
}

/** Simulates a link with capacity to spare: each body takes the same time. */
function simulate(options: {
  readonly bytes: number;
  readonly offersPerSecond: number;
  readonly takesMilliseconds: number;
  readonly seconds: number;
}): Counts {
  let state: LinkCapacityState = unmeasuredLink;
  let refused = 0;
  let came = 0;
  const due: { readonly id: string; readonly at: number }[] = [];
  const apply = (event: Parameters<typeof stepLinkCapacity>[1]) => {
    const next = stepLinkCapacity(state, event);
    state = next.state;
    for (const effect of next.effects) {
      if (effect.kind === "refuse") refused += 1;
      else {
        came += 1;
        due.push({ id: effect.id, at: event.now + options.takesMilliseconds });
      }
    }
  };
  const every = 1_000 / options.offersPerSecond;
  for (let now = 0; now < options.seconds * 1_000; now += 10) {
    for (const { id } of due.filter(({ at }) => at === now)) {
      apply({ kind: "arrived", id, now });
    }
    if (now % every === 0) {
      const offer = {
        id: `r-${now}`,
        bytes: options.bytes,
        objectiveAt: now + 2_000,
        deadlineAt: now + 4_000,
      };
      apply({ kind: "offered", offer, now });
    }
    if (now % 50 === 0) apply({ kind: "tick", now });
  }
  return { refused, came, bytesPerSecond: state.bytesPerSecond };
}

describe("bodies from many slow senders", () => {
  describe("over a link that has capacity for all of them", () => {
    // Guards against taking a link for slow because its senders are slow: then
    // most of what it could carry is refused.
    for (const takesMilliseconds of [80, 140, 160, 200, 300, 450, 900]) {
      it(`are all admitted, at ${takesMilliseconds} ms for each`, () => {
        const counts = simulate({
          bytes: 60_000,
          offersPerSecond: 20,
          takesMilliseconds,
          seconds: 20,
        });
        assert.equal(counts.refused, 0, JSON.stringify(counts));
      });
    }
  });
});
