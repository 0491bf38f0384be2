import assert from "node:assert/strict";
import { describe, it } from "node:test";
import {
  createHold,
  holdDefinitelyEndsAt,
  recordOrderAnswered,
  recordOrderSent,
  type TargetHold,
} from "./target_hold.ts";

const token = { epoch: 1, sequence: 1 };
const holdMilliseconds = 1_000;
const times = { longestDelayMilliseconds: 12_500, clockSlowShare: 0 };

describe("keys that a target was told to hold", () => {
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

  function surelyEnds(hold: TargetHold): number {
    return holdDefinitelyEndsAt(hold, { targetLives: true });
  }

  describe("by two orders, the earlier without an answer", () => {
    // Guards against keys that two targets hold: the answer to a later order
    // made the earlier one forgotten, which then took effect late.
    it("are held as long as that one may have them held", () => {
      const hold = answer(send(send(createHold(token), 0), 200), 200);
      assert.equal(surelyEnds(hold), 0 + 12_500 + holdMilliseconds);
    });

    it("are held no longer once that is answered as well", () => {
      const sent = send(send(createHold(token), 0), 200);
      assert.equal(surelyEnds(answer(answer(sent, 200), 0)), 250 + 1_000);
    });

    it("are held by neither of them once the target is gone", () => {
      const hold = answer(send(send(createHold(token), 0), 200), 200);
      const ends = holdDefinitelyEndsAt(hold, { targetLives: false });
      assert.equal(ends, 250 + holdMilliseconds);
    });
  });

  describe("by orders of long ago", () => {
    it("are not remembered for all of them", () => {
      let hold = createHold(token);
      for (let sentAt = 0; sentAt < 100_000; sentAt += 200) {
        hold = send(hold, sentAt);
      }
      assert.ok(hold.unanswered.length <= 13_500 / 200 + 1);
    });
  });
});
