import assert from "node:assert/strict";
import { describe, it } from "node:test";
import {
  coldCause,
  type ColdTargetEffect,
  type ColdTargetView,
  stepColdTarget,
  unknownColdness,
} from "./cold_target.ts";
import type { RegisteredTarget } from "./registration.ts";

const heartbeatMilliseconds = 870;
const target: RegisteredTarget = {
  id: "i-1",
  startedAt: 0,
  sequence: 1,
  phase: "serving",
  service: "booking",
  slots: 13,
  coldMilliseconds: 0,
  reportedAt: 10_000,
  leavingSince: null,
  refused: false,
};

function viewAt(
  now: number,
  reported: Partial<RegisteredTarget> = {},
): ColdTargetView {
  return {
    now,
    target: { ...target, reportedAt: now, ...reported },
    coldStart: { durationMilliseconds: 9_000, maxRequestsPerSecond: 40 },
    usualMilliseconds: 100,
    heartbeatMilliseconds,
  };
}

/** What the views show, one after the other. */
function play(
  views: readonly ColdTargetView[],
): readonly (readonly ColdTargetEffect["kind"][])[] {
  let state = unknownColdness;
  return views.map((view) => {
    const next = stepColdTarget(state, view);
    state = next.state;
    return next.effects.map(({ kind }) => kind);
  });
}

describe("the coldness of a target", () => {
  describe("between its reports", () => {
    it("ends when the reported time has passed", () => {
      const reported = { reportedAt: 10_000, coldMilliseconds: 300 };
      assert.equal(coldCause(viewAt(10_299, reported)), "reported");
      assert.equal(coldCause(viewAt(10_300, reported)), null);
    });

    // Guards against requests at full rate to a process that was started again
    // after its last report.
    it("begins with a refused connection or a second missed heartbeat", () => {
      const reported = { reportedAt: 10_000 };
      assert.equal(
        coldCause(viewAt(10_100, { ...reported, refused: true })),
        "refused",
      );
      assert.equal(coldCause(viewAt(11_740, reported)), null);
      assert.equal(coldCause(viewAt(11_960, reported)), "silent");
    });
  });

  describe("as other agents are told", () => {
    it("is published when it begins, and after it has ended for good", () => {
      const cold = { coldMilliseconds: 900 };
      const views = [
        viewAt(1_000),
        viewAt(2_000, cold),
        viewAt(2_800, cold),
        viewAt(3_600),
        viewAt(3_700, cold),
        viewAt(4_700),
        viewAt(5_300),
      ];
      assert.deepEqual(play(views).map((kinds) => kinds.join()), [
        "publish",
        "limit,becameCold,publish",
        "",
        "limit,becameWarm",
        "limit,becameCold",
        "limit,becameWarm",
        "publish",
      ]);
    });

    // Guards against a load of gossip that grows with each measured request.
    it("is not published again for small changes of the usual time", () => {
      const views = Array.from({ length: 100 }, (_, index) => ({
        ...viewAt(1_000 + index * 90, { coldMilliseconds: 900 }),
        usualMilliseconds: 100 + 30 * (index % 2),
      }));
      const published = play(views).flat().filter((kind) => kind === "publish");
      assert.equal(published.length, 1);
    });
  });
});
