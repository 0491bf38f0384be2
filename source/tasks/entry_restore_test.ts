import assert from "node:assert/strict";
import { afterEach, beforeEach, describe, it } from "node:test";
import { Result } from "true-myth";
import { hashText } from "../adapters/hashing.ts";
import {
  type Configuration,
  emptyConfiguration,
} from "../core/document/document.ts";
import type { RecordedDeparture } from "../core/target/departures.ts";
import { testAgent } from "../../tests/test_agent.ts";
import { pauseClock, type PausedClock } from "../../tests/test_clock.ts";
import { testDesiredState } from "../../tests/test_desired_state.ts";
import { startDepartures } from "./departures_task.ts";
import { desiredStateSource } from "./desired_state_source.ts";
import { startStoreEra, type StoreEraTask } from "./store_era_task.ts";

const agent = testAgent("host-1/a", { host: "host-1" });
const events = { record: () => undefined };
const refused = { kind: "refused", detail: "down" } as const;
/** More than the longest delay, and a few attempts. */
const restoreMilliseconds = 3_000;

/** A store that can lose what was written. */
function startStore() {
  const stored = new Set<string>();
  let down = false;
  let version = 5;
  let reads = 0;
  const storeEra: StoreEraTask = startStoreEra({ events });
  let endWatch = () => {};
  storeEra.handleAnswer(1);

  function put<Value>(name: string, value: Value) {
    if (down) return Promise.resolve(Result.err(refused));
    stored.add(name);
    return Promise.resolve(Result.ok(value));
  }

  return {
    storeEra,
    stored,
    reads: () => reads,
    /** The store has lost everything, and operators' latest version. */
    returnFromOlderCopy() {
      stored.clear();
      version -= 1;
      storeEra.handleAnswer(storeEra.current().era + 1);
      endWatch();
    },
    setDown: (value: boolean) => down = value,
    setVersion: (next: number) => version = next,
    members: {
      list: () => Promise.resolve(Result.ok([])),
      put: () => put("member", { replaced: false }),
    },
    departures: {
      read: () => Promise.resolve(Result.ok([])),
      put: (_host: string, departures: readonly RecordedDeparture[]) =>
        put(departures.map(({ id }) => id).join(), null),
    },
    desiredStates: {
      read() {
        reads += 1;
        const { era } = storeEra.current();
        const value = testDesiredState(version);
        return Promise.resolve(Result.ok({ value, version: "7", era }));
      },
      /** Answers at the end of the watch, or with the next change of era. */
      awaitChange: ({ version }: { readonly version: string }) =>
        new Promise<
          Result<
            {
              readonly latest: null;
              readonly version: string;
              readonly era: number;
            },
            never
          >
        >((resolve) => {
          endWatch = () => {
            const { era } = storeEra.current();
            resolve(Result.ok({ latest: null, version, era }));
          };
        }),
    },
  };
}

function startSource(store: ReturnType<typeof startStore>) {
  let configuration: Configuration = emptyConfiguration;
  const source = desiredStateSource({
    ...store,
    seeds: [],
    policy: {
      keys: { groups: 1, slicesPerGroup: 8 },
      queueLength: 8,
      lowerRankShare: 0,
      defaultDeadlineMilliseconds: 1_000,
    },
    times: {
      maxWatchMilliseconds: 60_000,
      watchIntervalMilliseconds: 60_000,
      maxWatchLagMilliseconds: 1,
      retryMilliseconds: 100,
      introductionMilliseconds: 0,
      maxSilenceMilliseconds: 100,
      substituteRetryMilliseconds: 100,
      slowReadMilliseconds: 60_000,
      reportMilliseconds: 60_000,
      maxReportAgeMilliseconds: 120_000,
    },
    events,
    hash: hashText,
    random: () => 0.5,
    onRegistered: () => undefined,
  })({
    agent,
    agents: () => [],
    publish: () => undefined,
    publishNear: () => undefined,
    publishTo: () => undefined,
    reportWatch: () => undefined,
    recordDepartures: () => undefined,
    apply: (next) => configuration = next,
    current: () => configuration,
    census: () => Promise.resolve({ applied: [], missing: [] }),
  });
  return { source, revision: () => configuration.revision };
}

describe("after the store has gone back to an older copy", () => {
  let clock: PausedClock;
  let store: ReturnType<typeof startStore>;

  beforeEach(() => {
    clock = pauseClock();
    store = startStore();
  });
  afterEach(() => clock.uninstall());

  describe("an agent", () => {
    let running: ReturnType<typeof startSource>;

    beforeEach(async () => {
      running = startSource(store);
      await clock.tickAsync(1_000);
    });
    afterEach(() => running.source.stop());

    // Guards against an agent that others don't find when they start.
    it("writes its entry again, also when the store fails at first", async () => {
      assert.ok(store.stored.has("member"));
      store.returnFromOlderCopy();
      store.setDown(true);
      await clock.tickAsync(restoreMilliseconds);
      store.setDown(false);
      await clock.tickAsync(restoreMilliseconds);
      assert.ok(store.stored.has("member"));
    });

    // Guards against an entry of a stopped agent that says that it runs.
    it("doesn't write it once it stops", async () => {
      store.returnFromOlderCopy();
      await running.source.stop();
      await clock.tickAsync(restoreMilliseconds);
      assert.ok(!store.stored.has("member"));
    });

    // Guards against CONFIG: the copy has an older desired state, and the watch
    // goes on from a version that was given out again.
    it("reads anew and keeps the desired state until a newer one", async () => {
      const reads = store.reads();
      store.returnFromOlderCopy();
      await clock.tickAsync(restoreMilliseconds);
      assert.ok(store.reads() > reads);
      assert.equal(running.revision(), 5);
      store.returnFromOlderCopy();
      store.setVersion(6);
      await clock.tickAsync(restoreMilliseconds);
      assert.equal(running.revision(), 6);
    });
  });

  // Guards against a request to a target that has left: the agent's next
  // process would take an old report for the target's word.
  describe("a departure that was acknowledged", () => {
    it("is written again", async () => {
      const departures = startDepartures({
        agent,
        agents: () => [],
        store: store.departures,
        peers: {
          call: () =>
            Promise.resolve(Result.err({ kind: "unreachable", detail: "" })),
          close: () => Promise.resolve(),
        },
        events,
        hash: hashText,
        times: {
          maxKeepMilliseconds: 300,
          storeWaitMilliseconds: 300,
          callTimeoutMilliseconds: 300,
          retryMilliseconds: 100,
        },
        restore: { storeEra: store.storeEra, random: () => 0.5 },
        onLoaded: () => undefined,
      });
      const kept = departures.keep([{ id: "i-1", startedBy: 1_000 }]);
      await clock.tickAsync(500);
      assert.ok(await kept);
      store.returnFromOlderCopy();
      assert.ok(!store.stored.has("i-1"));
      await clock.tickAsync(restoreMilliseconds);
      assert.ok(store.stored.has("i-1"));
      departures.stop();
    });
  });
});
