import assert from "node:assert/strict";
import { describe, it } from "node:test";
import type { Clocks } from "../clocks.ts";
import {
  beginDepartureClock,
  departureTime,
  type LeastDifference,
  noteArrival,
  stepDepartureClock,
} from "./transit.ts";

/** The receiver's clock shows this much more than the sender's. */
const offset = -500_000;

describe("the time that messages spend on their way", () => {
  function arrive(
    known: LeastDifference | null,
    { at, milliseconds }: {
      readonly at: number;
      readonly milliseconds: number;
    },
  ) {
    return noteArrival(known, {
      departedAt: at,
      arrivedAt: at + offset + milliseconds,
    });
  }

  describe("on a link that fills up", () => {
    // Guards against a request that runs after its deadline since what was
    // left of its time began anew on arrival.
    it("is what a message takes longer than the quickest", () => {
      const first = arrive(null, { at: 0, milliseconds: 30 });
      const quick = arrive(first.least, { at: 100, milliseconds: 10 });
      const slow = arrive(quick.least, { at: 200, milliseconds: 1_510 });
      assert.equal(first.lateMilliseconds, 0);
      assert.equal(quick.lateMilliseconds, 0);
      assert.ok(Math.abs(slow.lateMilliseconds - 1_500) < 20);
    });

    it("stays known while no quick message comes", () => {
      let { least } = arrive(null, { at: 0, milliseconds: 10 });
      let late = 0;
      for (let at = 0; at < 10_000; at += 100) {
        const arrival = arrive(least, { at, milliseconds: 1_510 });
        least = arrival.least;
        late = arrival.lateMilliseconds;
      }
      assert.ok(late > 1_350, `${late}`);
    });
  });

  describe("on a link that is seldom used", () => {
    // Guards against a queue that two messages met being taken for the usual.
    it("is not forgotten for a few that were late, far apart", () => {
      let { least } = arrive(null, { at: 0, milliseconds: 10 });
      for (const at of [10_000, 35_000, 60_000]) {
        const arrival = arrive(least, { at, milliseconds: 1_510 });
        least = arrival.least;
        assert.ok(arrival.lateMilliseconds > 800);
      }
    });
  });

  describe("from a machine that stood still for five seconds, clocks and all", () => {
    // Guards against sound requests that are refused as late for minutes: the
    // sender's clock had stood still, and the difference was taken for a queue.
    it("is that of its quick messages again within half a minute", () => {
      const lost = 5_000;
      let { least } = arrive(null, { at: 0, milliseconds: 10 });
      let late = 0;
      for (let at = 10_000; at < 40_000; at += 100) {
        const arrival = arrive(least, { at, milliseconds: lost + 10 });
        least = arrival.least;
        late = arrival.lateMilliseconds;
      }
      assert.ok(late < 100, `${late} ms late`);
    });
  });

  describe("between clocks that run apart by a part in a thousand", () => {
    it("is not mistaken for lateness after an hour", () => {
      let { least } = arrive(null, { at: 0, milliseconds: 10 });
      for (let at = 0; at < 3_600_000; at += 1_000) {
        const arrival = arrive(least, { at, milliseconds: 10 + at / 1_000 });
        least = arrival.least;
        assert.ok(arrival.lateMilliseconds < 10);
      }
    });
  });
});

describe("the clock of departures", () => {
  const began: Clocks = { monotonic: 1_000, wall: 50_000 };
  const clock = beginDepartureClock(began);

  function timeAfter(...readings: readonly Clocks[]): number {
    const last = readings.at(-1) ?? began;
    return departureTime(readings.reduce(stepDepartureClock, clock), last);
  }

  describe("of a host that was suspended", () => {
    // Guards against all messages of a host looking late for ever.
    it("counts the suspension", () => {
      const time = timeAfter({ monotonic: 1_100, wall: 53_100 });
      assert.equal(time, 4_100);
    });

    it("counts each suspension once", () => {
      const time = timeAfter(
        { monotonic: 1_100, wall: 53_100 },
        { monotonic: 1_200, wall: 53_200 },
        { monotonic: 1_300, wall: 55_300 },
      );
      assert.equal(time, 6_300);
    });
  });

  describe("of a host whose wall clock is set", () => {
    it("goes on when that is set back", () => {
      const time = timeAfter({ monotonic: 1_100, wall: 20_000 });
      assert.equal(time, 1_100);
    });

    it("counts a suspension after that", () => {
      const time = timeAfter(
        { monotonic: 1_100, wall: 20_000 },
        { monotonic: 1_200, wall: 22_100 },
      );
      assert.equal(time, 3_200);
    });
  });
});
