import assert from "node:assert/strict";
import { describe, it } from "node:test";
import type { Clocks } from "../clocks.ts";
import {
  createDepartureClock,
  departureTime,
  type MinDifference,
  recordArrival,
  stepDepartureClock,
} from "./transit_delay.ts";

/** How far the receiver's clock is ahead of the sender's. */
const offset = -500_000;

describe("the transit delay of messages", () => {
  function arrive(
    known: MinDifference | null,
    { at, milliseconds }: {
      readonly at: number;
      readonly milliseconds: number;
    },
  ) {
    return recordArrival(known, {
      departedAt: at,
      arrivedAt: at + offset + milliseconds,
    });
  }

  describe("on a link that fills up", () => {
    // Guards against a request that runs after its deadline because the time it
    // had left was counted from its arrival.
    it("is how much longer a message takes than the fastest one", () => {
      const first = arrive(null, { at: 0, milliseconds: 30 });
      const fast = arrive(first.minDifference, { at: 100, milliseconds: 10 });
      const slow = arrive(fast.minDifference, {
        at: 200,
        milliseconds: 1_510,
      });
      assert.equal(first.delayMilliseconds, 0);
      assert.equal(fast.delayMilliseconds, 0);
      assert.ok(Math.abs(slow.delayMilliseconds - 1_500) < 20);
    });

    it("is measured even if no further fast message comes", () => {
      let { minDifference } = arrive(null, { at: 0, milliseconds: 10 });
      let delay = 0;
      for (let at = 0; at < 10_000; at += 100) {
        const arrival = arrive(minDifference, { at, milliseconds: 1_510 });
        minDifference = arrival.minDifference;
        delay = arrival.delayMilliseconds;
      }
      assert.ok(delay > 1_350, `${delay}`);
    });
  });

  describe("on a link that is seldom used", () => {
    // Guards against taking a queue that a few messages met for the baseline.
    it("is measured for a few delayed messages, far apart", () => {
      let { minDifference } = arrive(null, { at: 0, milliseconds: 10 });
      for (const at of [10_000, 35_000, 60_000]) {
        const arrival = arrive(minDifference, { at, milliseconds: 1_510 });
        minDifference = arrival.minDifference;
        assert.ok(arrival.delayMilliseconds > 800);
      }
    });
  });

  describe("from a machine whose clocks stopped for five seconds", () => {
    // Guards against refusing requests as late for minutes: the sender's clock
    // had stopped, and the larger difference was taken for a queue.
    it("is small again for fast messages within half a minute", () => {
      const stoppedMilliseconds = 5_000;
      let { minDifference } = arrive(null, { at: 0, milliseconds: 10 });
      let delay = 0;
      for (let at = 10_000; at < 40_000; at += 100) {
        const arrival = arrive(minDifference, {
          at,
          milliseconds: stoppedMilliseconds + 10,
        });
        minDifference = arrival.minDifference;
        delay = arrival.delayMilliseconds;
      }
      assert.ok(delay < 100, `${delay} ms late`);
    });
  });

  describe("between clocks that drift by one part in a thousand", () => {
    it("doesn't include the drift of an hour", () => {
      let { minDifference } = arrive(null, { at: 0, milliseconds: 10 });
      for (let at = 0; at < 3_600_000; at += 1_000) {
        const arrival = arrive(minDifference, {
          at,
          milliseconds: 10 + at / 1_000,
        });
        minDifference = arrival.minDifference;
        assert.ok(arrival.delayMilliseconds < 10);
      }
    });
  });
});

describe("the departure clock", () => {
  const began: Clocks = { monotonic: 1_000, wall: 50_000 };
  const clock = createDepartureClock(began);

  function timeAfter(...readings: readonly Clocks[]): number {
    const last = readings.at(-1) ?? began;
    return departureTime(readings.reduce(stepDepartureClock, clock), last);
  }

  describe("of a host that was suspended", () => {
    // Guards against treating all messages of a host as delayed for ever.
    it("includes the suspension", () => {
      const time = timeAfter({ monotonic: 1_100, wall: 53_100 });
      assert.equal(time, 4_100);
    });

    it("includes each suspension once", () => {
      const time = timeAfter(
        { monotonic: 1_100, wall: 53_100 },
        { monotonic: 1_200, wall: 53_200 },
        { monotonic: 1_300, wall: 55_300 },
      );
      assert.equal(time, 6_300);
    });
  });

  describe("of a host whose wall clock is set back", () => {
    it("isn't set back", () => {
      const time = timeAfter({ monotonic: 1_100, wall: 20_000 });
      assert.equal(time, 1_100);
    });

    it("includes a later suspension", () => {
      const time = timeAfter(
        { monotonic: 1_100, wall: 20_000 },
        { monotonic: 1_200, wall: 22_100 },
      );
      assert.equal(time, 3_200);
    });
  });
});
