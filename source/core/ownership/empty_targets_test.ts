import assert from "node:assert/strict";
import { describe, it } from "node:test";
import {
  clocksAt,
  testRenewal,
  testTakeover,
} from "../../../tests/test_grantor.ts";
import { stepGrantor } from "./grantor.ts";
import type { GrantorEvent, GrantorState } from "./grantor_state.ts";
import { createGrantor } from "./takeover.ts";

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

// All agents were killed and restarted at once, so the former processes never
// answer the takeover.
describe("a grantor that gets no answer from any former agent", () => {
  const initial = createGrantor(testTakeover({
    epoch: 2,
    roster: [
      { id: "host-1/a", peerAddress: "127.0.0.1:1" },
      { id: "host-2/a", peerAddress: "127.0.0.1:2" },
    ],
    hasEarlierGrantor: true,
  }));

  describe("once the targets on all their hosts report to hold nothing", () => {
    it("grants all slices immediately", () => {
      const one = join(initial, { id: "host-1/b", emptied: true });
      assert.equal(held(one), 0);
      const both = join(one, { id: "host-2/b", emptied: true });
      assert.equal(held(both), 8);
    });
  });

  describe("once a host whose target has gone reports to hold nothing", () => {
    it("grants all slices immediately, though that host never joins", () => {
      const one = join(initial, { id: "host-1/b", emptied: true });
      const renewal = testRenewal("host-2/b", {
        epoch: 2,
        emptied: true,
        leaving: true,
      });
      const now = clocksAt(400);
      const told = feed(
        one,
        { kind: "renewal", renewal, now },
        { kind: "tick", now },
      );
      assert.equal(held(told), 8);
    });
  });

  describe("once the other agents are known to have departed", () => {
    it("grants all slices immediately", () => {
      const one = join(initial, { id: "host-1/b", emptied: true });
      const departed = feed(one, { kind: "departed", ids: ["host-2/a"] });
      assert.equal(held(departed), 8);
    });
  });

  describe("after which a server departs that holds nothing", () => {
    it("writes a roster without it at once, while its lease lasts", () => {
      const joined = ["host-1/b", "host-2/b"].reduce(
        (state, id) => join(state, { id, emptied: true }),
        initial,
      );
      const free = joined.slices.map((slice) =>
        slice.kind === "held" && slice.owner === "host-1/b"
          ? { ...slice, owner: "host-2/b" }
          : slice
      );
      const departed = feed({ ...joined, slices: free }, {
        kind: "departed",
        ids: ["host-1/b"],
      });
      const { effects } = stepGrantor(departed, {
        kind: "tick",
        now: clocksAt(300),
      });
      const rosters = effects.flatMap((effect) =>
        effect.kind === "writeCheckpoint"
          ? [effect.checkpoint.roster.map(({ id }) => id)]
          : []
      );
      assert.deepEqual(rosters, [["host-2/b"]]);
    });
  });

  describe("while the target of one host may still hold something", () => {
    it("waits for the leases to end", () => {
      const one = join(initial, { id: "host-1/b", emptied: true });
      const both = join(one, { id: "host-2/b", emptied: false });
      assert.equal(held(both), 0);
    });

    it("does not accept the report of another host instead", () => {
      const one = join(initial, { id: "host-1/b", emptied: true });
      const other = join(one, { id: "host-3/b", emptied: true });
      assert.equal(held(other), 0);
    });
  });
});
