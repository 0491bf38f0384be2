import assert from "node:assert/strict";
import { describe, it } from "node:test";
import {
  type CrowdClass,
  crowdSettings,
  simulateSeeds,
} from "../../../tests/crowd_simulation.ts";
import {
  type BookedReturn,
  type BookReturn,
  bookReturn,
  keepDelay,
  noReturns,
  recordArrival,
  type RefusedReturn,
} from "./return_schedule.ts";

const asked: Omit<CrowdClass, "load"> = {
  name: "any",
  rank: 0,
  workMilliseconds: 200,
  objectiveMilliseconds: 1_000,
  deadlineMilliseconds: 6_000,
};

function simulate(load: CrowdClass["load"], book: BookReturn) {
  const settings = crowdSettings([0]);
  const share = simulateSeeds([{ ...asked, load }], {
    settings,
    milliseconds: 24_000,
    book,
  });
  return {
    served: share(asked.name, "served"),
    refusedAgain: share(asked.name, "refusedAgain"),
  };
}

describe("the return of refused callers", () => {
  // Guards against callers that return together and are refused again: that
  // was the most frequent failure in the deployments. Callers can wait for 2 s,
  // so that none can wait for the end of a burst of 4 s.
  for (
    const { load, seconds, maxShare } of [
      { load: 2, seconds: 1, maxShare: 0.5 },
      { load: 1.8, seconds: 2, maxShare: 0.5 },
      { load: 1.6, seconds: 4, maxShare: 1 },
    ]
  ) {
    describe(`of bursts of ${load} times the capacity for ${seconds} s`, () => {
      const burst = (now: number) => now % 8_000 < seconds * 1_000 ? load : 0.5;
      const before = simulate(burst, keepDelay);
      const after = simulate(burst, bookReturn);

      it("has fewer refused again than without a schedule", () => {
        assert.ok(
          after.refusedAgain <= before.refusedAgain * maxShare,
          `${after.refusedAgain}, before ${before.refusedAgain}`,
        );
      });

      it("has no fewer served", () => {
        assert.ok(
          after.served >= before.served,
          `${after.served}, before ${before.served}`,
        );
      });
    });
  }

  for (const load of [1.5, 2]) {
    describe(`of a steady load of ${load} times the capacity`, () => {
      const before = simulate(() => load, keepDelay);
      const after = simulate(() => load, bookReturn);

      it("has no fewer served than without a schedule", () => {
        assert.ok(
          after.served >= before.served,
          `${after.served}, before ${before.served}`,
        );
      });

      // Guards against an order by deadline: requests that return have less
      // time left and went before new ones, until nine tenths of all requests
      // were refused twice. If each try has the same chance, three of them
      // serve one request of `load`.
      it("has as many refused again as by equal chances", () => {
        const refusedThrice = 1 - 1 / load;
        const expected = refusedThrice ** (2 / 3);
        assert.ok(after.refusedAgain <= expected, `${after.refusedAgain}`);
      });
    });
  }
});

describe("the schedule of returns", () => {
  const capacity = { slots: 2, shares: [0, 0.05] };
  const refused: RefusedReturn = {
    rank: 0,
    milliseconds: 100,
    waitMilliseconds: 40,
    deadlineAt: 10_000,
    now: 1_000,
  };

  function bookAll(
    requests: readonly Partial<RefusedReturn>[],
  ): readonly BookedReturn[] {
    let schedule = noReturns;
    return requests.map((request) => {
      const next = bookReturn(schedule, { ...refused, ...request }, capacity);
      schedule = next.schedule;
      return next.booked;
    });
  }

  const delays = (booked: readonly BookedReturn[]) =>
    booked.map(({ retryAfterMilliseconds }) =>
      Math.round(retryAfterMilliseconds ?? 0)
    );

  describe("of a target without new requests", () => {
    it("has them return as fast as the slots end their work", () => {
      // 100 ms in each of two slots, of which the lower rank keeps a share.
      assert.deepEqual(delays(bookAll([{}, {}, {}])), [40, 93, 145]);
    });
  });

  describe("whose callers can return and be in time", () => {
    // Guards against callers that are late only because of the order, and
    // against later ones that wait behind them.
    it("has them return after their wait, and keeps nothing for them", () => {
      const timely = { objectiveAt: 1_160 };
      const booked = bookAll([timely, timely, {}, {}]);
      assert.deepEqual(delays(booked), [40, 40, 40, 93]);
    });
  });

  describe("when a more valuable rank books after a less valuable one", () => {
    it("has it return first, and later ones of the other behind it", () => {
      const low = { rank: 1 };
      const [, , valuable = 0, last = 0] = delays(
        bookAll([low, low, {}, low]),
      );
      assert.equal(valuable, 40);
      assert.ok(last >= 190, `${last}`);
    });
  });

  describe("whose callers go elsewhere instead of returning", () => {
    // Guards against returns that are booked too close together: work that did
    // not come was taken from that of later requests.
    it("leaves new work the capacity that it needs", () => {
      const ten = Array.from({ length: 10 }, () => refused);
      const returns = ten.reduce(
        (schedule, next) => bookReturn(schedule, next, capacity).schedule,
        noReturns,
      );
      const now = 1_600;
      // It keeps one of the two slots in use.
      const work = { rank: 0, milliseconds: 1_500, now };
      const busy = recordArrival(returns, work);
      const first = bookReturn(busy, { ...refused, now }, capacity);
      const second = bookReturn(first.schedule, { ...refused, now }, capacity);
      const [from = 0, to = 0] = delays([first.booked, second.booked]);
      // 100 ms in what is left of two slots, without the lower rank's share.
      assert.equal(to - from, Math.round(100 / (2 * 0.95 - 1)));
    });
  });

  describe("that are booked out of order", () => {
    it("are kept in order of time", () => {
      const waits = [400, 40, 200, 90];
      const { due } = waits.reduce((schedule, waitMilliseconds, index) => {
        const next = { ...refused, rank: 3 - index, waitMilliseconds };
        const shares = [0, 0, 0, 0];
        return bookReturn(schedule, next, { ...capacity, shares }).schedule;
      }, noReturns);
      const times = due.map(({ at }) => at);
      assert.equal(times.length, waits.length);
      assert.deepEqual(times, times.toSorted((a, b) => a - b));
    });
  });

  describe("beyond what the caller can wait", () => {
    it("has it return as late as it can, and says when there is room", () => {
      const booked = bookAll([{ waitMilliseconds: 500, deadlineAt: 1_300 }]);
      assert.deepEqual(booked, [{
        retryAfterMilliseconds: 100,
        capacityAfterMilliseconds: 500,
      }]);
    });
  });

  describe("while the clock doesn't advance, or goes back", () => {
    it("tells no time in the past", () => {
      const booked = bookAll([{}, {}, { now: 900 }, { deadlineAt: 900 }]);
      for (const { retryAfterMilliseconds } of booked) {
        assert.ok((retryAfterMilliseconds ?? 0) > 0);
      }
    });
  });
});
