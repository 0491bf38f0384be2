import assert from "node:assert/strict";
import { describe, it } from "node:test";
import {
  createRegistration,
  isAlive,
  type RegistrationState,
  serves,
  stepRegistration,
  type TargetReport,
} from "./registration.ts";

const service = "booking";
const silenceMilliseconds = 3_000;
const unregistered = createRegistration({ service, silenceMilliseconds });

const report: TargetReport = {
  id: "i-1",
  startedAt: 1_000,
  sequence: 1,
  phase: "serving",
  service,
  slots: 12,
  coldMilliseconds: 0,
};

function after(
  reports: readonly Partial<TargetReport>[],
  from: RegistrationState = unregistered,
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

describe("the registration of a target", () => {
  describe("by one process", () => {
    it("serves from its first report until the silence time-out", () => {
      const state = after([{}]);
      assert.ok(serves(state, 2_999));
      assert.ok(!serves(state, 3_000));
    });

    it("does not serve again after it has reported that it leaves", () => {
      const state = after([
        { sequence: 2, phase: "leaving" },
        { sequence: 1 },
        { sequence: 3 },
      ]);
      assert.ok(!serves(state, 10));
      assert.ok(isAlive(state, 10));
    });

    it("no longer serves after a departure without a prior report", () => {
      const { state } = stepRegistration(after([{}]), {
        kind: "left",
        notice: { id: "i-1", startedAt: null },
        now: 5,
        wallNow: 2_000,
      });
      assert.ok(!serves(state, 10));
    });

    describe("whose departure is the first message to a new agent", () => {
      const { state } = stepRegistration(
        unregistered,
        {
          kind: "left",
          notice: { id: "i-1", startedAt: null },
          now: 5,
          wallNow: 2_000,
        },
      );

      it("does not serve by a delayed report", () => {
        assert.ok(!serves(after([{}], state), 10));
        assert.ok(!serves(after([{}, { sequence: 2 }], state), 10));
      });

      // Guards against requests that reach a target which has left (DRAIN).
      it("does not serve after the notice of another one", () => {
        const next = stepRegistration(state, {
          kind: "left",
          notice: { id: "i-2", startedAt: null },
          now: 6,
          wallNow: 2_000,
        });
        assert.ok(!serves(after([{}], next.state), 10));
      });

      it("serves once the target has been restarted", () => {
        assert.ok(serves(after([{ startedAt: 2_001 }], state), 10));
      });
    });

    it("is not alive after a refused connection, until it reports again", () => {
      const { state } = stepRegistration(after([{}]), { kind: "refused" });
      assert.ok(!isAlive(state, 10));
      assert.ok(isAlive(after([{ sequence: 2 }], state), 10));
    });
  });

  describe("by a process that replaces another", () => {
    it("is recognized by its start time, even with the same id", () => {
      const step = stepRegistration(after([{ sequence: 9 }]), {
        kind: "reported",
        report: { ...report, startedAt: 2_000, sequence: 1 },
        now: 5,
      });
      assert.equal(step.change, "replaced");
      assert.ok(serves(step.state, 10));
    });

    it("is not replaced by a delayed report of the former one", () => {
      const state = after([
        { id: "i-2", startedAt: 2_000 },
        { id: "i-1", startedAt: 1_000, sequence: 99 },
      ]);
      assert.equal(state.target?.id, "i-2");
    });

    // Guards against a target that never gets a request again.
    it("is not ended by the late notice of the former one with its id", () => {
      const state = after([{ startedAt: 2_000 }]);
      const left = (startedAt: number) =>
        stepRegistration(state, {
          kind: "left",
          notice: { id: "i-1", startedAt },
          now: 5,
          wallNow: 3_000,
        }).state;
      assert.ok(serves(left(1_000), 10));
      assert.ok(!serves(left(2_000), 10));
    });

    it("is not ended by the departure of the former one", () => {
      const { change } = stepRegistration(
        after([{ id: "i-2", startedAt: 2_000 }]),
        {
          kind: "left",
          notice: { id: "i-1", startedAt: null },
          now: 5,
          wallNow: 2_000,
        },
      );
      assert.equal(change, "none");
    });
  });

  // Guards against two holders of a key (OWNER): a report of another service
  // with a later start replaced the target, whose keys were then given to
  // others while it held them.
  describe("by another writer", () => {
    const foreign = {
      ...report,
      id: "i-2",
      startedAt: 2_000,
      service: "unnamed",
    };

    for (const state of [unregistered, after([{}])]) {
      const whom = state.target === null ? "no target" : "a target";
      it(`changes nothing while there is ${whom}`, () => {
        const step = stepRegistration(state, {
          kind: "reported",
          report: foreign,
          now: 5,
        });
        assert.equal(step.change, "none");
        assert.equal(step.state, state);
      });
    }
  });
});
