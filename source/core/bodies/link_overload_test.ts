import assert from "node:assert/strict";
import { describe, it } from "node:test";
import {
  deadlineMilliseconds,
  linkBytesPerMillisecond,
  meanBytes,
  objectiveMilliseconds,
  simulateLink,
} from "../../../tests/link_simulation.ts";
import {
  type LinkCapacityEvent,
  stepLinkCapacity,
  unmeasuredLink,
} from "./link_capacity.ts";

const seeds = [1, 2, 3, 4, 5];
const burstMilliseconds = 6_000;
const carried = burstMilliseconds * linkBytesPerMillisecond;

describe("large bodies offered over one link", () => {
  for (const load of [1, 2, 2.4]) {
    describe(`at ${load} times its capacity`, () => {
      const outcomes = seeds.map((seed) =>
        simulateLink({
          load: () => load,
          milliseconds: burstMilliseconds,
          seed,
        })
      );

      it("fill the link with bodies that arrive in time", () => {
        for (const { bytesInTime, bytesOffered } of outcomes) {
          const possible = Math.min(carried, bytesOffered);
          assert.ok(
            bytesInTime >= 0.8 * possible,
            `${bytesInTime} of ${possible}`,
          );
        }
      });

      it("leave a short queue for small messages", () => {
        for (
          const { maxQueueMilliseconds } of outcomes
        ) {
          assert.ok(
            maxQueueMilliseconds < 500,
            `${maxQueueMilliseconds}`,
          );
        }
      });

      it("are refused at once if they can't arrive in time", () => {
        for (const { refusedAfterMilliseconds } of outcomes) {
          const late = refusedAfterMilliseconds.filter((age) =>
            age > objectiveMilliseconds / 8
          );
          assert.ok(
            late.length <= refusedAfterMilliseconds.length / 20,
            `${late.length} of ${refusedAfterMilliseconds.length}`,
          );
        }
      });
    });
  }

  describe("that are refused", () => {
    // Guards against a retry delay after which the link is as full as before.
    it("may be retried when everything ahead of them has arrived", () => {
      const bytesPerSecond = 1_000_000;
      const waiting = Array.from({ length: 6 }, (_, index) => ({
        id: `r-${index}`,
        bytes: 100_000,
        objectiveAt: 5_000,
        deadlineAt: 5_000,
        waitsUntil: 5_000,
      }));
      const admitted = new Map([["c", { bytes: 200_000, expectedBy: 5_000 }]]);
      const { effects } = stepLinkCapacity(
        { ...unmeasuredLink, bytesPerSecond, waiting, admitted },
        {
          kind: "offered",
          offer: {
            id: "late",
            bytes: 1_000,
            objectiveAt: 1_500,
            deadlineAt: 3_000,
          },
          now: 1,
        },
      );
      assert.deepEqual(effects, [
        { kind: "refuse", id: "late", retryAfterMilliseconds: 800 },
      ]);
    });
  });

  describe("at half of its capacity", () => {
    it("are never refused", () => {
      for (const seed of seeds) {
        const calm = simulateLink({
          load: () => 0.5,
          milliseconds: 6_000,
          seed,
        });
        assert.deepEqual(calm.refusedAfterMilliseconds, []);
      }
    });
  });

  describe("from senders that never send them", () => {
    const offer = (id: string, now: number): LinkCapacityEvent => ({
      kind: "offered",
      offer: {
        id,
        bytes: meanBytes,
        objectiveAt: now + objectiveMilliseconds,
        deadlineAt: now + deadlineMilliseconds,
      },
      now,
    });

    it("are no longer expected after a time-out", () => {
      let state = unmeasuredLink;
      for (let index = 0; index < 20; index += 1) {
        state = stepLinkCapacity(state, offer(`lost-${index}`, 0)).state;
      }
      state = stepLinkCapacity(state, { kind: "tick", now: 2_000 }).state;
      const { effects } = stepLinkCapacity(state, offer("next", 5_000));
      assert.deepEqual(effects, [{ kind: "come", id: "next" }]);
    });
  });
});
