/**
 * A small mesh by the users' platform's protocol: the store and the targets
 * as stand-ins in this process, and a real agent process beside each target.
 *
 * @module
 */
import type { ChildProcess } from "node:child_process";
import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import process from "node:process";
import { settingsVariable } from "../platform/names.ts";
import { openChildren } from "./children.ts";
import {
  type PlatformStoreStandIn,
  startPlatformStore,
} from "./platform_store.ts";
import {
  type PlatformTargetStandIn,
  startPlatformTarget,
} from "./platform_target.ts";
import { freePort, type GivePort } from "./ports.ts";
import { answers } from "./processes.ts";

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

/** Limits of a machine, as the settings of its agent state them. */
export interface MachineLimits {
  readonly cpuShare: number;
  readonly cores: number;
  readonly memoryMb: number;
  readonly maxFds: number;
}

/** A running mesh. */
export interface PlatformMesh {
  readonly store: PlatformStoreStandIn;
  readonly agents: readonly PlatformMeshAgent[];
  log(): readonly string[];
  stop(): Promise<void>;
}

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

/** Lines of all agents that are told when a mesh doesn't get ready. */
const lastLines = 40;

/**
 * Starts a mesh and waits until all agents are ready and all keys are held.
 * Ends what it has started when that fails.
 */
export async function launchPlatformMesh(options: {
  readonly hosts: readonly PlatformHost[];
  readonly serviceMilliseconds: number;
  /** Whether targets learn their keys from answers to their heartbeats. */
  readonly keysByHeartbeat?: boolean;
  /** The era that the store states; left out, it states none. */
  readonly era?: number;
  /** The program to run as agent; the sources when not stated. */
  readonly program?: readonly string[];
  /** The limits of each agent's machine; none when not stated. */
  readonly limits?: MachineLimits;
  /** Brings the ports that its agents listen on; usually any free ones. */
  readonly givePort?: GivePort;
}): Promise<PlatformMesh> {
  const { era } = options;
  const store = await startPlatformStore({
    port: 0,
    ...(era === undefined ? {} : { era }),
  });
  store.put("config", "main", exampleDesiredState(1));
  const folder = mkdtempSync(join(tmpdir(), "geraniumledge-"));
  const { givePort = freePort, program = agentProgram } = options;
  const { keysByHeartbeat = false } = options;
  const children = openChildren();
  const targets = new Set<PlatformTargetStandIn>();

  async function newAddress(): Promise<string> {
    return `127.0.0.1:${await givePort()}`;
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
      keysByHeartbeat,
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
        grants: keysByHeartbeat ? "heartbeat" : "unary",
        ...(options.limits === undefined ? {} : { limits: options.limits }),
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
    async function start(): Promise<ChildProcess> {
      const child = children.launch(program, { [settingsVariable]: path });
      const page = `http://${ready}/geraniumledge/ready`;
      await children.until(() => answers(page), [child]);
      return child;
    }
    let child = await start();
    return {
      host: name,
      service: host.service,
      callers,
      readiness: ready,
      target,
      process: () => child,
      async restart() {
        child = await start();
      },
    };
  }

  const starting = options.hosts.map(startHost);

  async function stop(): Promise<void> {
    await children.stop();
    await Promise.allSettled(starting);
    await Promise.all([...targets].map((target) => target.close()));
    await store.close();
    rmSync(folder, { recursive: true });
  }

  try {
    const agents = await Promise.all(starting);
    await children.until(
      () => Promise.resolve(allHeld(agents)),
      agents.map((agent) => agent.process()),
    );
    return { store, agents, log: children.lines, stop };
  } catch (error) {
    // What stays open would keep the test's process from ending.
    await stop();
    const last = children.lines().slice(-lastLines);
    throw new Error(last.join("\n"), { cause: error });
  }
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
