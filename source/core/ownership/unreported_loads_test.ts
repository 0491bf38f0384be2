import assert from "node:assert/strict";
import { describe, it } from "node:test";
import {
  clocksAt,
  testGrantorSettings,
  testRenewal,
  testTakeover,
} from "../../../tests/test_grantor.ts";
import { stepGrantor } from "./grantor.ts";
import type { GrantorState } from "./grantor_state.ts";
import { chooseMoves } from "./placement.ts";
import { createGrantor } from "./takeover.ts";

const busy = "host-a/1";
const quiet = "host-b/1";
/** One server holds a few busy slices, the other many quiet ones. */
const busySlices = [0, 1, 2, 3];
const quietSlices = Array.from({ length: 28 }, (_, index) => index + 4);
const total = 28;

function heldBy(id: string): readonly number[] {
  return id === busy ? busySlices : quietSlices;
}

function answerOf(id: string) {
  const token = { epoch: 1, sequence: 1 };
  return {
    id,
    held: heldBy(id).map((slice) => ({ slice, token })),
    weight: 100,
    checksFencing: true,
    leaving: false,
  };
}

/** A grantor just after a takeover, with loads that are balanced. */
function takeOver(): GrantorState {
  const servers = [busy, quiet];
  return createGrantor(testTakeover({
    epoch: 2,
    settings: {
      ...testGrantorSettings,
      hashedSlices: busySlices.length + quietSlices.length,
    },
    roster: servers.map((id) => ({ id, peerAddress: "127.0.0.1:1" })),
    answers: servers.map(answerOf),
    hasEarlierGrantor: true,
  }));
}

/** Applies a report of a server's load, spread evenly over its slices. */
function report(
  state: GrantorState,
  id: string,
  requestsPerSecond: number,
): GrantorState {
  const slices = heldBy(id);
  const renewal = testRenewal(id, {
    epoch: 2,
    weight: 100,
    held: answerOf(id).held,
    sliceLoads: slices.map((slice) => ({
      slice,
      requestsPerSecond: requestsPerSecond / slices.length,
    })),
  });
  return stepGrantor(state, { kind: "renewal", renewal, now: clocksAt(900) })
    .state;
}

describe("a grantor that has just taken over a group", () => {
  const initial = takeOver();

  // Guards against too little being served (SHORT): each new grantor assumed
  // equal load of all slices, and moved slices that were already balanced.
  describe("before the servers have reported their load", () => {
    it("moves nothing", () => {
      assert.deepEqual(chooseMoves(initial), []);
    });

    it("moves nothing while one report is missing", () => {
      assert.deepEqual(chooseMoves(report(initial, quiet, total)), []);
    });
  });

  describe("once all servers have reported their load", () => {
    it("moves nothing if the load is balanced", () => {
      const reported = report(report(initial, quiet, total), busy, total);
      assert.deepEqual(chooseMoves(reported), []);
    });

    it("moves a slice from the busier server if it is not", () => {
      const reported = report(report(initial, quiet, total), busy, total * 3);
      const [move] = chooseMoves(reported);
      assert.equal(move?.owner, busy);
      assert.equal(move?.destination, quiet);
    });
  });
});
