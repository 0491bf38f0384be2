import assert from "node:assert/strict";
import { describe, it } from "node:test";
import {
  beginRegistration,
  isAlive,
  type RegistrationState,
  serves,
  stepRegistration,
  type TargetReport,
} from "./registration.ts";

const silenceMilliseconds = 3_000;

const report: TargetReport = {
  id: "i-1",
  startedAt: 1_000,
  sequence: 1,
  phase: "serving",
  service: "booking",
  slots: 12,
};

function after(
  reports: readonly Partial<TargetReport>[],
  from: RegistrationState = beginRegistration(silenceMilliseconds),
): RegistrationState {
  return reports.reduce<RegistrationState>(
    (state, change, index) =>
      stepRegistration(state, {
        kind: "reported",
        report: { ...report, ...change },
        now: index,
      }).state,
    from,
  );
}

describe("a target's registration", () => {
  describe("of one process", () => {
    it("serves from its first report until it is silent for long", () => {
      const state = after([{}]);
      assert.ok(serves(state, 2_999));
      assert.ok(!serves(state, 3_000));
    });

    it("does not serve again after it has said that it leaves", () => {
      const state = after([
        { sequence: 2, phase: "leaving" },
        { sequence: 1 },
        { sequence: 3 },
      ]);
      assert.ok(!serves(state, 10));
      assert.ok(isAlive(state, 10));
    });

    it("ends its service with a last word without a warning", () => {
      const { state } = stepRegistration(after([{}]), {
        kind: "left",
        id: "i-1",
        now: 5,
        wallNow: 2_000,
      });
      assert.ok(!serves(state, 10));
    });

    describe("whose last word is the first that a new agent hears of it", () => {
      const { state } = stepRegistration(
        beginRegistration(silenceMilliseconds),
        { kind: "left", id: "i-1", now: 5, wallNow: 2_000 },
      );

      it("does not serve by a report that comes late", () => {
        assert.ok(!serves(after([{}], state), 10));
        assert.ok(!serves(after([{}, { sequence: 2 }], state), 10));
      });

      it("serves once it has been started again", () => {
        assert.ok(serves(after([{ startedAt: 2_001 }], state), 10));
      });
    });

    it("is not alive after a refused connection, until it reports again", () => {
      const { state } = stepRegistration(after([{}]), { kind: "refused" });
      assert.ok(!isAlive(state, 10));
      assert.ok(isAlive(after([{ sequence: 2 }], state), 10));
    });
  });

  describe("of a process in another's place", () => {
    it("is known by its start, also under the same id", () => {
      const step = stepRegistration(after([{ sequence: 9 }]), {
        kind: "reported",
        report: { ...report, startedAt: 2_000, sequence: 1 },
        now: 5,
      });
      assert.equal(step.change, "replaced");
      assert.ok(serves(step.state, 10));
    });

    it("keeps its place against a late report of the former one", () => {
      const state = after([
        { id: "i-2", startedAt: 2_000 },
        { id: "i-1", startedAt: 1_000, sequence: 99 },
      ]);
      assert.equal(state.target?.id, "i-2");
    });

    it("is not ended by the former one's last word", () => {
      const { change } = stepRegistration(
        after([{ id: "i-2", startedAt: 2_000 }]),
        { kind: "left", id: "i-1", now: 5, wallNow: 2_000 },
      );
      assert.equal(change, "none");
    });
  });
});
