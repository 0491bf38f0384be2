/**
 * Tests of real agent processes whose targets learn their keys from the answers
 * to their heartbeats.
 */
import assert from "node:assert/strict";
import { once } from "node:events";
import { after, before, describe, it } from "node:test";
import { until } from "../../standins/children.ts";
import {
  allHeld,
  launchPlatformMesh,
  mostHolders,
  type PlatformMesh,
  type PlatformMeshAgent,
} from "../../standins/platform_mesh.ts";
import type { HeartbeatMode } from "../../standins/platform_target.ts";

const hosts = [
  { service: "timetable", zone: "kol-a", region: "kolkata" },
  { service: "timetable", zone: "sil-a", region: "siliguri" },
  { service: "timetable", zone: "dgp-a", region: "durgapur" },
  { service: "booking", zone: "kol-a", region: "kolkata" },
];

describe("a mesh whose targets learn their keys by heartbeat", () => {
  let mesh: PlatformMesh;

  function agent(index: number): PlatformMeshAgent {
    const found = mesh.agents[index];
    assert.ok(found !== undefined);
    return found;
  }

  /** Runs a scenario during which no key may have two holders. */
  async function watched(scenario: () => Promise<void>): Promise<void> {
    let holders = 0;
    const watch = setInterval(() => {
      holders = Math.max(holders, mostHolders(mesh.agents));
    }, 5);
    try {
      await scenario();
    } finally {
      clearInterval(watch);
    }
    assert.equal(holders, 1);
    const violations = mesh.agents.flatMap(({ target }) => target.violations());
    assert.deepEqual(violations, []);
  }

  function untilAllHeld(): Promise<void> {
    return until(() => Promise.resolve(allHeld(mesh.agents)));
  }

  /** The agent whose log line of a new grantor is the latest. */
  function grantor(): PlatformMeshAgent {
    const line = mesh.log().findLast((line) =>
      line.includes("event=grantor-begun")
    );
    const found = mesh.agents.find(({ host }) => line?.includes(host));
    assert.ok(found !== undefined);
    return found;
  }

  async function killAndRestart(
    killed: readonly PlatformMeshAgent[],
  ): Promise<void> {
    for (const each of killed) each.process().kill("SIGKILL");
    await Promise.all(killed.map((each) => each.restart()));
  }

  before(async () => {
    mesh = await launchPlatformMesh({
      hosts,
      serviceMilliseconds: 5,
      keysByHeartbeat: true,
    });
  });
  after(() => mesh.stop());

  describe("with heartbeats that are", () => {
    const modes: readonly HeartbeatMode[] = [
      "doubled",
      "late",
      "unanswered",
      "lost",
    ];
    for (const mode of modes) {
      it(`${mode} for a while has each key held by one target again`, () =>
        watched(async () => {
          agent(0).target.setHeartbeats(mode);
          await new Promise((resolve) => setTimeout(resolve, 2_500));
          agent(0).target.setHeartbeats("sent");
          await untilAllHeld();
        }));
    }
  });

  describe("with an agent that is killed and started again", () => {
    it("has each key held by one target at most, and by one finally", () =>
      watched(async () => {
        await killAndRestart([agent(1)]);
        await untilAllHeld();
      }));
  });

  describe("with a grantor that is killed and started again", () => {
    it("has each key held by one target at most, and by one finally", () =>
      watched(async () => {
        await killAndRestart([grantor()]);
        await untilAllHeld();
      }));
  });

  describe("with the store down for 10 s", () => {
    it("keeps each key held all the while", () =>
      watched(async () => {
        mesh.store.setFaults({ down: true });
        const end = Date.now() + 10_000;
        while (Date.now() < end) {
          assert.ok(allHeld(mesh.agents));
          await new Promise((resolve) => setTimeout(resolve, 50));
        }
        mesh.store.setFaults({ down: false });
      }));
  });

  describe("with all agents killed and started again", () => {
    it("has each key held by one target at most, and by one finally", () =>
      watched(async () => {
        await killAndRestart(mesh.agents);
        await untilAllHeld();
      }));
  });

  describe("with an owner's agent stopped as planned", () => {
    it("moves its keys to the other targets, each with its state", () =>
      watched(async () => {
        const stopped = agent(2);
        stopped.process().kill("SIGTERM");
        assert.deepEqual(await once(stopped.process(), "exit"), [0, null]);
        await untilAllHeld();
        assert.ok(!stopped.target.holds(0) && mostHolders([stopped]) === 0);
      }));
  });

  describe("with a target that crashes", () => {
    it("has its keys held by the others within the target", () =>
      watched(async () => {
        const begunAt = Date.now();
        await agent(1).target.close();
        const rest = [agent(0), agent(2)];
        await until(() => Promise.resolve(allHeld(rest)));
        assert.ok(Date.now() - begunAt < 5_000);
      }));
  });
});
