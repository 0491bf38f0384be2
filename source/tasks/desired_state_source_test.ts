import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { Result } from "true-myth";
import { hashText } from "../adapters/hashing.ts";
import { type Agent, departedAgent } from "../core/agent.ts";
import {
  type Configuration,
  emptyConfiguration,
} from "../core/document/document.ts";
import type { DesiredState } from "../core/routes/desired_state.ts";
import { testDesiredState } from "../../tests/test_desired_state.ts";
import { testAgent } from "../../tests/test_agent.ts";
import { desiredStateSource } from "./desired_state_source.ts";
import { startStoreEra } from "./store_era_task.ts";

const agent = testAgent("host-1/a", { host: "host-1", phase: "leaving" });

/** Starts a source whose watch reports only what the test lets it. */
function startSilent(members: readonly Agent[] = []) {
  let departures: readonly Agent[] = [];
  let started: readonly string[] = [];
  let stored = 3;
  let reads = 0;
  let entries = 0;
  const storeEra = startStoreEra({ events: { record: () => undefined } });
  storeEra.handleAnswer(1);
  let report: (latest: DesiredState | null) => void = () => undefined;
  let configuration: Configuration = emptyConfiguration;
  const source = desiredStateSource({
    desiredStates: {
      read() {
        reads += 1;
        const version = String(stored);
        const { era } = storeEra.current();
        return Promise.resolve(
          Result.ok({ value: testDesiredState(stored), version, era }),
        );
      },
      awaitChange: () =>
        new Promise((resolve) => {
          report = (latest) => {
            const version = String(latest?.version ?? stored);
            const { era } = storeEra.current();
            resolve(Result.ok({ latest, version, era }));
          };
        }),
    },
    members: {
      list: () => Promise.resolve(Result.ok(members)),
      put() {
        entries += 1;
        return Promise.resolve(Result.ok({ replaced: false }));
      },
    },
    storeEra,
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
      retryMilliseconds: 1,
      introductionMilliseconds: 0,
      maxSilenceMilliseconds: 60_000,
      substituteRetryMilliseconds: 1,
      slowReadMilliseconds: 60_000,
      reportMilliseconds: 60_000,
      maxReportAgeMilliseconds: 120_000,
    },
    events: { record: () => undefined },
    hash: hashText,
    // Entries are written again after 5 ms.
    random: () => 0.005,
    onRegistered: () => undefined,
  })({
    agent,
    agents: () => [],
    publish(records) {
      started = records.map(({ key }) => key);
    },
    publishNear: () => undefined,
    publishTo: () => undefined,
    reportWatch: () => undefined,
    recordDepartures(noted) {
      departures = noted;
    },
    apply: (next) => configuration = next,
    current: () => configuration,
    census: () => Promise.resolve({ applied: [], missing: [] }),
  });
  return {
    source,
    store: (version: number) => stored = version,
    /** The store goes back to a copy with this version; the watch ends. */
    returnFromOlderCopy(version: number) {
      stored = version;
      entries = 0;
      storeEra.handleAnswer(storeEra.current().era + 1);
      report(null);
    },
    entries: () => entries,
    /** The watch reports this version. */
    report: (version: number) => report(testDesiredState(version)),
    revision: () => configuration.revision,
    reads: () => reads,
    started: () => started,
    departures: () => departures,
  };
}

async function settle(): Promise<void> {
  await new Promise((resolve) => setTimeout(resolve, 30));
}

describe("the agents that the store lists", () => {
  describe("when some have stopped as planned", () => {
    it("are split into started and departed ones", async () => {
      const other = testAgent("host-2/a", { host: "host-2" });
      const stopped = departedAgent(testAgent("host-3/a", { host: "host-3" }));
      const { source, started, departures } = startSilent([other, stopped]);
      await settle();
      assert.equal(started().length, 1);
      assert.deepEqual(departures(), [stopped]);
      await source.stop();
    });
  });
});

describe("a desired state whose watch reports nothing", () => {
  describe("while another agent has a newer revision in force", () => {
    it("is read again", async () => {
      const { source, store, revision } = startSilent();
      await settle();
      assert.equal(revision(), 3);
      store(7);
      source.handlePeerRevision(7);
      await settle();
      assert.equal(revision(), 7);
      await source.stop();
    });
  });

  describe("while all other agents have the same revision", () => {
    it("is not read again", async () => {
      const { source, reads } = startSilent();
      await settle();
      source.handlePeerRevision(3);
      await settle();
      assert.equal(reads(), 1);
      await source.stop();
    });
  });
});

describe("a desired state that a watch reports", () => {
  it("is in force without being read again", async () => {
    const { source, report, reads, revision } = startSilent();
    await settle();
    report(8);
    await settle();
    assert.deepEqual([revision(), reads()], [8, 1]);
    await source.stop();
  });

  it("does not replace a newer one", async () => {
    const { source, report, revision } = startSilent();
    await settle();
    report(2);
    await settle();
    assert.equal(revision(), 3);
    await source.stop();
  });
});

describe("an agent whose store goes back to an older copy", () => {
  // Guards against CONFIG: the copy has an older desired state, and a watch
  // goes on from a version that was given out again.
  it("reads anew, and keeps the desired state until a newer one", async () => {
    const { source, reads, revision, returnFromOlderCopy } = startSilent();
    await settle();
    returnFromOlderCopy(2);
    await settle();
    assert.deepEqual([revision(), reads()], [3, 2]);
    returnFromOlderCopy(4);
    await settle();
    assert.deepEqual([revision(), reads()], [4, 3]);
    await source.stop();
  });

  // Guards against an agent that others don't find when they start.
  it("writes its entry again, unless it stops", async () => {
    const { source, entries, returnFromOlderCopy } = startSilent();
    await settle();
    returnFromOlderCopy(3);
    await settle();
    assert.equal(entries(), 1);
    returnFromOlderCopy(3);
    await source.stop();
    await settle();
    assert.equal(entries(), 0);
  });
});
