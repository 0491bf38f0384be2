/**
 * An open-loop load program: requests arrive at times of their own, whether
 * or not earlier ones were answered, with a seeded mix of ranks and keys.
 *
 * @module
 */
import { monitorEventLoopDelay } from "node:perf_hooks";
import { build, type Histogram } from "hdr-histogram-js";
import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { Pool } from "undici";
import { interceptStart } from "../source/adapters/targets/exchange.ts";

/** One kind of request in a mix. */
export interface LoadKind {
  readonly rank: string;
  readonly requestsPerSecond: number;
  readonly deadlineMilliseconds: number;
  readonly method: "GET" | "POST";
  /** The path; `:key` is replaced by a key. */
  readonly path: string;
  readonly serviceMilliseconds?: number;
  /** What one request answered in time is worth. */
  readonly value: number;
}

/** A load. */
export interface Load {
  readonly addresses: readonly string[];
  readonly kinds: readonly LoadKind[];
  readonly seconds: number;
  readonly seed: number;
  readonly keys: number;
  /** Above 0 some keys are much busier than others. */
  readonly skew?: number;
  readonly connections?: number;
  /** Most attempts in all; a caller repeats only what was not run. */
  readonly attempts?: number;
  /** Fields sent besides, for baselines that need them. */
  readonly headers?: Readonly<Record<string, string>>;
}

/** What came of one request. */
export interface LoadResult {
  readonly id: string;
  readonly rank: string;
  readonly method: string;
  readonly sentAt: number;
  readonly milliseconds: number;
  readonly outcome: "answered" | "not-run" | "unknown" | "broken";
  readonly reason: string;
  readonly inTime: boolean;
  readonly value: number;
  /** Where the last attempt went. */
  readonly address: string;
  /** How long that waited for a connection; null when it got none. */
  readonly connectedAfterMilliseconds: number | null;
}

/** A load's results, and the summary of each rank. */
export interface LoadReport {
  readonly results: readonly LoadResult[];
  readonly ranks: readonly RankSummary[];
  /** The longest time in which this program itself did not get to run. */
  readonly longestStallMilliseconds: number;
}

/** One rank's part of a report. */
export interface RankSummary {
  readonly rank: string;
  readonly sent: number;
  readonly inTime: number;
  readonly notRun: number;
  readonly unknown: number;
  readonly broken: number;
  readonly p50Milliseconds: number;
  readonly p99Milliseconds: number;
}

const nanosecondsPerMillisecond = 1_000_000;

/** Sends a load and waits for every answer. */
export async function runLoad(load: Load): Promise<LoadReport> {
  const pools = load.addresses.map((address) => ({
    address,
    pool: new Pool(`http://${address}`, {
      connections: load.connections ?? 1_024,
      keepAliveTimeout: 4_000,
    }),
  }));
  const results: Promise<LoadResult>[] = [];
  const startedAt = performance.now();
  const stalls = monitorEventLoopDelay({ resolution: 10 });
  stalls.enable();
  // Each kind has numbers of its own, so that two runs send the same.
  await Promise.all(load.kinds.map((kind, index) => {
    const random = seededRandom(load.seed + index);
    return sendKind(kind, { load, pools, random, results, startedAt, index });
  }));
  const settled = await Promise.all(results);
  await Promise.all(pools.map(({ pool }) => pool.destroy()));
  stalls.disable();
  return {
    results: settled,
    ranks: summarise(settled),
    longestStallMilliseconds: Math.round(
      stalls.max / nanosecondsPerMillisecond,
    ),
  };
}

/** A seeded source of numbers from 0 up to but not including 1. */
export function seededRandom(seed: number): () => number {
  const generator = xoroshiro128plus(seed);
  return () => uniformFloat64(generator);
}

interface AddressPool {
  readonly address: string;
  readonly pool: Pool;
}

/** What is told of one attempt. */
type AttemptResult = Pick<
  LoadResult,
  "outcome" | "reason" | "address" | "connectedAfterMilliseconds"
>;

interface Sending {
  readonly load: Load;
  readonly pools: readonly AddressPool[];
  readonly random: () => number;
  readonly results: Promise<LoadResult>[];
  readonly startedAt: number;
  readonly index: number;
}

/** Arrivals of one kind: exponential gaps, kept to the clock. */
async function sendKind(kind: LoadKind, sending: Sending): Promise<void> {
  const { load, random, results, startedAt } = sending;
  const end = startedAt + load.seconds * 1_000;
  let next = startedAt;
  for (;;) {
    next += -Math.log(1 - random()) * 1_000 / kind.requestsPerSecond;
    if (next >= end) return;
    const wait = next - performance.now();
    if (wait > 0) await new Promise((resolve) => setTimeout(resolve, wait));
    results.push(sendOne(kind, { sending, dueAt: next }));
  }
}

async function sendOne(
  kind: LoadKind,
  options: { readonly sending: Sending; readonly dueAt: number },
): Promise<LoadResult> {
  const { sending, dueAt } = options;
  const { load, pools, random } = sending;
  const id = `${load.seed}-${sending.index}-${sending.results.length}`;
  const key = `key-${chooseKey(load, random)}`;
  const path = kind.path.replace(":key", key);
  const sentAt = Date.now();
  let last: AttemptResult = {
    outcome: "broken",
    reason: "",
    address: "",
    connectedAfterMilliseconds: null,
  };
  for (let attempt = 1; attempt <= (load.attempts ?? 1); attempt += 1) {
    const pool = pools[Math.floor(random() * pools.length)];
    if (pool === undefined) break;
    last = await attemptOnce(kind, { pool, path, id, load });
    if (last.outcome !== "not-run") break;
  }
  // The runtime may fire a timer up to a millisecond early.
  const milliseconds = Math.max(0, performance.now() - dueAt);
  const inTime = last.outcome === "answered" &&
    milliseconds <= kind.deadlineMilliseconds;
  const { rank, method, value } = kind;
  return { id, rank, method, sentAt, milliseconds, ...last, inTime, value };
}

/** Keys by a power law: the lower the number, the busier. */
function chooseKey(load: Load, random: () => number): number {
  const skew = load.skew ?? 0;
  return Math.floor(load.keys * random() ** (1 + skew));
}

async function attemptOnce(
  kind: LoadKind,
  options: {
    readonly pool: AddressPool;
    readonly path: string;
    readonly id: string;
    readonly load: Load;
  },
): Promise<AttemptResult> {
  const { address, pool } = options.pool;
  const askedAt = performance.now();
  let connectedAfterMilliseconds: number | null = null;
  const ended = (came: Pick<AttemptResult, "outcome" | "reason">) => ({
    ...came,
    address,
    connectedAfterMilliseconds,
  });
  const noted = pool.compose(interceptStart(() => {
    connectedAfterMilliseconds = Math.round(performance.now() - askedAt);
  }));
  try {
    const response = await noted.request({
      method: kind.method,
      path: options.path,
      headers: {
        "x-request-id": options.id,
        "geraniumledge-rank": kind.rank,
        "geraniumledge-deadline-milliseconds": String(
          kind.deadlineMilliseconds,
        ),
        ...(kind.serviceMilliseconds === undefined ? {} : {
          "x-standin-service-milliseconds": String(kind.serviceMilliseconds),
        }),
        ...options.load.headers,
      },
      body: kind.method === "POST" ? "{}" : null,
      signal: AbortSignal.timeout(kind.deadlineMilliseconds + 1_000),
    });
    const text = await response.body.text();
    return ended(readOutcome(response.headers, { text, id: options.id }));
  } catch (error) {
    const code = error instanceof Error && "code" in error
      ? String(error.code)
      : String(error);
    const refused = code === "ECONNREFUSED";
    return ended({ outcome: refused ? "not-run" : "broken", reason: code });
  }
}

function readOutcome(
  headers: Readonly<Record<string, string | string[] | undefined>>,
  answer: { readonly text: string; readonly id: string },
): Pick<LoadResult, "outcome" | "reason"> {
  const outcome = headers["geraniumledge-outcome"];
  const reason = String(headers["geraniumledge-reason"] ?? "");
  if (outcome === "not-run" || outcome === "unknown") {
    return { outcome, reason };
  }
  const own = answer.text.includes(`"request":"${answer.id}"`);
  return own
    ? { outcome: "answered", reason: "" }
    : { outcome: "broken", reason: "another request's answer" };
}

function summarise(results: readonly LoadResult[]): readonly RankSummary[] {
  const ranks = [...new Set(results.map((result) => result.rank))];
  return ranks.map((rank) => {
    const own = results.filter((result) => result.rank === rank);
    const times = histogramOf(own.filter((result) => result.inTime));
    const count = (outcome: LoadResult["outcome"]) =>
      own.filter((result) => result.outcome === outcome).length;
    return {
      rank,
      sent: own.length,
      inTime: own.filter((result) => result.inTime).length,
      notRun: count("not-run"),
      unknown: count("unknown"),
      broken: count("broken"),
      p50Milliseconds: times.getValueAtPercentile(50) / 1_000,
      p99Milliseconds: times.getValueAtPercentile(99) / 1_000,
    };
  });
}

function histogramOf(results: readonly LoadResult[]): Histogram {
  const histogram = build({ numberOfSignificantValueDigits: 3 });
  for (const result of results) {
    histogram.recordValue(Math.round(result.milliseconds * 1_000));
  }
  return histogram;
}

/** A rank's summary on one line. */
export function formatSummary(summary: RankSummary): string {
  const { rank, sent, inTime, notRun, unknown, broken } = summary;
  const share = (100 * inTime / Math.max(1, sent)).toFixed(1);
  return `${rank.padEnd(10)} sent ${sent}, in time ${inTime} (${share} %), ` +
    `not run ${notRun}, unknown ${unknown}, broken ${broken}, ` +
    `p50 ${summary.p50Milliseconds.toFixed(1)} ms, ` +
    `p99 ${summary.p99Milliseconds.toFixed(1)} ms`;
}
