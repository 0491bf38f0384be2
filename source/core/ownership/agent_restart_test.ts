import assert from "node:assert/strict";
import { describe, it } from "node:test";
import {
  clocksAt,
  testRenewal,
  testTakeover,
} from "../../../tests/test_grantor.ts";
import { stepGrantor } from "./grantor.ts";
import type { GrantorState } from "./grantor_state.ts";
import { createGrantor } from "./takeover.ts";
import { compareTokens } from "./token.ts";

/** Renews until the server is in the stored roster and has been answered. */
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

const initial = createGrantor(testTakeover());

describe("an agent that was restarted", () => {
  describe("on a host whose server has slices", () => {
    const former = join(initial, "host-1/a", 100);
    const next = join(former, "host-1/b", 300);

    it("gets them immediately, before the former lease has ended", () => {
      assert.equal(ownedBy(former, "host-1/a"), 8);
      assert.equal(ownedBy(next, "host-1/b"), 8);
    });

    it("gets them under newer tokens", () => {
      next.slices.forEach((slice, index) => {
        const old = former.slices[index];
        assert.ok(slice.kind === "held" && old?.kind === "held");
        assert.ok(compareTokens(slice.token, old.token) > 0);
      });
    });

    it("does not get slices of another host's agent", () => {
      const other = join(former, "host-2/a", 300);
      assert.equal(ownedBy(other, "host-1/a"), 8);
      assert.equal(ownedBy(other, "host-2/a"), 0);
    });
  });
});
