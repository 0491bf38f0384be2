import assert from "node:assert/strict";
import { describe, it } from "node:test";
import {
  clocksAt,
  testGrantorSettings,
  testRenewal,
} from "../../../tests/test_grantor.ts";
import { stepGrantor } from "./grantor.ts";
import type { GrantorState } from "./grantor_state.ts";
import { beginGrantor } from "./takeover.ts";
import { compareTokens } from "./token.ts";

/** Renews until the store's roster has the server and it has its answer. */
function join(state: GrantorState, id: string, now: number): GrantorState {
  const applied = stepGrantor(state, {
    kind: "renewal",
    renewal: testRenewal(id),
    now: clocksAt(now),
  }).state;
  const asked =
    stepGrantor(applied, { kind: "tick", now: clocksAt(now) }).state;
  const stored = stepGrantor(asked, {
    kind: "confirmed",
    askedAt: clocksAt(now),
  }).state;
  return stepGrantor(stored, {
    kind: "renewal",
    renewal: testRenewal(id),
    now: clocksAt(now),
  }).state;
}

function ownedBy(state: GrantorState, id: string): number {
  return state.slices.filter((slice) =>
    slice.kind === "held" && slice.owner === id
  ).length;
}

const begun = beginGrantor({
  group: "timetable.0",
  epoch: 1,
  settings: testGrantorSettings,
  roster: [],
  answers: [],
  earlierStopped: true,
  claimedFromOther: false,
  formerDurationMilliseconds: 0,
  askedAt: clocksAt(0),
  isolatedKeys: [],
  now: clocksAt(0),
});

describe("an agent that was started again", () => {
  describe("beside a server with slices", () => {
    const former = join(begun, "host-1/a", 100);
    const next = join(former, "host-1/b", 300);

    it("has them at once, before the former lease has ended", () => {
      assert.equal(ownedBy(former, "host-1/a"), 8);
      assert.equal(ownedBy(next, "host-1/b"), 8);
    });

    it("has them under newer tokens", () => {
      next.slices.forEach((slice, index) => {
        const old = former.slices[index];
        assert.ok(slice.kind === "held" && old?.kind === "held");
        assert.ok(compareTokens(slice.token, old.token) > 0);
      });
    });

    it("takes nothing of another host's agent", () => {
      const other = join(former, "host-2/a", 300);
      assert.equal(ownedBy(other, "host-1/a"), 8);
      assert.equal(ownedBy(other, "host-2/a"), 0);
    });
  });
});
