/**
 * The adapters that every agent has, whatever platform it runs on: clock,
 * metrics, events, and the calls and requests to other agents.
 *
 * @module
 */
import { type LogLevel, openLog } from "../adapters/logs/log.ts";
import {
  type LogicalClock,
  startLogicalClock,
} from "../adapters/logs/logical_clock.ts";
import {
  type MetricsRegistry,
  startMetrics,
} from "../adapters/logs/metrics.ts";
import { connectPeers } from "../adapters/hops/peer_client.ts";
import {
  startTimeline,
  type TimelineBuffer,
} from "../adapters/logs/timeline_buffer.ts";
import {
  type PendingInputGate,
  startPendingInputGate,
} from "../adapters/callers/pending_input.ts";
import { watchStalls } from "../adapters/logs/stall_watch.ts";
import type { ConnectionSettings } from "../adapters/targets/connection_pool.ts";
import { openForwarder } from "../adapters/hops/forwarder.ts";
import type { AbandonedRequest } from "../adapters/hops/request_start.ts";
import type { Address } from "../core/agent.ts";
import type { SilenceReport } from "../core/request/silence.ts";
import type { Events } from "../ports/events.ts";
import type { Peers } from "../ports/peers.ts";
import type { Forwarder } from "../ports/upstream.ts";
import {
  type ArrivalReport,
  createDepartureStamper,
  createTransitDelayMeter,
  type MeasureTransitDelay,
  type StampDeparture,
} from "../adapters/hops/transit.ts";
import { monotonicNow, readClocks } from "../tasks/time.ts";

/** The adapters that every agent has. */
export interface CommonAdapters {
  readonly clock: LogicalClock;
  readonly metrics: MetricsRegistry;
  readonly events: TimelineBuffer;
  readonly peers: Peers;
  readonly forwarder: Forwarder;
  /** Delays work until input that has already arrived has been read. */
  readonly pendingInput: PendingInputGate;
  /** Stamps the time of departure on requests that this process sends. */
  readonly stampDeparture: StampDeparture;
  /** Measures the transit delay of requests that other agents send. */
  readonly measureTransitDelay: MeasureTransitDelay;
}

/**
 * Returns a listener that records the decision on a forwarded request for which
 * nothing has been received.
 */
export function reportSilence(events: Events) {
  return (address: Address, report: SilenceReport) =>
    events.record("connection-silent", { address, ...report });
}

/** Shorter transit delays are not recorded. */
const minReportedDelayMilliseconds = 100;

/**
 * Returns a listener that records requests from other agents that were delayed
 * in transit, were received more than once, or were not started.
 */
export function reportArrivals(events: Events) {
  return ({ lateMilliseconds, expired, ...copy }: ArrivalReport) => {
    if (copy.fate !== "begins" || copy.copy > 1) {
      events.record("copy-received", copy);
    }
    if (!expired && lateMilliseconds < minReportedDelayMilliseconds) return;
    const { request, from } = copy;
    const milliseconds = Math.round(lateMilliseconds);
    events.record("request-held-up", { request, from, milliseconds, expired });
  };
}

/**
 * Returns a listener that records requests that were not started because their
 * callers had disconnected.
 */
export function reportAbandoned(events: Events) {
  return (request: AbandonedRequest) =>
    events.record("request-abandoned", { ...request });
}

/** Opens the adapters of the agent with this id. */
export function openCommonAdapters(options: {
  readonly id: string;
  readonly logLevel: LogLevel;
  readonly writeLog: (line: string) => void;
  readonly connections: ConnectionSettings;
}): CommonAdapters {
  const clock = startLogicalClock();
  const metrics = startMetrics();
  const log = openLog({
    agent: options.id,
    level: options.logLevel,
    now: monotonicNow,
    write: options.writeLog,
  });
  const events = startTimeline({ agent: options.id, clock, log });
  watchStalls(events);
  const peers = connectPeers({ clock, metrics });
  const stampDeparture = createDepartureStamper({
    process: options.id,
    clocks: readClocks,
  });
  const measureTransitDelay = createTransitDelayMeter(monotonicNow);
  const forwarder = openForwarder({
    settings: options.connections,
    now: monotonicNow,
    clock,
    sender: options.id,
    depart: stampDeparture,
    onSilence: reportSilence(events),
  });
  const pendingInput = startPendingInputGate();
  return {
    clock,
    metrics,
    events,
    peers,
    forwarder,
    pendingInput,
    stampDeparture,
    measureTransitDelay,
  };
}
