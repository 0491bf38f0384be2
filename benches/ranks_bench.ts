/**
 * Service by rank in floods: what each rank gets in time, and the value of
 * all, against no admission and plain first-in-first-out in the same run.
 *
 * @module
 */
import type { Configuration } from "../source/core/document/document.ts";
import {
  type AdmissionTask,
  startAdmission,
} from "../source/tasks/admission_task.ts";
import {
  formatSummary,
  type LoadKind,
  type LoadReport,
  runLoad,
} from "../standins/load.ts";
import { admitAll, firstInFirstOut } from "./baselines.ts";
import { checkBounds, round, show } from "./bench.ts";
import { startSingleAgent } from "./single_agent.ts";

const slots = 6;
const serviceMilliseconds = 20;
/** What the target can run in a second. */
const capacity = slots * 1_000 / serviceMilliseconds;
const queueLength = 64;
const seconds = 6;

const ranks = [
  { name: "clinic", share: 0, defaultDeadlineMilliseconds: 250 },
  { name: "order", share: 0.2, defaultDeadlineMilliseconds: 400 },
  { name: "question", share: 0.15, defaultDeadlineMilliseconds: 300 },
  { name: "report", share: 0.1, defaultDeadlineMilliseconds: 1_000 },
];

/** Far apart in worth, as the Works' ranks are. */
const values = [20, 8, 2, 1];
/** At rest the ranks take six tenths of the capacity. */
const restShares = [0.1, 0.2, 0.2, 0.1];

const configuration: Configuration = {
  revision: 1,
  ranks,
  regions: [],
  hostRoutes: [],
  limits: null,
  services: [{
    name: "stock",
    routes: ["/stock", "/stock/*"],
    keys: null,
    defaultRank: "question",
    longestDeadlineMilliseconds: 2_000,
    queueLength,
    longestBodyBytes: 1_000_000,
    coldStart: null,
  }],
};

/** For each rank how many times its usual load it sends. */
interface Flood {
  readonly name: string;
  readonly factors: readonly number[];
}

const floods: readonly Flood[] = [
  { name: "at rest", factors: [1, 1, 1, 1] },
  { name: "flood of the least urgent", factors: [1, 1, 1, 30] },
  { name: "flood of the most urgent", factors: [30, 1, 1, 1] },
  { name: "flood of both", factors: [15, 1, 1, 15] },
];

const policies: Readonly<Record<string, () => AdmissionTask>> = {
  "no admission": admitAll,
  "first in, first out": () => firstInFirstOut({ slots, queueLength }),
  "by rank": () =>
    startAdmission({
      settings: { slots, ranks, queueLength },
      tickMilliseconds: 10,
    }),
};

function kindsOf(flood: Flood): readonly LoadKind[] {
  return ranks.map((rank, index) => ({
    rank: rank.name,
    requestsPerSecond: capacity * (restShares[index] ?? 0) *
      (flood.factors[index] ?? 1),
    deadlineMilliseconds: rank.defaultDeadlineMilliseconds,
    method: "POST",
    path: "/stock",
    value: values[index] ?? 1,
  }));
}

function valuePerSecond(report: LoadReport): number {
  const sum = report.results.reduce(
    (sum, result) => sum + (result.inTime ? result.value : 0),
    0,
  );
  return sum / seconds;
}

async function measure(
  flood: Flood,
  policy: () => AdmissionTask,
): Promise<LoadReport> {
  const agent = await startSingleAgent({
    admission: policy(),
    configuration,
    behaviour: { slots, serviceMilliseconds, overload: "slow" },
  });
  const report = await runLoad({
    addresses: [agent.address],
    kinds: kindsOf(flood),
    seconds,
    seed: 21,
    keys: 1,
  });
  await agent.close();
  return report;
}

/** Measures every policy in every flood. */
export async function benchRanks(): Promise<boolean> {
  show(`capacity ${capacity} requests a second, ${seconds} s each, seed 21`);
  let kept = true;
  for (const flood of floods) {
    show(`\n${flood.name}`);
    const reports = new Map<string, LoadReport>();
    for (const [name, policy] of Object.entries(policies)) {
      const report = await measure(flood, policy);
      reports.set(name, report);
      show(`  ${name}: value ${round(valuePerSecond(report))} a second`);
      for (const summary of report.ranks) show(`    ${formatSummary(summary)}`);
    }
    kept = checkFlood(flood, reports) && kept;
  }
  return kept;
}

function checkFlood(
  flood: Flood,
  reports: ReadonlyMap<string, LoadReport>,
): boolean {
  const own = reports.get("by rank");
  const plain = reports.get("first in, first out");
  if (own === undefined || plain === undefined) return false;
  const ratio = valuePerSecond(own) / Math.max(1, valuePerSecond(plain));
  const bounds = [{
    name: "value against first in, first out",
    value: ratio,
    least: 0.97,
  }];
  const urgent = own.ranks.find((one) => one.rank === "clinic");
  if ((flood.factors[0] ?? 1) === 1 && urgent !== undefined) {
    bounds.push({
      name: "share of the most urgent in time",
      value: urgent.inTime / urgent.sent,
      least: 0.99,
    });
  }
  const total = own.ranks.reduce((sum, one) => sum + one.inTime, 0);
  for (const rank of ranks.slice(1)) {
    const summary = own.ranks.find((one) => one.rank === rank.name);
    if (summary === undefined) continue;
    // A rank that sends less than its share has all of it served.
    const promised = Math.min(summary.sent, rank.share * total);
    bounds.push({
      name: `${rank.name} in time against its share`,
      value: summary.inTime / promised,
      least: 0.9,
    });
  }
  return checkBounds(bounds);
}
