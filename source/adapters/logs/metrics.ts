/**
 * Metrics in the Prometheus text format: counters by prom-client, durations by
 * hdr-histogram-js.
 *
 * @module
 */
import process from "node:process";
import { build, type Histogram } from "hdr-histogram-js";
import { Counter, Gauge, Registry } from "prom-client";
import type {
  CounterName,
  DurationName,
  Labels,
  Metrics,
} from "../../ports/metrics.ts";

/** Metrics that can be exposed to a scraper. */
export interface MetricsRegistry extends Metrics {
  /** Returns all metrics in the Prometheus text format. */
  expose(): Promise<string>;
}

const labelNames: Readonly<Record<CounterName, readonly string[]>> = {
  requests_entered: ["rank"],
  requests_answered: ["rank"],
  requests_not_run: ["rank", "reason"],
  requests_unknown: ["rank", "reason"],
  requests_retried: ["reason"],
  retries_borrowed: [],
  target_requests_started: ["rank"],
  target_requests_refused: ["rank", "reason"],
  cold_starts_delayed: [],
  requests_avoided_failing: [],
  slices_moved: [],
  moves_deferred: [],
  load_reports_ignored: [],
  early_returns: ["rank"],
  caller_connections_closed: ["reason"],
  caller_reads_stopped: [],
  caller_requests_refused: [],
  region_link_bytes: ["rank"],
  store_calls: ["method", "kind"],
  peer_calls: ["method"],
  peer_call_faults: ["method"],
};

const quantiles = [0.5, 0.9, 0.99, 0.999];
/** Durations are recorded in microseconds; longer ones count as a minute. */
const unitsPerMillisecond = 1_000;
const highestTrackableValue = 60_000 * unitsPerMillisecond;

/** Creates a registry with all metrics at zero. */
export function startMetrics(): MetricsRegistry {
  const registry = new Registry();
  const counters = new Map<CounterName, Counter>();
  const histograms = new Map<string, LabelledHistogram>();
  for (const [name, labels] of Object.entries(labelNames)) {
    counters.set(
      name as CounterName,
      new Counter({
        name: `geraniumledge_${name}_total`,
        help: name.replaceAll("_", " "),
        labelNames: [...labels],
        registers: [registry],
      }),
    );
  }
  const durations = new Gauge({
    name: "geraniumledge_duration_seconds",
    help: "durations by quantile",
    labelNames: ["name", "rank", "quantile"],
    registers: [registry],
    collect() {
      for (const { name, rank, histogram } of histograms.values()) {
        for (const quantile of quantiles) {
          const value = histogram.getValueAtPercentile(quantile * 100);
          this.set(
            { name, rank, quantile: String(quantile) },
            value / unitsPerMillisecond / 1_000,
          );
        }
      }
    },
  });
  void durations;
  const memory = new Gauge({
    name: "geraniumledge_resident_memory_bytes",
    help: "resident memory of the process",
    registers: [registry],
    collect() {
      this.set(process.memoryUsage.rss());
    },
  });
  void memory;
  return {
    count(name, labels = {}, amount = 1) {
      counters.get(name)?.inc({ ...labels }, amount);
    },
    time(name, milliseconds, labels = {}) {
      const entry = histogramFor(histograms, name, labels);
      const value = Math.round(milliseconds * unitsPerMillisecond);
      entry.histogram.recordValue(
        Math.min(highestTrackableValue, Math.max(0, value)),
      );
    },
    expose: () => registry.metrics(),
  };
}

interface LabelledHistogram {
  readonly name: DurationName;
  readonly rank: string;
  readonly histogram: Histogram;
}

function histogramFor(
  histograms: Map<string, LabelledHistogram>,
  name: DurationName,
  labels: Labels,
): LabelledHistogram {
  const rank = labels["rank"] ?? "";
  const id = `${name}/${rank}`;
  const existing = histograms.get(id);
  if (existing !== undefined) return existing;
  const histogram = build({
    highestTrackableValue,
    numberOfSignificantValueDigits: 2,
  });
  const created = { name, rank, histogram };
  histograms.set(id, created);
  return created;
}
