/**
 * Runs sessions of real processes: a load runs while a fault is injected, and
 * the verdicts are compared with a golden file. The file contains guarantees, but
 * no times or counts that differ between runs.
 *
 * @module
 */
import assert from "node:assert/strict";
import { existsSync, readFileSync, writeFileSync } from "node:fs";
import process from "node:process";
import {
  type Load,
  type LoadReport,
  type LoadResult,
  runLoad,
} from "../../standins/load.ts";
import {
  launchMesh,
  type Mesh,
  type MeshAgent,
  type MeshTarget,
  stateOf,
} from "../../standins/processes.ts";
import type { Run } from "../../standins/target.ts";

/** Targets of the studios' mesh: three servers with keys and two others. */
export const studiosMeshTargets: readonly MeshTarget[] = [
  { service: "timetable", dataCenter: "kolkata-1", region: "kolkata" },
  { service: "timetable", dataCenter: "kolkata-2", region: "kolkata" },
  { service: "timetable", dataCenter: "siliguri-1", region: "siliguri" },
  { service: "booking", dataCenter: "kolkata-1", region: "kolkata" },
  { service: "media", dataCenter: "durgapur-1", region: "durgapur" },
];

/** Starts the studios' mesh. */
export function launchStudiosMesh(): Promise<Mesh> {
  return launchMesh({
    document: "examples/studios.yaml",
    targets: studiosMeshTargets,
  });
}

/** A load of keyed views and bookings that enters through these agents. */
export function keyedRequestLoad(
  agents: readonly MeshAgent[],
  options: { readonly seconds: number },
): Load {
  return {
    addresses: agents.map((agent) => agent.callerAddress),
    kinds: [
      {
        rank: "view",
        requestsPerSecond: 100,
        deadlineMilliseconds: 500,
        method: "GET",
        path: "/timetable/:key",
        value: 1,
      },
      {
        rank: "booking",
        requestsPerSecond: 50,
        deadlineMilliseconds: 800,
        method: "POST",
        path: "/timetable/:key",
        value: 5,
      },
    ],
    seconds: options.seconds,
    seed: 11,
    keys: 300,
    attempts: 1,
  };
}

/** The agent that reports itself as grantor. */
export async function findGrantor(mesh: Mesh): Promise<MeshAgent> {
  const states = await Promise.all(mesh.agents.map(stateOf));
  const index = states.findIndex((state) => state.grants !== "");
  const found = mesh.agents[index];
  assert.ok(found !== undefined, "no agent grants");
  return found;
}

/** Runs a load and calls `act` a given time after its start. */
export async function runUnderLoad(
  mesh: Mesh,
  options: {
    readonly load: Load;
    readonly afterMilliseconds: number;
    readonly act: () => Promise<void> | void;
  },
): Promise<{
  readonly report: LoadReport;
  readonly actedAt: number;
  readonly runs: readonly Run[];
}> {
  const loading = runLoad(options.load);
  await sleep(options.afterMilliseconds);
  const actedAt = Date.now();
  await options.act();
  const report = await loading;
  printFailures(report, { actedAt, log: mesh.log() });
  await sleep(1_500);
  return { report, actedAt, runs: await mesh.runs() };
}

/** Waits on the real clock. */
export function sleep(milliseconds: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, milliseconds));
}

/** Counts of violated guarantees; each must be 0 whatever fails. */
export interface Verdicts {
  /** Pairs of runs of one key at two targets at the same time. */
  readonly doubleOwnership: number;
  /** Bookings that took effect more than once. */
  readonly doubledBookings: number;
  /** Requests reported as not run that took effect. */
  readonly falseNotRun: number;
  /** Requests reported as answered that took no effect. */
  readonly falseAnswers: number;
  /** Answers that were truncated, mixed up or not received. */
  readonly brokenAnswers: number;
}

/** Compares the outcomes at the callers with the runs at the targets. */
export function evaluateSession(
  report: LoadReport,
  runs: readonly Run[],
): Verdicts {
  const effects = new Map<string, number>();
  for (const run of runs) {
    if (!run.effect) continue;
    effects.set(run.request, (effects.get(run.request) ?? 0) + 1);
  }
  const count = (holds: (result: LoadResult) => boolean) =>
    report.results.filter(holds).length;
  const done = (result: LoadResult) => effects.get(result.id) ?? 0;
  return {
    doubleOwnership: countOverlaps(runs),
    doubledBookings: count((result) =>
      result.method === "POST" && done(result) > 1
    ),
    falseNotRun: count((result) =>
      result.outcome === "not-run" && done(result) > 0
    ),
    falseAnswers: count((result) =>
      result.outcome === "answered" && done(result) === 0
    ),
    brokenAnswers: count((result) => result.outcome === "broken"),
  };
}

function countOverlaps(runs: readonly Run[]): number {
  const byKey = new Map<string, Run[]>();
  for (const run of runs) {
    const list = byKey.get(run.key) ?? [];
    list.push(run);
    byKey.set(run.key, list);
  }
  let overlaps = 0;
  for (const list of byKey.values()) {
    list.sort((left, right) => left.beganAt - right.beganAt);
    let latest: Run | null = null;
    for (const run of list) {
      const endsAt = latest?.endedAt ?? -Infinity;
      if (
        latest !== null && latest.target !== run.target && endsAt > run.beganAt
      ) {
        overlaps += 1;
      }
      if ((run.endedAt ?? Infinity) > endsAt) latest = run;
    }
  }
  return overlaps;
}

/** Time from the fault to the last failed request, in ms; 0 if none. */
export function lastFailureMilliseconds(
  report: LoadReport,
  actedAt: number,
): number {
  const failed = report.results.filter((result) =>
    result.outcome !== "answered" && result.sentAt >= actedAt
  );
  return Math.max(0, ...failed.map((result) => result.sentAt - actedAt));
}

/** Number of requests whose outcome is not `answered`. */
export function countFailedRequests(report: LoadReport): number {
  return failedResults(report).length;
}

function failedResults({ results }: LoadReport): readonly LoadResult[] {
  return results.filter(({ outcome }) => outcome !== "answered");
}

/** Maximum number of failures that are printed individually. */
const maxPrintedFailures = 12;

/** Matches log lines that may printFailures why requests failed. */
const diagnosticLine =
  /event-loop-stalled|event=(target-phase|lease-ended|holder-lapsed|agent-lost)/;

/** Prints diagnostics of failed requests to standard error. */
function printFailures(
  report: LoadReport,
  context: { readonly actedAt: number; readonly log: readonly string[] },
): void {
  const { actedAt, log } = context;
  const failed = failedResults(report);
  if (failed.length === 0) return;
  const reasons = failed.slice(0, maxPrintedFailures).map(
    ({ outcome, reason, sentAt }) =>
      `${outcome} ${reason} ${sentAt - actedAt} ms`,
  );
  const broken = failed.filter(({ outcome }) => outcome === "broken");
  const unconnected = broken.filter(({ connectedAfterMilliseconds }) =>
    connectedAfterMilliseconds === null
  );
  const stall = report.longestStallMilliseconds;
  console.error(
    `${failed.length} failed, sent after the fault by: ${reasons.join("; ")}`,
  );
  console.error(`the load program itself stood still for ${stall} ms at most`);
  console.error(`the fault came at ${new Date(actedAt).toISOString()}`);
  console.error(
    `${broken.length} broken, ${unconnected.length} got no connection`,
  );
  for (
    const { id, address, ...result } of broken.slice(0, maxPrintedFailures)
  ) {
    const { sentAt, connectedAfterMilliseconds } = result;
    console.error(
      `${id} to ${address} ${sentAt - actedAt} ms, ` +
        `connected after ${connectedAfterMilliseconds} ms`,
    );
    const own = new RegExp(`request=${id}\\b`);
    for (const line of log) if (own.test(line)) console.error(line);
  }
  for (const line of log) if (diagnosticLine.test(line)) console.error(line);
}

/** Compares lines with a golden file; UPDATE_GOLDEN=1 writes it instead. */
export function compareWithGolden(
  name: string,
  lines: readonly string[],
): void {
  const file = new URL(`../golden/${name}.txt`, import.meta.url);
  const text = lines.join("\n") + "\n";
  if (process.env["UPDATE_GOLDEN"] === "1" || !existsSync(file)) {
    writeFileSync(file, text);
  }
  assert.equal(text, readFileSync(file, "utf8"));
}

/** Formats verdicts as lines of a golden file. */
export function verdictLines(verdicts: Verdicts): readonly string[] {
  return Object.entries(verdicts).map(([name, value]) => `${name}: ${value}`);
}
