import assert from "node:assert/strict";
import { describe, it } from "node:test";
import {
  deadlineMilliseconds,
  linkBytesPerMillisecond,
  meanBytes,
  objectiveMilliseconds,
  simulateLink,
} from "../../../tests/link_simulation.ts";
import { type LinkRoomEvent, stepLinkRoom, unknownLink } from "./link_room.ts";

const seeds = [1, 2, 3, 4, 5];
const burstMilliseconds = 6_000;
const carried = burstMilliseconds * linkBytesPerMillisecond;

describe("bodies larger together than a link carries", () => {
  for (const load of [1, 2, 2.4]) {
    describe(`at ${load} times what it carries`, () => {
      const outcomes = seeds.map((seed) =>
        simulateLink({
          load: () => load,
          milliseconds: burstMilliseconds,
          seed,
        })
      );

      it("fills the link with bodies that arrive in time", () => {
        for (const { bytesInTime, bytesOffered } of outcomes) {
          const most = Math.min(carried, bytesOffered);
          assert.ok(bytesInTime >= 0.8 * most, `${bytesInTime} of ${most}`);
        }
      });

      it("keeps the link short for small messages", () => {
        for (
          const { maxQueueMilliseconds: longestQueueMilliseconds } of outcomes
        ) {
          assert.ok(
            longestQueueMilliseconds < 500,
            `${longestQueueMilliseconds}`,
          );
        }
      });

      it("refuses at once what can't arrive in time", () => {
        for (const { refusedAfterMilliseconds: refusedAfter } of outcomes) {
          const held = refusedAfter.filter((age) =>
            age > objectiveMilliseconds / 8
          );
          assert.ok(
            held.length <= refusedAfter.length / 20,
            `${held.length} of ${refusedAfter.length}`,
          );
        }
      });
    });
  }

  describe("that are refused", () => {
    /** Callers came back to a link that was as full as before. */
    it("may come back when what went before them has arrived", () => {
      const bytesPerSecond = 1_000_000;
      const waiting = Array.from({ length: 6 }, (_, index) => ({
        id: `r-${index}`,
        bytes: 100_000,
        objectiveAt: 5_000,
        deadlineAt: 5_000,
        waitsUntil: 5_000,
      }));
      const coming = new Map([["c", { bytes: 200_000, expectedBy: 5_000 }]]);
      const { effects } = stepLinkRoom(
        { ...unknownLink, bytesPerSecond, waiting, coming },
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

  describe("once a burst is over", () => {
    it("refuses nothing that the link carries", () => {
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

  describe("from a sender that does not send", () => {
    const offer = (id: string, now: number): LinkRoomEvent => ({
      kind: "offered",
      offer: {
        id,
        bytes: meanBytes,
        objectiveAt: now + objectiveMilliseconds,
        deadlineAt: now + deadlineMilliseconds,
      },
      now,
    });

    it("are not waited for", () => {
      let state = unknownLink;
      for (let index = 0; index < 20; index += 1) {
        state = stepLinkRoom(state, offer(`lost-${index}`, 0)).state;
      }
      state = stepLinkRoom(state, { kind: "tick", now: 2_000 }).state;
      const { effects } = stepLinkRoom(state, offer("next", 5_000));
      assert.deepEqual(effects, [{ kind: "come", id: "next" }]);
    });
  });
});
