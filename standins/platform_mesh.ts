/**
 * A small mesh by the users' platform's protocol: the store and the targets
 * as stand-ins in this process, and a real agent process beside each target.
 *
 * @module
 */
import { type ChildProcess, spawn } from "node:child_process";
import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import process from "node:process";
import { fileURLToPath } from "node:url";
import {
  type PlatformStoreStandIn,
  startPlatformStore,
} from "./platform_store.ts";
import {
  type PlatformTargetStandIn,
  startPlatformTarget,
} from "./platform_target.ts";
import { answers, freePort, until } from "./processes.ts";

/** One target to start, and where. */
export interface PlatformHost {
  readonly service: string;
  readonly zone: string;
  readonly region: string;
}

/** One agent of a mesh, with its target. */
export interface PlatformMeshAgent {
  readonly host: string;
  readonly service: string;
  readonly callers: string;
  readonly readiness: string;
  readonly target: PlatformTargetStandIn;
  process(): ChildProcess;
  /** Starts the agent anew after its process has ended. */
  restart(): Promise<void>;
}

/** A running mesh. */
export interface PlatformMesh {
  readonly store: PlatformStoreStandIn;
  readonly agents: readonly PlatformMeshAgent[];
  log(): readonly string[];
  stop(): Promise<void>;
}

const root = fileURLToPath(new URL("..", import.meta.url));
const agentProgram = [
  process.execPath,
  "--import",
  "tsx",
  "source/programs/main.ts",
  "platform-agent",
];

/** The desired state of two services, the first divided by key. */
export function exampleDesiredState(version: number) {
  return {
    version,
    routes: {
      columns: [
        "name",
        "host",
        "pathPrefix",
        "routeType",
        "timeout",
        "targetLatency",
        "priority",
        "numAttempts",
        "service",
      ],
      rows: [
        [
          "view",
          "studio.example",
          "/slots/",
          "idempotent",
          "2s",
          "500ms",
          0,
          2,
          "timetable",
        ],
        [
          "book",
          "studio.example",
          "/seats/",
          "non_idempotent",
          "2s",
          "500ms",
          1,
          2,
          "booking",
        ],
      ],
    },
    services: {
      columns: ["name", "healthCheckPath", "maxConnections", "sharded"],
      rows: [
        ["timetable", "/healthz", 120, true],
        ["booking", "/healthz", 120, null],
      ],
    },
    limits: {
      maxHeaderBytes: 16_384,
      maxBodyBytes: 1_000_000,
      headerTimeout: "3000ms",
      idleTimeout: "15000ms",
    },
  };
}

/** Starts a mesh and waits until all agents are ready and all keys are held. */
export async function launchPlatformMesh(options: {
  readonly hosts: readonly PlatformHost[];
  readonly serviceMilliseconds: number;
  /** The program to run as agent; the sources when not stated. */
  readonly program?: readonly string[];
}): Promise<PlatformMesh> {
  const store = await startPlatformStore({ port: 0 });
  store.put("config", "main", exampleDesiredState(1));
  const folder = mkdtempSync(join(tmpdir(), "geraniumledge-"));
  const children = new Set<ChildProcess>();
  const targets = new Set<PlatformTargetStandIn>();
  const lines: string[] = [];

  const taken = new Set<number>();

  /** A port is free again until its process listens: none is given twice. */
  async function newAddress(): Promise<string> {
    for (;;) {
      const port = await freePort();
      if (taken.has(port)) continue;
      taken.add(port);
      return `127.0.0.1:${port}`;
    }
  }

  function launch(settingsPath: string): ChildProcess {
    const [file = "", ...words] = options.program ?? agentProgram;
    const child = spawn(file, words, {
      cwd: root,
      stdio: ["ignore", "pipe", "pipe"],
      env: { ...process.env, GERANIUMLEDGE_NODE_FILE: settingsPath },
    });
    children.add(child);
    child.on("exit", () => children.delete(child));
    for (const stream of [child.stdout, child.stderr]) {
      stream?.on("data", (data) => lines.push(...String(data).split("\n")));
    }
    return child;
  }

  async function startHost(
    host: PlatformHost,
    index: number,
  ): Promise<PlatformMeshAgent> {
    const name = `host-${index + 1}`;
    const callers = await newAddress();
    const peers = await newAddress();
    const ready = await newAddress();
    const control = await newAddress();
    const target = await startPlatformTarget({
      id: `i-${name}`,
      service: host.service,
      zone: host.zone,
      slots: 8,
      keyed: host.service === "timetable",
      port: 0,
      heartbeats: control,
      serviceMilliseconds: options.serviceMilliseconds,
    });
    targets.add(target);
    const path = join(folder, `${name}.json`);
    writeFileSync(
      path,
      JSON.stringify({
        nodeId: name,
        zone: host.zone,
        region: host.region,
        service: host.service,
        appAddr: target.address,
        listen: { outbound: callers, inbound: peers, ready, control },
        seeds: [],
        heartbeat: "300ms",
        platform: { address: store.address },
        bounds: [
          "drain=2000ms",
          "grace=6s",
          "retryBudgetRatio=0.2",
          "budgetSlack=60",
          "budgetWindow=10s",
          "maxHold=10000ms",
        ],
      }),
    );
    let child = launch(path);
    const isReady = () => answers(`http://${ready}/geraniumledge/ready`);
    await until(isReady);
    return {
      host: name,
      service: host.service,
      callers,
      readiness: ready,
      target,
      process: () => child,
      async restart() {
        child = launch(path);
        await until(isReady);
      },
    };
  }

  /** A mesh that does not get ready says what its agents logged. */
  async function startAll(): Promise<readonly PlatformMeshAgent[]> {
    try {
      const agents = await Promise.all(options.hosts.map(startHost));
      await until(() => Promise.resolve(allHeld(agents)));
      return agents;
    } catch (error) {
      for (const child of children) child.kill("SIGKILL");
      // What stays open would keep the test's process from ending.
      await Promise.all([...targets].map((target) => target.close()));
      await store.close();
      throw new Error(lines.slice(-40).join("\n"), { cause: error });
    }
  }

  const agents = await startAll();
  return {
    store,
    agents,
    log: () => lines,
    async stop() {
      const ended = [...children].map((child) =>
        new Promise<void>((resolve) => child.on("exit", () => resolve()))
      );
      for (const child of children) child.kill("SIGKILL");
      await Promise.all(ended);
      await Promise.all(agents.map((agent) => agent.target.close()));
      await store.close();
      rmSync(folder, { recursive: true });
    },
  };
}

const keySamples = Array.from({ length: 256 }, (_, index) => index * 256);

/** Whether every sampled key is held by exactly one target. */
export function allHeld(agents: readonly PlatformMeshAgent[]): boolean {
  return keySamples.every((key) => holdersOf(agents, key) === 1);
}

/** The most targets that hold one and the same sampled key. */
export function mostHolders(agents: readonly PlatformMeshAgent[]): number {
  return Math.max(...keySamples.map((key) => holdersOf(agents, key)));
}

function holdersOf(
  agents: readonly PlatformMeshAgent[],
  key: number,
): number {
  return agents.filter((agent) => agent.target.holds(key)).length;
}
