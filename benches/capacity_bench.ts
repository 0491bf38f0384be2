/**
 * The slopes that docs/CAPACITY.md works with: what control costs for each
 * agent, holder, record and change, at three sizes or more.
 *
 * @module
 */
import { readFileSync } from "node:fs";
import process from "node:process";
import { hashText } from "../source/adapters/hashing.ts";
import { startLogicalClock } from "../source/adapters/logs/logical_clock.ts";
import { startTimeline } from "../source/adapters/logs/timeline_buffer.ts";
import type { Agent } from "../source/core/agent.ts";
import {
  agentKey,
  agentRecord,
  createReplica,
  mergeRecords,
  recordOf,
  type Replica,
  rootDigest,
  type SharedRecord,
  takeUpdates,
} from "../source/core/dissemination/replica.ts";
import { stepGrantor } from "../source/core/ownership/grantor.ts";
import { tableOf } from "../source/core/ownership/grantor_table.ts";
import type { Renewal } from "../source/core/ownership/renewal.ts";
import { seededRandom } from "../standins/load.ts";
import { launchMesh } from "../standins/processes.ts";
import { checkBounds, round, show, sleep } from "./bench.ts";
import {
  type CoordinatorMesh,
  launchCoordinators,
} from "./coordinator_mesh.ts";
import { sizeOf } from "./coordinators.ts";
import { beginBenchGrantor, benchGroup } from "./grantor.ts";
import { residentMegabytes } from "./processor_time.ts";
import { bundleProgram } from "./programs.ts";

const studios = readFileSync(
  new URL("../examples/studios.yaml", import.meta.url),
  "utf8",
);

/** From the target. */
const targetAgents = 10_000;
const targetDataCenters = 13;
const changesPerDay = 7_800;
const secondsPerDay = 86_400;
const coreShareOfControl = 0.01;
const megabytesOfControl = 128;
const bytesPerSecondOfControl = 10_000;
const inForceSeconds = 9;
/** From the brief: several hundred writes, two thousand reads a second. */
const storeReadsPerSecond = 2_000;
const storeWritesPerSecond = 300;

interface MeshCost {
  readonly agents: number;
  readonly coreShare: number;
  readonly calls: number;
  readonly bytes: number;
  readonly storeCalls: number;
  readonly inForceMilliseconds: number;
  readonly storeCallsOfChange: number;
}

function documentFor(agents: number): string {
  const groups = Math.max(1, Math.ceil(agents / 3 / 16));
  return studios.replace("groups: 1", `groups: ${groups}`);
}

async function untilInForce(
  mesh: CoordinatorMesh,
  revision: number,
): Promise<number> {
  const startedAt = performance.now();
  while (performance.now() - startedAt < 60_000) {
    if ((await mesh.totals()).lowestRevision >= revision) break;
    await sleep(20);
  }
  return performance.now() - startedAt;
}

async function measureMesh(agents: number): Promise<MeshCost> {
  const document = documentFor(agents);
  const mesh = await launchCoordinators({ count: agents, document });
  await untilInForce(mesh, 1);
  // The news of so many starts has to be told before the mesh is at rest.
  await sleep(30_000);
  const seconds = 10;
  const before = await mesh.totals();
  await sleep(seconds * 1_000);
  const after = await mesh.totals();
  const each = (value: number) => value / seconds / agents;
  const storeCalls = (after.storeCalls - before.storeCalls) / seconds;
  await mesh.edit(document.replace("2GB", "3GB"));
  const inForceMilliseconds = await untilInForce(mesh, 2);
  await sleep(2_000);
  const changed = await mesh.totals();
  await mesh.stop();
  return {
    agents,
    coreShare: each(after.processorSeconds - before.processorSeconds),
    calls: each(after.calls - before.calls),
    bytes: each(after.bytes - before.bytes),
    storeCalls,
    inForceMilliseconds,
    storeCallsOfChange: changed.storeCalls - after.storeCalls -
      storeCalls * (2 + inForceMilliseconds / 1_000),
  };
}

function showMesh(cost: MeshCost): void {
  show(
    `  ${cost.agents} agents: ${round(cost.coreShare * 100)} % of a core, ` +
      `${round(cost.calls)} calls and ${
        round(Math.round(cost.bytes))
      } bytes a second ` +
      `for each agent; store ${
        round(cost.storeCalls)
      } calls a second; a change ` +
      `in force after ${Math.round(cost.inForceMilliseconds)} ms, ` +
      `${round(cost.storeCallsOfChange)} store calls`,
  );
}

function agentNumber(index: number): Agent {
  return {
    id: `host-${index}/abcdefgh`,
    host: `host-${index}`,
    incarnation: 1_700_000_000_000,
    callerAddress: "10.100.100.100:8080",
    peerAddress: "10.100.100.100:8081",
    place: { dataCenter: `data-center-${index % 13}`, region: "region-1" },
    service: "timetable",
    group: `timetable.${index % 600}`,
    slots: 8,
    processors: 1,
    checksFencing: false,
    phase: "serving",
  };
}

function records(count: number): readonly SharedRecord[] {
  return Array.from(
    { length: count },
    (_, index) => agentRecord(createReplica(hashText), agentNumber(index)),
  );
}

/** A function of its own, so that the records themselves are let go. */
function serialisedRecords(count: number): string {
  return JSON.stringify(records(count));
}

/** Needs the runtime's flag --expose-gc. */
function collectGarbage(): void {
  const collect = (globalThis as { gc?: () => void }).gc;
  for (let turn = 0; turn < 3; turn += 1) collect?.();
}

/** Memory and time of one agent's copy of all records. */
function measureReplica(count: number): number {
  const offered = serialisedRecords(count);
  collectGarbage();
  const before = process.memoryUsage().heapUsed;
  let replica = createReplica(hashText);
  replica = mergeRecords(
    replica,
    JSON.parse(offered) as readonly SharedRecord[],
  );
  collectGarbage();
  const kilobytes = (process.memoryUsage().heapUsed - before) / 1_024;
  replica = { ...replica, pendingUpdates: new Map() };
  const startedAt = performance.now();
  const rounds = 20;
  for (let index = 0; index < rounds; index += 1) {
    const agent = { ...agentNumber(index), phase: "leaving" as const };
    replica = mergeRecords(replica, [agentRecord(replica, agent)]);
  }
  const milliseconds = (performance.now() - startedAt) / rounds;
  show(
    `  ${count} records: ${round(kilobytes / count)} KB each in memory, ` +
      `${round(sizeOf(JSON.parse(offered)) / count)} bytes each on the wire, ` +
      `${round(milliseconds)} ms to take one in`,
  );
  return kilobytes / count;
}

/** Memory of a full time line at one agent. */
function measureTimeline(): void {
  collectGarbage();
  const before = process.memoryUsage().heapUsed;
  const timeline = startTimeline({
    agent: "host-1/abcdefgh",
    clock: startLogicalClock(),
    log: () => undefined,
  });
  for (let index = 0; index < 10_000; index += 1) {
    const request = `request-${index}`;
    timeline.record("request-routed", { request, to: `host-${index}/abc` });
    timeline.record("slice-granted", { slice: index, holder: request });
  }
  collectGarbage();
  const megabytes = (process.memoryUsage().heapUsed - before) / 1_048_576;
  const events = timeline.after(0).length;
  show(`  ${events} events: ${round(megabytes)} MB`);
}

/** Resident memory of agents as they are shipped, at rest. */
async function measureAgentMemory(): Promise<number> {
  const place = { dataCenter: "kolkata-1", region: "kolkata" };
  const mesh = await launchMesh({
    document: "examples/studios.yaml",
    program: await bundleProgram(),
    targets: [
      { service: "timetable", ...place },
      { service: "timetable", ...place },
      { service: "booking", ...place },
    ],
  });
  await sleep(5_000);
  const sizes = mesh.agents.map((agent) =>
    residentMegabytes(agent.agentProcess.pid ?? 0)
  );
  await mesh.stop();
  show(`  ${sizes.map((size) => round(size)).join(", ")} MB`);
  return Math.max(...sizes);
}

/** Rounds of exchanges until one change is known to all. */
function measureSpread(count: number): number {
  const random = seededRandom(41);
  const change = agentRecord(createReplica(hashText), agentNumber(0));
  let copies: Replica[] = Array.from(
    { length: count },
    () => createReplica(hashText),
  );
  copies[0] = mergeRecords(createReplica(hashText), [change]);
  let rounds = 0;
  let messages = 0;
  while (
    copies.some((copy) => recordOf(copy, change.key) === null) && rounds < 60
  ) {
    rounds += 1;
    const next = [...copies];
    for (let index = 0; index < count; index += 1) {
      const other = Math.floor(random() * count);
      messages += exchange(next, index, other);
    }
    copies = next;
  }
  show(
    `  ${count} agents: all know after ${rounds} rounds, ` +
      `${round(messages / count)} tellings for each agent`,
  );
  return rounds;
}

function exchange(copies: Replica[], left: number, right: number): number {
  const a = copies[left];
  const b = copies[right];
  if (a === undefined || b === undefined || left === right) return 0;
  const toldA = takeUpdates(a);
  const toldB = takeUpdates(b);
  copies[left] = mergeRecords(toldA.replica, toldB.records);
  copies[right] = mergeRecords(toldB.replica, toldA.records);
  // Equal digests end an exchange; different ones are compared at once.
  const agree = rootDigest(copies[left]) ===
    rootDigest(copies[right]);
  if (!agree) {
    const key = agentKey("host-0");
    const all = [recordOf(a, key), recordOf(b, key)]
      .flatMap((record) => record ?? []);
    copies[left] = mergeRecords(copies[left], all);
    copies[right] = mergeRecords(copies[right], all);
  }
  return toldA.records.length + toldB.records.length;
}

/** Decision time of one renewal, and the bytes of message and answer. */
function measureRenewal(holders: number): void {
  let state = beginBenchGrantor(holders);
  let bytes = 0;
  let answered = 0;
  let milliseconds = 0;
  const held = new Map<string, Renewal["held"]>();
  const rounds = 30;
  for (let turn = 0; turn < rounds; turn += 1) {
    for (const entry of state.roster) {
      const own = held.get(entry.id) ?? [];
      const renewal: Renewal = {
        group: benchGroup,
        epoch: 1,
        id: entry.id,
        peerAddress: entry.peerAddress,
        weight: 8,
        checksFencing: false,
        leaving: false,
        held: own,
        released: [],
        emptied: false,
        tableVersion: tableOf(state).version,
        sliceLoads: own.map((grant) => ({
          slice: grant.slice,
          requestsPerSecond: 20,
        })),
        keyLoads: [],
      };
      const startedAt = performance.now();
      const next = stepGrantor(state, {
        kind: "renewal",
        renewal,
        now: { monotonic: 1_000 + turn, wall: 1_000 + turn },
      });
      milliseconds += performance.now() - startedAt;
      state = next.state;
      for (const effect of next.effects) {
        if (effect.kind !== "answer") continue;
        held.set(entry.id, effect.answer.grants);
        bytes += sizeOf(renewal) + sizeOf(effect.answer);
        answered += 1;
      }
    }
  }
  show(
    `  ${holders} holders: ${
      round(milliseconds / answered)
    } ms of decision and ` +
      `${Math.round(bytes / answered)} bytes a renewal, table ` +
      `${sizeOf(tableOf(state))} bytes`,
  );
}

/** Prints all slopes, and what they come to at the target's size. */
export async function benchCapacity(): Promise<boolean> {
  show("one agent's copy of the records");
  const sizes = [1_000, 3_000, 10_000].map(measureReplica);
  show("spread of one change, in rounds of exchanges");
  const rounds = [100, 1_000, 10_000].map(measureSpread);
  show("renewals at a grantor");
  for (const holders of [4, 16, 64]) measureRenewal(holders);
  show("a full time line");
  measureTimeline();
  show("resident memory of agents at rest, the program's own included");
  const resident = await measureAgentMemory();
  show("whole coordinators over real connections");
  const costs: MeshCost[] = [];
  for (const agents of [6, 50, 200]) {
    const cost = await measureMesh(agents);
    showMesh(cost);
    costs.push(cost);
  }
  return conclude({
    kilobytesOfRecord: sizes[2] ?? 0,
    resident,
    rounds: rounds[2] ?? 0,
    cost: costs[2],
  });
}

function conclude(measured: {
  readonly kilobytesOfRecord: number;
  readonly resident: number;
  readonly rounds: number;
  readonly cost: MeshCost | undefined;
}): boolean {
  const { cost } = measured;
  if (cost === undefined) return false;
  const exchangeSeconds = usualExchangeSeconds;
  const watchers = 2 * targetDataCenters;
  const changes = changesPerDay / secondsPerDay;
  const storeCalls = watchers * watcherCallsPerSecond +
    changes * watchers * callsOfWatcherForChange;
  show(`at ${targetAgents} agents`);
  return checkBounds([
    {
      name: "share of a core for control, from 200 agents",
      value: cost.coreShare,
      most: coreShareOfControl,
    },
    {
      name: "bytes a second for control, from 200 agents",
      value: cost.bytes,
      most: bytesPerSecondOfControl,
    },
    {
      name: "megabytes resident at rest, with all records",
      value: measured.resident +
        measured.kilobytesOfRecord * targetAgents / 1_024,
      most: megabytesOfControl,
    },
    {
      name: "seconds until a change is in force everywhere",
      value: measured.rounds * exchangeSeconds,
      most: inForceSeconds,
    },
    {
      name: "store calls a second of watchers",
      value: storeCalls,
      most: Math.min(storeReadsPerSecond, storeWritesPerSecond),
    },
  ]);
}

const usualExchangeSeconds = 0.5;
/** Each watch lasts 30 s and is followed by reads of three objects. */
const watcherCallsPerSecond = 4 / 30;
const callsOfWatcherForChange = 6;
