import assert from "node:assert/strict";
import { readFileSync } from "node:fs";
import { afterEach, describe, it } from "node:test";
import {
  coordinatorTimes,
  groupSettings,
} from "../source/programs/platform_policy.ts";
import { type FakeMesh, startFakeMesh } from "./fake_mesh.ts";

const document = readFileSync(
  new URL("../examples/studios.yaml", import.meta.url),
  "utf8",
);
const keys = Array.from({ length: 200 }, (_, index) => `class-${index}`);
const servers = 26;
/** The bound of 5 s, less what an evacuation may take to reach the agents. */
const movedMilliseconds = 3_500;

describe("a keyed service with 26 targets in 6 data centres and 3 regions", () => {
  let mesh: FakeMesh;
  let allowedRegions: readonly string[] = [];
  let edits = 0;
  afterEach(() => mesh.stop());

  async function start(regions: readonly string[]): Promise<void> {
    allowedRegions = regions;
    mesh = startFakeMesh({
      document,
      times: coordinatorTimes,
      group: groupSettings,
      nodes: Array.from({ length: servers + 3 }, (_, index) => ({
        host: `host-${index}`,
        service: index < servers ? "timetable" : "booking",
        dataCenter: `dc-${index % 6}`,
        region: `region-${index % 3}`,
      })),
      adapt: (configuration) => ({
        ...configuration,
        hostRoutes: [{
          name: "view",
          host: "studio.example",
          pathPrefix: "/",
          idempotent: true,
          timeoutMilliseconds: 1_000,
          objectiveMilliseconds: 500,
          priority: 0,
          maxAttempts: 2,
          destinations: [{ service: "timetable", weight: 1 }],
          allowedRegions,
        }],
      }),
    });
    await mesh.advance(20_000);
  }

  async function allow(regions: readonly string[]): Promise<void> {
    allowedRegions = regions;
    edits += 1;
    mesh.store.putDocument(document.replace("500ms", `${500 + edits}ms`));
    await mesh.advance(10_000);
  }

  function placesOfKeys(kind: "region" | "dataCenter"): ReadonlySet<string> {
    return new Set(keys.flatMap((key) => {
      const owners = mesh.owners(key);
      assert.ok(owners.length <= 1, `${key} has owners ${owners}`);
      return owners.length === 0
        ? ["none"]
        : owners.map((host) => mesh.node(host).agent.place[kind]);
    }));
  }

  // Guards against keys owned in a region where no request may run: each
  // request on them would be refused.
  it("has owners only in regions that its routes allow", async () => {
    await start(["region-1"]);
    assert.deepEqual(placesOfKeys("region"), new Set(["region-1"]));
    assert.equal(mesh.node("host-0").coordinator.holder(), null);
    await allow(["region-0", "region-2"]);
    const others = new Set(["region-0", "region-2"]);
    assert.deepEqual(placesOfKeys("region"), others);
    await allow([]);
    assert.equal(placesOfKeys("region").size, 3);
  });

  // Guards against keys without an owner after an evacuation: servers that
  // leave at one moment could be given each other's keys.
  it("has all keys of an evacuated data centre elsewhere in time", async () => {
    await start([]);
    assert.ok(placesOfKeys("dataCenter").has("dc-2"));
    for (const { agent, coordinator } of mesh.nodes) {
      if (agent.place.dataCenter === "dc-2") coordinator.setLeaving(true);
    }
    await mesh.advance(movedMilliseconds, () => placesOfKeys("dataCenter"));
    assert.equal(placesOfKeys("dataCenter").size, 5);
    assert.ok(!placesOfKeys("dataCenter").has("dc-2"));
    assert.ok(!placesOfKeys("dataCenter").has("none"));
  });
});
