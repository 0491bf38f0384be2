import assert from "node:assert/strict";
import { describe, it } from "node:test";
import {
  createHolder,
  decideHold,
  heldGrants,
  type HolderState,
  stepHolder,
} from "./holder.ts";
import type { RenewalAnswer } from "./renewal.ts";

const start = { monotonic: 1_000, wall: 500_000 };

function answer(change: Partial<RenewalAnswer> = {}): RenewalAnswer {
  return {
    epoch: 1,
    leaseMilliseconds: 1_000,
    grants: [{ slice: 3, token: { epoch: 1, sequence: 1 } }],
    release: [],
    table: null,
    ...change,
  };
}

function renewed(
  state: HolderState,
  change: Partial<RenewalAnswer> = {},
): HolderState {
  return stepHolder(state, {
    kind: "answered",
    askedAt: start,
    answer: answer(change),
    reported: state.released,
  });
}

const initial = createHolder({
  id: "a/1",
  group: "timetable.0",
  marginMilliseconds: 100,
});

function at(monotonic: number, wall: number) {
  return { monotonic: start.monotonic + monotonic, wall: start.wall + wall };
}

describe("a holder", () => {
  describe("lease", () => {
    it("counts from its request and ends early by the margin", () => {
      const state = renewed(initial);
      assert.equal(decideHold(state, 3, at(899, 899)).kind, "owned");
      assert.deepEqual(decideHold(state, 3, at(900, 899)), {
        kind: "refused",
        reason: "lease-ended",
      });
    });

    it("ends by the wall clock if a suspension stops the other", () => {
      const state = renewed(initial);
      assert.equal(decideHold(state, 3, at(10, 5_000)).kind, "refused");
    });
  });

  // A holder that was cut off may be asked by a new grantor after its slices
  // were assigned to other servers whose agents have been restarted since.
  describe("report", () => {
    const token = { epoch: 1, sequence: 1 };
    const fenced = createHolder({
      id: "a/1",
      group: "timetable.0",
      marginMilliseconds: 100,
      targetSurrenders: true,
    });

    it("holds what was granted, while the lease is valid", () => {
      const state = renewed(fenced);
      assert.deepEqual(heldGrants(state, at(800, 800)), [{ slice: 3, token }]);
    });

    it("holds nothing after the lease, for a target that gets hold orders", () => {
      const running = stepHolder(renewed(fenced), {
        kind: "admitted",
        slice: 3,
      });
      assert.deepEqual(heldGrants(running, at(900, 900)), []);
    });

    it("holds slices with running requests after it, for other targets", () => {
      assert.deepEqual(heldGrants(renewed(initial), at(900, 900)), []);
      const running = stepHolder(renewed(initial), {
        kind: "admitted",
        slice: 3,
      });
      assert.deepEqual(heldGrants(running, at(900, 900)), [
        { slice: 3, token },
      ]);
    });
  });

  describe("epoch", () => {
    it("of an older grantor is refused once a newer one was accepted", () => {
      const taken = stepHolder(initial, { kind: "epochTaken", epoch: 2 });
      assert.equal(renewed(taken, { epoch: 1 }), taken);
      assert.equal(
        decideHold(renewed(taken, { epoch: 2 }), 3, start).kind,
        "owned",
      );
    });
  });

  describe("release", () => {
    it("waits for running requests and admits no new ones", () => {
      const running = stepHolder(renewed(initial), {
        kind: "admitted",
        slice: 3,
      });
      const releasing = renewed(running, { release: [3] });
      assert.deepEqual(releasing.released, []);
      assert.deepEqual(decideHold(releasing, 3, start), {
        kind: "refused",
        reason: "moving",
      });
      const done = stepHolder(releasing, { kind: "finished", slice: 3 });
      assert.deepEqual(done.released, [
        { slice: 3, token: { epoch: 1, sequence: 1 } },
      ]);
    });

    it("of a slice that was lost and regranted waits for all its requests", () => {
      const admitted = { kind: "admitted", slice: 3 } as const;
      const finished = { kind: "finished", slice: 3 } as const;
      const running = stepHolder(renewed(initial), admitted);
      const lost = renewed(running, { grants: [] });
      const back = renewed(lost, {
        grants: [{ slice: 3, token: { epoch: 1, sequence: 9 } }],
      });
      const other = stepHolder(stepHolder(back, admitted), finished);
      const releasing = renewed(other, {
        grants: [{ slice: 3, token: { epoch: 1, sequence: 9 } }],
        release: [3],
      });
      assert.deepEqual(releasing.released, []);
      assert.equal(stepHolder(releasing, finished).released.length, 1);
    });

    it("is not undone by an answer that was written before it arrived", () => {
      const released = stepHolder(renewed(initial), { kind: "releaseAll" });
      const crossed = stepHolder(released, {
        kind: "answered",
        askedAt: start,
        answer: answer(),
        reported: [],
      });
      assert.equal(decideHold(crossed, 3, start).kind, "refused");
    });
  });
});
