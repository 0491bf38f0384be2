/**
 * The serving half of an agent in front of one target, with the admission
 * under test put in as an argument.
 *
 * @module
 */
import {
  type HttpListener,
  openHttpListener,
} from "../source/adapters/callers/http_listener.ts";
import { startLogicalClock } from "../source/adapters/logs/logical_clock.ts";
import { startPendingInputGate } from "../source/adapters/callers/pending_input.ts";
import { openTarget } from "../source/adapters/targets/http_target.ts";
import type { Configuration } from "../source/core/document/document.ts";
import type { Metrics } from "../source/ports/metrics.ts";
import type { AdmissionTask } from "../source/tasks/admission_task.ts";
import { startServing } from "../source/tasks/serve_task.ts";
import { monotonicNow } from "../source/tasks/time.ts";
import {
  startTargetStandIn,
  type TargetBehaviour,
} from "../standins/target.ts";

/** A target behind one admission, at an address. */
export interface SingleAgent {
  readonly address: string;
  close(): Promise<void>;
}

const noMetrics: Metrics = {
  count: () => undefined,
  time: () => undefined,
};

/** Starts a target and the serving tasks in front of it. */
export async function startSingleAgent(options: {
  readonly admission: AdmissionTask;
  readonly configuration: Configuration;
  readonly behaviour: Partial<TargetBehaviour>;
}): Promise<SingleAgent> {
  const standIn = await startTargetStandIn({
    name: "target",
    port: 0,
    behaviour: options.behaviour,
  });
  const target = openTarget({
    address: standIn.address,
    settings: {
      maxConnections: 2_000,
      connectTimeoutMilliseconds: 1_000,
      idleMilliseconds: 4_000,
    },
    now: monotonicNow,
    healthTimeoutMilliseconds: 1_000,
  });
  const pendingInput = startPendingInputGate();
  const [service] = options.configuration.services;
  const serve = startServing({
    service: service?.name ?? "",
    holder: () => null,
    admission: options.admission,
    workOf: () => null,
    accepts: () => true,
    target,
    readPendingInput: pendingInput.readPending,
    events: { record: () => undefined },
    metrics: noMetrics,
  });
  const opened = await openHttpListener({
    agent: "bench",
    kind: "callers",
    host: "127.0.0.1",
    port: 0,
    configuration: () => options.configuration,
    handle: serve.serve,
    pages: new Map(),
    now: monotonicNow,
    measureTransitDelay: () => 0,
    onArrival: () => undefined,
    pendingInput,
    onAbandoned: () => undefined,
    clock: startLogicalClock(),
    maxHeaderBytes: 16_384,
  });
  const front = opened.unwrapOrElse((fault): HttpListener => {
    throw new Error(fault);
  });
  return {
    address: `127.0.0.1:${front.port}`,
    async close() {
      front.close();
      options.admission.stop();
      await target.close();
      await standIn.close();
    },
  };
}
