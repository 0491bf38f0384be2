/**
 * A listener on the loopback address for tests of what passes through it.
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
import { startLogicalClock } from "../source/adapters/logs/logical_clock.ts";
import { startPendingInputGate } from "../source/adapters/callers/pending_input.ts";
import { createTransitDelayMeter } from "../source/adapters/hops/transit.ts";
import type { Configuration } from "../source/core/document/document.ts";

/** The process that test listeners belong to. */
export const testAgent = "host-1/a";

/** Opens a listener with this handler on any free port. */
export async function openTestFront(options: {
  readonly kind: ListenerKind;
  readonly configuration: Configuration;
  readonly longestHeaderBytes: number;
  readonly handle: HandleRequest;
}): Promise<HttpListener> {
  const opened = await openHttpListener({
    ...options,
    agent: testAgent,
    host: "127.0.0.1",
    port: 0,
    configuration: () => options.configuration,
    pages: new Map(),
    now: () => performance.now(),
    lateness: createTransitDelayMeter(() => performance.now()),
    onArrival: () => undefined,
    intake: startPendingInputGate(),
    onAbandoned: () => undefined,
    clock: startLogicalClock(),
  });
  assert.ok(opened.isOk);
  return opened.value;
}
