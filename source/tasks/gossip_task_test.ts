import assert from "node:assert/strict";
import { afterEach, beforeEach, describe, it } from "node:test";
import { pauseClock, type PausedClock } from "../../tests/test_clock.ts";
import { Result } from "true-myth";
import { testAgent } from "../../tests/test_agent.ts";
import { hashText } from "../adapters/hashing.ts";
import { initialAgentRecord } from "../core/dissemination/replica.ts";
import type { PeerFault, PeerMethod, Peers } from "../ports/peers.ts";
import { type GossipTask, startGossip } from "./gossip_task.ts";
import { pause } from "./time.ts";

const agent = testAgent("host-1/a", {
  host: "host-1",
  peerAddress: "127.0.0.1:9",
});
const other = testAgent("host-2/a", { host: "host-2" });

/** How the other agent responds to calls. */
interface Behaviour {
  /** Delay of its answers; it never answers when infinite. */
  readonly milliseconds: number;
  /** Whether connections to its address are refused. */
  readonly refuses?: boolean;
}

/** Agents that have run for longer than the other one, on lost hosts. */
const crashed = [11, 12, 13, 14, 15].map((port) =>
  testAgent(`crashed-${port}/a`, {
    host: `crashed-${port}`,
    incarnation: 0,
    peerAddress: `127.0.0.1:${port}`,
  })
);

/** Calls to the other agent; each ends no later than its timeout. */
function peersOf(behaviour: Behaviour): Peers {
  async function call(
    address: string,
    method: PeerMethod,
    { timeoutMilliseconds }: { readonly timeoutMilliseconds: number },
  ): Promise<Result<unknown, PeerFault>> {
    if (behaviour.refuses || address !== other.peerAddress) {
      return Result.err({ kind: "unreachable", detail: "refused" });
    }
    const inTime = behaviour.milliseconds < timeoutMilliseconds;
    await pause(Math.min(behaviour.milliseconds, timeoutMilliseconds));
    if (!inTime) return Result.err({ kind: "timeout", detail: "exchange" });
    if (method === "transfer") return Result.ok([]);
    return Result.ok({
      id: other.id,
      news: [],
      root: 0,
      digests: [],
      versions: [],
      revision: 0,
      fresh: true,
    });
  }
  return { call: call as Peers["call"], close: () => Promise.resolve() };
}

describe("gossip with another agent", () => {
  let clock: PausedClock;
  let losses = 0;
  let gossip: GossipTask | null = null;

  beforeEach(() => {
    clock = pauseClock();
    losses = 0;
  });
  afterEach(async () => {
    const stopped = gossip?.stop();
    await clock.tickAsync(10_000);
    await stopped;
    clock.uninstall();
  });

  function start(behaviour: Behaviour): GossipTask {
    const started = startGossip({
      agent,
      seeds: () => Promise.resolve([]),
      times: { exchangeMilliseconds: 500, callTimeoutMilliseconds: 400 },
      peers: peersOf(behaviour),
      events: {
        record(kind) {
          if (kind === "agent-lost") losses += 1;
        },
      },
      hash: hashText,
      random: () => 0.5,
      onChange: () => undefined,
      fresh: () => true,
      revision: () => 0,
      onRevision: () => undefined,
      onConfirmed: () => undefined,
    });
    started.publish([initialAgentRecord(other)]);
    gossip = started;
    return started;
  }

  function phaseOfOther(task: GossipTask): string | undefined {
    return task.agents().find(({ id }) => id === other.id)?.phase;
  }

  describe("that answers late", () => {
    // Guards against slow agents being declared lost to all others, which
    // leaves requests without a target.
    it("does not declare it lost while it answers within a second", async () => {
      const task = start({ milliseconds: 900 });
      await clock.tickAsync(20_000);
      assert.equal(losses, 0);
      assert.equal(phaseOfOther(task), "serving");
    });

    it("does not declare it lost while it calls by itself", async () => {
      const task = start({ milliseconds: Infinity });
      for (let calls = 0; calls < 40; calls += 1) {
        await clock.tickAsync(500);
        task.exchange({ from: other.id, news: [], root: 0, revision: 0 });
      }
      assert.equal(losses, 0);
    });
  });

  describe("that calls by itself while calls to it are repeated", () => {
    // Guards against an agent declared lost after fewer failed calls than
    // stated: a new series of calls continued one that had been cancelled.
    it("declares it lost only after three more failed calls", async () => {
      const task = start({ milliseconds: Infinity });
      let lostAfter = Infinity;
      // The third call of the first series is in progress, until 2,800 ms.
      await clock.tickAsync(1_600);
      task.exchange({ from: other.id, news: [], root: 0, revision: 0 });
      for (let after = 0; after < 6_000 && losses === 0; after += 50) {
        await clock.tickAsync(50);
        if (losses > 0) lostAfter = after + 50;
      }
      // Calls of 400, 800 and 1,600 ms.
      assert.ok(lostAfter >= 2_800, `lost after ${lostAfter} ms`);
    });
  });

  describe("that has run for less long than agents on crashed hosts", () => {
    // Guards against a group that nobody claims until four crashed hosts have
    // been declared lost.
    it("consults it", async () => {
      const task = start({ milliseconds: 0 });
      task.publish(crashed.map(initialAgentRecord));
      const consulted = task.consult();
      await clock.tickAsync(100);
      assert.equal(await consulted, "answered");
    });
  });

  describe("that has ended", () => {
    it("declares it lost within four seconds when its host does not answer", async () => {
      const task = start({ milliseconds: Infinity });
      await clock.tickAsync(4_000);
      assert.equal(phaseOfOther(task), "lost");
    });

    it("declares it lost within two seconds when connections are refused", async () => {
      const task = start({ milliseconds: 0, refuses: true });
      await clock.tickAsync(2_000);
      assert.equal(phaseOfOther(task), "lost");
    });
  });
});
