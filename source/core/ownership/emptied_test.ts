import assert from "node:assert/strict";
import { describe, it } from "node:test";
import {
  clocksAt,
  testGrantorSettings,
  testRenewal,
} from "../../../tests/test_grantor.ts";
import { stepGrantor } from "./grantor.ts";
import type { GrantorEvent, GrantorState } from "./grantor_state.ts";
import { beginGrantor } from "./takeover.ts";

function feed(
  state: GrantorState,
  ...events: readonly GrantorEvent[]
): GrantorState {
  return events.reduce((next, event) => stepGrantor(next, event).state, state);
}

/** Joins the store's roster and renews once more. */
function join(
  state: GrantorState,
  server: { readonly id: string; readonly emptied: boolean },
): GrantorState {
  const now = clocksAt(200);
  const asks: GrantorEvent = {
    kind: "renewal",
    renewal: testRenewal(server.id, { epoch: 2, emptied: server.emptied }),
    now,
  };
  return feed(
    state,
    asks,
    { kind: "tick", now },
    { kind: "confirmed", askedAt: now },
    asks,
  );
}

function held(state: GrantorState): number {
  return state.slices.filter((slice) => slice.kind === "held").length;
}

/** Every agent was killed, and started again a moment later. */
describe("a grantor that nobody of the former agents answers", () => {
  const begun = beginGrantor({
    group: "timetable.0",
    epoch: 2,
    settings: testGrantorSettings,
    roster: [
      { id: "host-1/a", peerAddress: "127.0.0.1:1" },
      { id: "host-2/a", peerAddress: "127.0.0.1:2" },
    ],
    answers: [],
    earlierStopped: true,
    claimedFromOther: true,
    formerDurationMilliseconds: 0,
    askedAt: clocksAt(0),
    isolatedKeys: [],
    now: clocksAt(0),
  });

  describe("once the targets of all their hosts are known to be empty", () => {
    it("grants all slices at once", () => {
      const one = join(begun, { id: "host-1/b", emptied: true });
      assert.equal(held(one), 0);
      const both = join(one, { id: "host-2/b", emptied: true });
      assert.equal(held(both), 8);
    });
  });

  describe("once the others are known to have stopped as planned", () => {
    it("grants all slices at once", () => {
      const one = join(begun, { id: "host-1/b", emptied: true });
      const departed = feed(one, { kind: "departed", ids: ["host-2/a"] });
      assert.equal(held(departed), 8);
    });
  });

  describe("while the target of one host may still hold something", () => {
    it("waits for the leases to end", () => {
      const one = join(begun, { id: "host-1/b", emptied: true });
      const both = join(one, { id: "host-2/b", emptied: false });
      assert.equal(held(both), 0);
    });

    it("takes no other host's word for it", () => {
      const one = join(begun, { id: "host-1/b", emptied: true });
      const other = join(one, { id: "host-3/b", emptied: true });
      assert.equal(held(other), 0);
    });
  });
});
