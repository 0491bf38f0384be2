import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { seededRandom } from "../../../standins/load.ts";
import {
  clocksAt,
  testGrantorSettings,
  testRenewal,
} from "../../../tests/test_grantor.ts";
import { stepGrantor } from "./grantor.ts";
import type { GrantorState } from "./grantor_state.ts";
import { beginGrantor } from "./takeover.ts";

const id = "host-a/1";
const slices = 96;
/** What a server with 12 slots states before it has run anything. */
const usualWeight = 120;

function begin(): GrantorState {
  return beginGrantor({
    group: "timetable.0",
    epoch: 1,
    settings: {
      ...testGrantorSettings,
      hashedSlices: slices,
      leaseMilliseconds: 1_000_000,
      delegationMilliseconds: 1_000_000,
    },
    roster: [{ id, peerAddress: "127.0.0.1:1" }],
    answers: [],
    earlierStopped: true,
    claimedFromOther: false,
    formerDurationMilliseconds: 0,
    askedAt: clocksAt(0),
    isolatedKeys: [],
    now: clocksAt(0),
  });
}

/** What one server reports in one second after the other. */
function report(
  state: GrantorState,
  options: {
    readonly seconds: readonly number[];
    readonly weight?: number;
    readonly requestsPerSecond: () => number;
  },
): GrantorState {
  return options.seconds.reduce((next, second) => {
    const sliceLoads = Array.from({ length: slices }, (_, slice) => ({
      slice,
      requestsPerSecond: options.requestsPerSecond(),
    }));
    const { weight = usualWeight } = options;
    const renewal = testRenewal(id, { weight, sliceLoads });
    const event = {
      kind: "renewal" as const,
      renewal,
      now: clocksAt(second * 1_000),
    };
    return stepGrantor(next, event).state;
  }, state);
}

function seconds(count: number): readonly number[] {
  return Array.from({ length: count }, (_, index) => index + 1);
}

/** Requests that come within a second, by chance, of so many in the mean. */
function countedByChance(mean: number, random: () => number): number {
  let count = 0;
  let left = random();
  let chance = Math.exp(-mean);
  while (left > chance) {
    left -= chance;
    count += 1;
    chance *= mean / count;
  }
  return count;
}

function totalLoad(state: GrantorState): number {
  return [...state.loads.values()].reduce((sum, rate) => sum + rate, 0);
}

describe("what a grantor knows of a server by few requests", () => {
  describe("where each slice has less than one a second", () => {
    // Guards against too little being served (SHORT): each rise was taken over
    // at once and each fall slowly, so that servers of many quiet slices seemed
    // fuller than servers of few busy ones, and all of them seemed full.
    it("is no more than comes", () => {
      const random = seededRandom(7);
      const mean = 0.6;
      const state = report(begin(), {
        seconds: seconds(60),
        requestsPerSecond: () => countedByChance(mean, random),
      });
      const share = totalLoad(state) / (mean * slices);
      assert.ok(share > 0.8 && share < 1.2, `${share}`);
    });
  });

  describe("where one slice becomes busy", () => {
    it("is most of its requests within two seconds", () => {
      const calm = report(begin(), {
        seconds: seconds(5),
        requestsPerSecond: () => 1,
      });
      let asked = 0;
      const busy = report(calm, {
        seconds: [6, 7],
        requestsPerSecond: () => asked++ % slices === 0 ? 20 : 1,
      });
      assert.ok((busy.loads.get(0) ?? 0) >= 15, `${busy.loads.get(0)}`);
    });
  });

  describe("where all slices get twice the requests", () => {
    it("is most of them within two seconds", () => {
      const calm = report(begin(), {
        seconds: seconds(5),
        requestsPerSecond: () => 1,
      });
      const busy = report(calm, {
        seconds: [6, 7],
        requestsPerSecond: () => 2,
      });
      const share = totalLoad(busy) / (2 * slices);
      assert.ok(share > 0.8, `${share}`);
    });
  });

  describe("where it has run nothing yet", () => {
    it("is nothing new but what it says of itself", () => {
      const idle = report(begin(), {
        seconds: seconds(2),
        requestsPerSecond: () => 0,
      });
      const peerAddress = "127.0.0.1:7";
      const renewal = { ...testRenewal(id, { weight: 1 }), peerAddress };
      const event = { kind: "renewal" as const, renewal, now: clocksAt(3_000) };
      const holder = stepGrantor(idle, event).state.holders.get(id);
      assert.equal(holder?.peerAddress, peerAddress);
      assert.equal(holder?.weight, usualWeight);
    });

    // Guards against too little being served (SHORT): a server was taken for as
    // fast as usual for the first ten seconds of requests, and overfilled.
    it("is its speed after the first second of requests", () => {
      const idle = report(begin(), {
        seconds: seconds(5),
        requestsPerSecond: () => 0,
      });
      const working = report(idle, {
        seconds: [6],
        weight: usualWeight / 2,
        requestsPerSecond: () => 1,
      });
      assert.equal(working.holders.get(id)?.weight, usualWeight / 2);
    });
  });
});
