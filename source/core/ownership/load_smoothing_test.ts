import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { seededRandom } from "../../../standins/load.ts";
import {
  clocksAt,
  testGrantorSettings,
  testRenewal,
  testTakeover,
} from "../../../tests/test_grantor.ts";
import { stepGrantor } from "./grantor.ts";
import type { GrantorState } from "./grantor_state.ts";
import { createGrantor } from "./takeover.ts";

const id = "host-a/1";
const slices = 96;
/** The weight that a server with 12 slots reports before it ran a request. */
const defaultWeight = 120;

function createState(): GrantorState {
  return createGrantor(testTakeover({
    settings: {
      ...testGrantorSettings,
      hashedSlices: slices,
      leaseMilliseconds: 1_000_000,
      delegationMilliseconds: 1_000_000,
    },
    roster: [{ id, peerAddress: "127.0.0.1:1" }],
  }));
}

/** Applies the reports of one server, one for each of the seconds. */
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
    const { weight = defaultWeight } = options;
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

/** A Poisson distributed count of requests with this mean. */
function poissonCount(mean: number, random: () => number): number {
  let count = 0;
  let remainder = random();
  let chance = Math.exp(-mean);
  while (remainder > chance) {
    remainder -= chance;
    count += 1;
    chance *= mean / count;
  }
  return count;
}

function totalLoad(state: GrantorState): number {
  return [...state.loads.values()].reduce((sum, rate) => sum + rate, 0);
}

describe("a grantor's record of a server with few requests", () => {
  describe("whose slices get less than one request a second each", () => {
    // Guards against too little being served (SHORT): rates rose at once and
    // fell slowly, so that servers with many quiet slices seemed fuller than
    // servers with a few busy ones, and all of them seemed full.
    it("shows about as much load as there is", () => {
      const random = seededRandom(7);
      const mean = 0.6;
      const state = report(createState(), {
        seconds: seconds(60),
        requestsPerSecond: () => poissonCount(mean, random),
      });
      const share = totalLoad(state) / (mean * slices);
      assert.ok(share > 0.8 && share < 1.2, `${share}`);
    });
  });

  describe("one of whose slices becomes busy", () => {
    it("shows most of the slice's load within two seconds", () => {
      const calm = report(createState(), {
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

  describe("all of whose slices get twice the requests", () => {
    it("shows most of the new load within two seconds", () => {
      const calm = report(createState(), {
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

  describe("that has run no request yet", () => {
    it("follows its address but keeps its weight", () => {
      const idle = report(createState(), {
        seconds: seconds(2),
        requestsPerSecond: () => 0,
      });
      const peerAddress = "127.0.0.1:7";
      const renewal = { ...testRenewal(id, { weight: 1 }), peerAddress };
      const event = { kind: "renewal" as const, renewal, now: clocksAt(3_000) };
      const holder = stepGrantor(idle, event).state.holders.get(id);
      assert.equal(holder?.peerAddress, peerAddress);
      assert.equal(holder?.weight, defaultWeight);
    });

    // Guards against too little being served (SHORT): a server kept its default
    // weight for the first ten seconds of requests, and was overloaded.
    it("has its measured weight after the first second of requests", () => {
      const idle = report(createState(), {
        seconds: seconds(5),
        requestsPerSecond: () => 0,
      });
      const working = report(idle, {
        seconds: [6],
        weight: defaultWeight / 2,
        requestsPerSecond: () => 1,
      });
      assert.equal(working.holders.get(id)?.weight, defaultWeight / 2);
    });
  });
});
