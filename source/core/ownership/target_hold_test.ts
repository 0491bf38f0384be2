import assert from "node:assert/strict";
import { describe, it } from "node:test";
import {
  createHold,
  holdEndsBy,
  recordOrderAnswered,
  recordOrderSent,
  type TargetHold,
} from "./target_hold.ts";

const token = { epoch: 1, sequence: 1 };
const holdMilliseconds = 1_000;
const times = { maxDelayMilliseconds: 12_500, maxClockSlowShare: 0 };

describe("keys that a target was ordered to hold", () => {
  function send(hold: TargetHold, sentAt: number): TargetHold {
    return recordOrderSent(hold, { token, sentAt, holdMilliseconds }, times);
  }

  function answer(hold: TargetHold, sentAt: number): TargetHold {
    const answeredAt = sentAt + 50;
    return recordOrderAnswered(
      hold,
      { sentAt, answeredAt, holdMilliseconds },
      times,
    );
  }

  function definitelyEndsAt(hold: TargetHold): number {
    return holdEndsBy(hold, { targetLives: true });
  }

  describe("by two orders, the earlier of which is unanswered", () => {
    // Guards against keys that two targets hold: the answer to a later order
    // discarded the earlier one, which then took effect with a delay.
    it("are held as long as the earlier one may have an effect", () => {
      const hold = answer(send(send(createHold(token), 0), 200), 200);
      assert.equal(definitelyEndsAt(hold), 0 + 12_500 + holdMilliseconds);
    });

    it("are held for the later one only once both are answered", () => {
      const sent = send(send(createHold(token), 0), 200);
      assert.equal(definitelyEndsAt(answer(answer(sent, 200), 0)), 250 + 1_000);
    });

    it("are not held by the unanswered one once the target has ended", () => {
      const hold = answer(send(send(createHold(token), 0), 200), 200);
      const ends = holdEndsBy(hold, { targetLives: false });
      assert.equal(ends, 250 + holdMilliseconds);
    });
  });

  describe("by many orders over a long time", () => {
    it("keep no record of orders that can have no effect any more", () => {
      let hold = createHold(token);
      for (let sentAt = 0; sentAt < 100_000; sentAt += 200) {
        hold = send(hold, sentAt);
      }
      assert.ok(hold.unanswered.length <= 13_500 / 200 + 1);
    });
  });
});
