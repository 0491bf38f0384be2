import assert from "node:assert/strict";
import { describe, it } from "node:test";
import {
  clocksAt,
  testGrantorSettings,
  testRenewal,
} from "../../../tests/test_grantor.ts";
import { stepGrantor } from "./grantor.ts";
import type { GrantorState } from "./grantor_state.ts";
import { chooseMoves } from "./placement.ts";
import { beginGrantor } from "./takeover.ts";

const busy = "host-a/1";
const quiet = "host-b/1";
/** Few busy slices at one server, many quiet ones at the other. */
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

/** A grantor that has just taken over from another, which had placed well. */
function takeOver(): GrantorState {
  const servers = [busy, quiet];
  return beginGrantor({
    group: "timetable.0",
    epoch: 2,
    settings: {
      ...testGrantorSettings,
      hashedSlices: busySlices.length + quietSlices.length,
    },
    roster: servers.map((id) => ({ id, peerAddress: "127.0.0.1:1" })),
    answers: servers.map(answerOf),
    earlierStopped: true,
    claimedFromOther: true,
    formerDurationMilliseconds: 0,
    askedAt: clocksAt(0),
    isolatedKeys: [],
    now: clocksAt(0),
  });
}

/** What a server tells of its load, which all of its slices have alike. */
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

describe("a grantor that has just taken a group over", () => {
  const begun = takeOver();

  // Guards against too little being served (SHORT): each new grantor took all
  // slices for alike, and moved them away from where they were placed well.
  describe("before the servers have told it of their load", () => {
    it("moves nothing", () => {
      assert.deepEqual(chooseMoves(begun), []);
    });

    it("moves nothing while one of them has not", () => {
      assert.deepEqual(chooseMoves(report(begun, quiet, total)), []);
    });
  });

  describe("once they have", () => {
    it("moves nothing that is placed well", () => {
      const known = report(report(begun, quiet, total), busy, total);
      assert.deepEqual(chooseMoves(known), []);
    });

    it("evens out what is not", () => {
      const known = report(report(begun, quiet, total), busy, total * 3);
      const [move] = chooseMoves(known);
      assert.equal(move?.owner, busy);
      assert.equal(move?.destination, quiet);
    });
  });
});
