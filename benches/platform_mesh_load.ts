/**
 * What requests cost the agents of a mesh by the users' platform's protocol,
 * in processor time, at a steady rate from the first request on.
 *
 * @module
 */
import { Agent, request } from "node:http";
import {
  launchPlatformMesh,
  type PlatformHost,
  type PlatformMesh,
  type PlatformMeshAgent,
} from "../standins/platform_mesh.ts";
import { sleep } from "./bench.ts";
import { processorSeconds } from "./processor_time.ts";

/** What one span of a run has cost. */
export interface MeshSpan {
  readonly requests: number;
  readonly answered: number;
  /** Processor time of all agents for each request, in milliseconds. */
  readonly processorMilliseconds: number;
  readonly p50Milliseconds: number;
  readonly p90Milliseconds: number;
}

/** What a mesh costs without and with requests. */
export interface MeshCost {
  /** Processor time of an agent without requests, as a part of one core. */
  readonly idleShare: number;
  /** In the order of time. */
  readonly spans: readonly MeshSpan[];
}

/** The load on a mesh. */
export interface MeshLoad {
  readonly requestsPerSecondOfAgent: number;
  readonly spans: number;
  readonly spanSeconds: number;
  /** How long agents run without requests before the first, in seconds. */
  readonly idleSeconds: number;
}

const hosts: readonly PlatformHost[] = [
  { service: "timetable", zone: "kol-a", region: "kolkata" },
  { service: "timetable", zone: "kol-b", region: "kolkata" },
  { service: "timetable", zone: "sil-a", region: "siliguri" },
  { service: "booking", zone: "kol-a", region: "kolkata" },
  { service: "booking", zone: "kol-b", region: "kolkata" },
  { service: "booking", zone: "sil-a", region: "siliguri" },
];
const serviceMilliseconds = 20;
const timeLimitMilliseconds = 1_500;
const keys = 65_536;
/** Leaps through the keys, so that all are asked for alike. */
const keyStep = 40_503;

/** Runs six agents of this program under a load. */
export async function measureMesh(
  program: readonly string[],
  load: MeshLoad,
): Promise<MeshCost> {
  const mesh = await launchPlatformMesh({
    hosts,
    serviceMilliseconds,
    program,
  });
  try {
    const before = processorOf(mesh);
    await sleep(load.idleSeconds * 1_000);
    const idle = processorOf(mesh) - before;
    const spans: MeshSpan[] = [];
    const connections = new Agent({ keepAlive: true });
    for (let span = 0; span < load.spans; span += 1) {
      spans.push(await runSpan(mesh, load, connections));
    }
    connections.destroy();
    const idleShare = idle / load.idleSeconds / mesh.agents.length;
    return { idleShare, spans };
  } finally {
    await mesh.stop();
  }
}

async function runSpan(
  mesh: PlatformMesh,
  load: MeshLoad,
  connections: Agent,
): Promise<MeshSpan> {
  const before = processorOf(mesh);
  const sent: Promise<number | null>[] = [];
  const gap = 1_000 / load.requestsPerSecondOfAgent / mesh.agents.length;
  const total = Math.round(load.spanSeconds * 1_000 / gap);
  const beganAt = performance.now();
  for (let index = 0; index < total; index += 1) {
    await sleep(Math.max(0, beganAt + index * gap - performance.now()));
    const agent = mesh.agents[index % mesh.agents.length];
    if (agent !== undefined) sent.push(send(agent, index, connections));
  }
  const used = processorOf(mesh) - before;
  const times = (await Promise.all(sent)).flatMap((time) => time ?? [])
    .sort((left, right) => left - right);
  return {
    requests: total,
    answered: times.length,
    processorMilliseconds: used * 1_000 / total,
    p50Milliseconds: times[Math.floor(times.length / 2)] ?? Infinity,
    p90Milliseconds: times[Math.floor(times.length * 0.9)] ?? Infinity,
  };
}

function processorOf(mesh: PlatformMesh): number {
  return mesh.agents
    .map((agent) => processorSeconds(agent.process().pid ?? 0))
    .reduce((sum, seconds) => sum + seconds, 0);
}

let ids = 0;

/** Milliseconds until the whole answer; null for a failure. */
function send(
  agent: PlatformMeshAgent,
  index: number,
  connections: Agent,
): Promise<number | null> {
  const [host = "", port = ""] = agent.callers.split(":");
  const keyed = Math.floor(index / hosts.length) % 2 === 0;
  const key = index * keyStep % keys;
  const beganAt = performance.now();
  ids += 1;
  return new Promise((resolve) => {
    const sent = request({
      host,
      port: Number(port),
      path: keyed ? `/slots/${key}` : `/seats/${key}`,
      method: keyed ? "GET" : "POST",
      agent: connections,
      headers: {
        host: "studio.example",
        "request-id": `bench-${ids}`,
        "timeout-ms": String(timeLimitMilliseconds),
        ...(keyed ? { "shard-key": String(key) } : {}),
      },
    }, (answer) => {
      answer.resume();
      answer.once("error", () => resolve(null));
      answer.once("end", () =>
        resolve(
          answer.statusCode === 200 ? performance.now() - beganAt : null,
        ));
    });
    sent.once("error", () => resolve(null));
    sent.end();
  });
}
