/**
 * An HTTP listener on the loopback address for tests.
 *
 * @module
 */
import assert from "node:assert/strict";
import {
  type HandleRequest,
  type HttpListener,
  type ListenerKind,
  openHttpListener,
} from "../source/adapters/callers/http_listener.ts";
import type { CallerBounds } from "../source/adapters/callers/caller_load.ts";
import { startLogicalClock } from "../source/adapters/logs/logical_clock.ts";
import { startMetrics } from "../source/adapters/logs/metrics.ts";
import { startPendingInputGate } from "../source/adapters/callers/pending_input.ts";
import { createTransitDelayMeter } from "../source/adapters/hops/transit.ts";
import type { Configuration } from "../source/core/document/document.ts";

/** Id of the agent that test listeners belong to. */
export const testAgentId = "host-1/a";

/** Opens a listener with this handler on a free port. */
export async function openTestListener(options: {
  readonly kind: ListenerKind;
  readonly configuration: Configuration;
  readonly maxHeaderBytes: number;
  readonly handle: HandleRequest;
  /** Bounds for callers; none when left out. */
  readonly callerBounds?: CallerBounds;
}): Promise<HttpListener> {
  const opened = await openHttpListener({
    ...options,
    agent: testAgentId,
    host: "127.0.0.1",
    port: 0,
    configuration: () => options.configuration,
    pages: new Map(),
    now: () => performance.now(),
    measureTransitDelay: createTransitDelayMeter(() => performance.now()),
    onArrival: () => undefined,
    pendingInput: startPendingInputGate(),
    onAbandoned: () => undefined,
    clock: startLogicalClock(),
    ...(options.callerBounds === undefined ? {} : {
      callerLoad: {
        bounds: options.callerBounds,
        events: { record: () => undefined },
        metrics: startMetrics(),
        countPassedBytes: () => undefined,
      },
    }),
  });
  assert.ok(opened.isOk);
  return opened.value;
}
