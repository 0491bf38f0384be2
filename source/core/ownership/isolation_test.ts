import assert from "node:assert/strict";
import { describe, it } from "node:test";
import {
  clocksAt,
  testGrantorSettings,
  testRenewal,
} from "../../../tests/test_grantor.ts";
import { stepGrantor } from "./grantor.ts";
import type { GrantorEvent, GrantorState } from "./grantor_state.ts";
import { slicesWithKeys } from "./isolation.ts";
import { beginGrantor } from "./takeover.ts";
import { compareTokens, noToken } from "./token.ts";

const own = { key: "5", slice: 8, base: 0 };
const other = { key: "7", slice: 8, base: 0 };

function feed(
  state: GrantorState,
  ...events: readonly GrantorEvent[]
): GrantorState {
  return events.reduce((next, event) => stepGrantor(next, event).state, state);
}

/** One server holds everything, also the key 5 with a slice of its own. */
function held(): GrantorState {
  const begun = beginGrantor({
    group: "timetable.0",
    epoch: 1,
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
    earlierStopped: true,
    claimedFromOther: false,
    formerDurationMilliseconds: 0,
    askedAt: clocksAt(0),
    isolatedKeys: [own],
    now: clocksAt(0),
  });
  return { ...begun, sequence: 100 };
}

function tokenOf(slices: GrantorState["slices"], index: number) {
  const slice = slices[index];
  return slice?.kind === "held" ? slice.token : noToken;
}

/** Busy keys change: a key's own slice is given to a busier one. */
describe("a key that goes back to the slice that it is hashed to", () => {
  it("is held there under a newer token than its own slice had", () => {
    const state = held();
    const slices = slicesWithKeys(state, [other]);
    assert.ok(
      compareTokens(tokenOf(slices, 0), tokenOf(state.slices, 8)) > 0,
    );
  });
});

describe("while the store is told of keys that change slices", () => {
  it("no slice is moved", () => {
    const state = held();
    const loads = state.slices.map((_, slice): [number, number] =>
      slice >= 1 && slice <= 3 ? [slice, 50] : [slice, 0]
    );
    const lone = feed(
      { ...state, loads: new Map(loads) },
      { kind: "renewal", renewal: testRenewal("host-2/a"), now: clocksAt(10) },
      { kind: "tick", now: clocksAt(10) },
      { kind: "confirmed", askedAt: clocksAt(10) },
      { kind: "renewal", renewal: testRenewal("host-2/a"), now: clocksAt(20) },
    );
    const moving = (next: GrantorState) =>
      next.slices.filter((slice) => slice.kind === "moving").length;
    const writing = {
      roster: lone.roster,
      earlierMayGrant: false,
      isolatedKeys: [other],
    };
    const tick: GrantorEvent = { kind: "tick", now: clocksAt(30) };
    assert.ok(moving(feed(lone, tick)) > 0);
    assert.equal(moving(feed({ ...lone, writing }, tick)), 0);
  });
});
