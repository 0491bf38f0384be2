import assert from "node:assert/strict";
import { describe, it } from "node:test";
import {
  clocksAt,
  testGrantorSettings,
  testRenewal,
  testTakeover,
} from "../../../tests/test_grantor.ts";
import { stepGrantor } from "./grantor.ts";
import type { GrantorEvent, GrantorState } from "./grantor_state.ts";
import { slicesWithIsolatedKeys } from "./isolation.ts";
import { createGrantor } from "./takeover.ts";
import { compareTokens, noToken } from "./token.ts";

const coldKey = { key: "5", slice: 8, base: 0 };
const busyKey = { key: "7", slice: 8, base: 0 };

function feed(
  state: GrantorState,
  ...events: readonly GrantorEvent[]
): GrantorState {
  return events.reduce((next, event) => stepGrantor(next, event).state, state);
}

/** One server holds all slices, including that of the isolated key 5. */
function held(): GrantorState {
  const initial = createGrantor(testTakeover({
    settings: { ...testGrantorSettings, isolatedKeys: 1 },
    roster: [{ id: "host-1/a", peerAddress: "127.0.0.1:1" }],
    answers: [{
      id: "host-1/a",
      held: Array.from({ length: 9 }, (_, slice) => ({
        slice,
        token: { epoch: 1, sequence: slice === 8 ? 90 : 1 },
      })),
      weight: 8,
      checksFencing: true,
      leaving: false,
    }],
    isolatedKeys: [coldKey],
  }));
  return { ...initial, sequence: 100 };
}

function tokenOf(slices: GrantorState["slices"], index: number) {
  const slice = slices[index];
  return slice?.kind === "held" ? slice.token : noToken;
}

// A busier key takes over the isolated key's slice.
describe("a key that rejoins the slice that it is hashed to", () => {
  it("is held there under a newer token than its own slice had", () => {
    const state = held();
    const slices = slicesWithIsolatedKeys(state, [busyKey]);
    assert.ok(
      compareTokens(tokenOf(slices, 0), tokenOf(state.slices, 8)) > 0,
    );
  });
});

describe("while a store write that changes isolated keys is pending", () => {
  it("no slice is moved", () => {
    const state = held();
    const loads = state.slices.map((_, slice): [number, number] =>
      slice >= 1 && slice <= 3 ? [slice, 50] : [slice, 0]
    );
    const joined = feed(
      { ...state, loads: new Map(loads) },
      { kind: "renewal", renewal: testRenewal("host-2/a"), now: clocksAt(10) },
      { kind: "tick", now: clocksAt(10) },
      { kind: "confirmed", askedAt: clocksAt(10) },
      { kind: "renewal", renewal: testRenewal("host-2/a"), now: clocksAt(20) },
    );
    const moving = (next: GrantorState) =>
      next.slices.filter((slice) => slice.kind === "moving").length;
    const unconfirmed = {
      roster: joined.roster,
      earlierMayGrant: false,
      isolatedKeys: [busyKey],
    };
    const tick: GrantorEvent = { kind: "tick", now: clocksAt(30) };
    assert.ok(moving(feed(joined, tick)) > 0);
    assert.equal(
      moving(feed({ ...joined, unconfirmed }, tick)),
      0,
    );
  });
});
