import assert from "node:assert/strict";
import { describe, it, type TestContext } from "node:test";
import { Result } from "true-myth";
import { hashText } from "../adapters/hashing.ts";
import {
  createReplica,
  evacuationsRecord,
  mergeRecords,
} from "../core/dissemination/replica.ts";
import type { EvacuationList } from "../core/routing/evacuations.ts";
import { startEvacuations, type WatchContext } from "./evacuations_task.ts";
import { startStoreEra } from "./store_era_task.ts";

const context: WatchContext = {
  agents: () => [],
  rank: () => null,
  publishNear: () => undefined,
  publishTo: () => undefined,
  stopped: new AbortController().signal,
};

function startTask(test: TestContext) {
  const clock = { now: 0 };
  test.mock.method(performance, "now", () => clock.now);
  test.mock.timers.enable({ apis: ["setTimeout"] });
  const fault = { kind: "uncertain", detail: "" } as const;
  const changes: boolean[] = [];
  const events = { record: () => undefined };
  const storeEra = startStoreEra({ events });
  const task = startEvacuations({
    storeEra,
    store: {
      read: () => Promise.resolve(Result.err(fault)),
      awaitChange: () => Promise.resolve(Result.err(fault)),
    },
    times: {
      maxWatchMilliseconds: 20_000,
      watchIntervalMilliseconds: 1_000,
      retryMilliseconds: 400,
      substituteRetryMilliseconds: 2_000,
    },
    events,
    hash: hashText,
    random: () => 0.5,
    onChange: () => changes.push(task.isClosed("kol-a")),
  });
  test.after(() => task.stop());
  return {
    task,
    storeEra,
    /** What each call of `onChange` has seen. */
    changes,
    learn(era: number, ...dataCenters: readonly string[]) {
      const list: EvacuationList = { era, revision: 1, dataCenters };
      const replica = createReplica(hashText);
      task.handleReplicaChange(
        mergeRecords(replica, [evacuationsRecord(list)]),
        context,
      );
    },
    /** Lets timers fire early by the monotonic clock, as those of Node may. */
    pass(milliseconds: number, { early = 0 } = {}) {
      clock.now += milliseconds - early;
      test.mock.timers.tick(milliseconds);
    },
  };
}

describe("an agent beside a target in an evacuated data centre", () => {
  describe("that the store lacks after it has gone back", () => {
    // Guards against a target that stays closed until another list arrives.
    it("opens after 3 s, also if a timer fires early", (test) => {
      const { task, changes, learn, pass } = startTask(test);
      learn(1, "kol-a");
      learn(2);
      pass(2_999);
      assert.ok(task.isClosed("kol-a"));
      pass(2, { early: 1.5 });
      pass(5);
      assert.ok(!task.isClosed("kol-a"));
      assert.equal(changes.at(-1), false);
    });
  });

  // Guards against an agent that starts while older ones retain the data
  // centre, and opens it because its first list lacks it.
  describe("that has started just after the store has gone back", () => {
    it("stays closed until 3 s after the change of era", (test) => {
      const { task, storeEra, changes, learn, pass } = startTask(test);
      storeEra.handleTold(2);
      pass(500);
      learn(2);
      pass(2_499);
      assert.ok(task.isClosed("kol-a"));
      pass(5);
      assert.equal(changes.at(-1), false);
    });

    it("closes when it learns of the change only after its first list", (test) => {
      const { storeEra, changes, learn, pass } = startTask(test);
      storeEra.handleAnswer(2);
      learn(2);
      assert.equal(changes.at(-1), false);
      storeEra.handleTold(2);
      assert.equal(changes.at(-1), true);
      pass(3_002);
      assert.equal(changes.at(-1), false);
    });

    it("stays open if the era changes long after its start", (test) => {
      const { task, storeEra, learn, pass } = startTask(test);
      learn(1);
      pass(5_000);
      storeEra.handleTold(2);
      assert.ok(!task.isClosed("kol-a"));
    });
  });
});
