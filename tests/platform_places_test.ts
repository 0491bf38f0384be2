/**
 * Agents of the users' platform in this process, with stand-ins for its store
 * and targets, as operators restrict regions and evacuate data centres.
 */
import assert from "node:assert/strict";
import { after, before, describe, it } from "node:test";
import { request } from "undici";
import { readPlatformSettings } from "../platform/settings.ts";
import {
  type RunningPlatformAgent,
  startPlatformAgent,
} from "../source/programs/platform_agent.ts";
import { pause } from "../source/tasks/time.ts";
import { until } from "../standins/children.ts";
import { exampleDesiredState } from "../standins/platform_mesh.ts";
import {
  type PlatformStoreStandIn,
  startPlatformStore,
} from "../standins/platform_store.ts";
import {
  type PlatformTargetStandIn,
  startPlatformTarget,
} from "../standins/platform_target.ts";
import { freePort } from "../standins/ports.ts";

const hosts = [
  { service: "timetable", zone: "kol-a", region: "kolkata" },
  { service: "timetable", zone: "sil-a", region: "siliguri" },
  { service: "booking", zone: "kol-a", region: "kolkata" },
  { service: "booking", zone: "sil-a", region: "siliguri" },
];

interface Host {
  readonly zone: string;
  readonly callers: string;
  readonly target: PlatformTargetStandIn;
  readonly agent: RunningPlatformAgent;
}

describe("agents in two data centres", () => {
  let store: PlatformStoreStandIn;
  const started: Host[] = [];
  const logged: string[] = [];
  let ids = 0;

  async function startHost(index: number): Promise<void> {
    const { service, zone, region } = hosts[index] ?? assert.fail();
    const [callers, peers, ready, control] = await Promise.all(
      [1, 2, 3, 4].map(async () => `127.0.0.1:${await freePort()}`),
    );
    assert.ok(callers && peers && ready && control);
    const target = await startPlatformTarget({
      id: `i-${service}-${zone}`,
      service,
      zone,
      slots: 8,
      keyed: service === "timetable",
      port: 0,
      heartbeats: control,
      serviceMilliseconds: 1,
    });
    const settings = readPlatformSettings(JSON.stringify({
      nodeId: `${service}-${zone}`,
      zone,
      region,
      service,
      appAddr: target.address,
      listen: { outbound: callers, inbound: peers, ready, control },
      seeds: [],
      heartbeat: "300ms",
      grants: "unary",
      platform: { address: store.address },
      bounds: [
        "drain=2000ms",
        "grace=6s",
        "retryBudgetRatio=0.2",
        "budgetSlack=60",
        "budgetWindow=10s",
        "maxHold=10000ms",
        "evacuate=5000ms",
      ],
    }));
    assert.ok(settings.isOk);
    const agent = await startPlatformAgent(settings.value, {
      logLevel: "info",
      writeLog: (line) => logged.push(line),
    });
    assert.ok(agent.isOk);
    started.push({ zone, callers, target, agent: agent.value });
  }

  /** The data centre in which a request ran, or why it did not. */
  async function send(callers: string, path: string, key: number) {
    ids += 1;
    const id = `r-${ids}`;
    const answer = await request(`http://${callers}${path}`, {
      headers: {
        host: "studio.example",
        "request-id": id,
        "timeout-ms": "1500",
        "shard-key": String(key),
      },
    });
    const text = await answer.body.text();
    const ran = started.find(({ target }) =>
      target.runs().some((run) => run.request === id)
    );
    return ran?.zone ?? text.trim();
  }

  /** What becomes of requests at all agents, with and without keys. */
  async function sendAll(): Promise<ReadonlySet<string>> {
    const sent = started.flatMap(({ callers }) =>
      [7, 20_007, 40_007, 60_007].flatMap((key) => [
        send(callers, "/slots/1", key),
        send(callers, "/seats/1", key),
      ])
    );
    return new Set(await Promise.all(sent));
  }

  /** Waits until requests run in these data centres, and only there. */
  async function untilOnlyIn(...zones: readonly string[]): Promise<void> {
    await until(async () => {
      const found = await sendAll();
      await pause(100);
      return found.size === zones.length &&
        zones.every((zone) => found.has(zone));
    });
  }

  before(async () => {
    store = await startPlatformStore({ port: 0 });
    store.put("config", "main", exampleDesiredState(1));
    await Promise.all(hosts.map((_, index) => startHost(index)));
    await untilOnlyIn("kol-a", "sil-a");
  });
  after(async () => {
    await Promise.all(started.map(({ agent }) => agent.stop()));
    await Promise.all(started.map(({ target }) => target.close()));
    await store.close();
  });

  // Guards against an evacuation that an agent knows and doesn't apply.
  it("run all requests elsewhere while one is evacuated, and not after", async () => {
    store.put("evacuations", "kol-a", {});
    await untilOnlyIn("sil-a");
    store.remove("evacuations", "kol-a");
    await untilOnlyIn("kol-a", "sil-a");
  });

  // Guards against a restriction that is decoded and not carried to a decision.
  it("run requests only in the region that their routes allow", async () => {
    const { routes, ...desired } = exampleDesiredState(2);
    store.put("config", "main", {
      ...desired,
      routes: {
        columns: [...routes.columns, "allowedRegions"],
        rows: routes.rows.map((row) => [...row, ["kolkata"]]),
      },
    });
    await untilOnlyIn("kol-a");
    store.put("evacuations", "kol-a", {});
    await until(async () => !(await sendAll()).has("kol-a"));
    const refusals = await sendAll();
    assert.ok(refusals.has("region-not-allowed"), [...refusals].join());
    assert.ok(!refusals.has("sil-a"), [...refusals].join());
    // Guards against refusals whose log lines don't show the evacuation.
    const stated = logged.filter((line) =>
      line.includes("reason=region-not-allowed") &&
      line.includes("evacuatedDataCenters=kol-a evacuationsEra=0")
    );
    assert.ok(stated.length > 0);
  });
});
