/**
 * What every part of an agent reports to or calls through, whatever platform
 * the agent runs on.
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

/** Clocks, measurements, events, and the way to other agents. */
export interface CommonParts {
  readonly clock: LogicalClock;
  readonly metrics: MetricsRegistry;
  readonly events: TimelineBuffer;
  readonly peers: Peers;
  readonly forwarder: Forwarder;
  /** Where this process's work waits until it may begin. */
  readonly intake: PendingInputGate;
  /** When what this process sends departs. */
  readonly depart: StampDeparture;
  /** How late what others send arrives here. */
  readonly lateness: MeasureTransitDelay;
}

/** Tells what was decided on requests of which nothing was heard. */
export function tellSilence(events: Events) {
  return (address: Address, note: SilenceReport) =>
    events.record("connection-silent", { address, ...note });
}

/** What is held up for less on its way is not worth a line. */
const heldUpMilliseconds = 100;

/** Tells of requests from other agents that come late, or more than once. */
export function tellArrivals(events: Events) {
  return ({ lateMilliseconds, expired, ...copy }: ArrivalReport) => {
    if (copy.fate !== "begins" || copy.copy > 1) {
      events.record("copy-received", copy);
    }
    if (!expired && lateMilliseconds < heldUpMilliseconds) return;
    const { request, from } = copy;
    const milliseconds = Math.round(lateMilliseconds);
    events.record("request-held-up", { request, from, milliseconds, expired });
  };
}

/** Tells of requests that were not begun, since their callers had left. */
export function tellAbandoned(events: Events) {
  return (note: AbandonedRequest) =>
    events.record("request-abandoned", { ...note });
}

/** Opens the parts of the agent with this id. */
export function openCommonParts(options: {
  readonly id: string;
  readonly logLevel: LogLevel;
  readonly writeLog: (line: string) => void;
  readonly connections: ConnectionSettings;
}): CommonParts {
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
  const depart = createDepartureStamper({
    process: options.id,
    clocks: readClocks,
  });
  const lateness = createTransitDelayMeter(monotonicNow);
  const forwarder = openForwarder({
    settings: options.connections,
    now: monotonicNow,
    clock,
    sender: options.id,
    depart,
    onSilence: tellSilence(events),
  });
  const intake = startPendingInputGate();
  return {
    clock,
    metrics,
    events,
    peers,
    forwarder,
    intake,
    depart,
    lateness,
  };
}
