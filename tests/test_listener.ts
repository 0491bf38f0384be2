/**
 * An HTTP listener on the loopback address for tests.
 *
 * @module
 */
import assert from "node:assert/strict";
import {
  type Front,
  type FrontKind,
  type HandleRequest,
  openFront,
} from "../source/adapters/callers/http_front.ts";
import { startLogicalClock } from "../source/adapters/logs/logical_clock.ts";
import { startIntake } from "../source/adapters/callers/pending_input.ts";
import { startArrivals } from "../source/adapters/hops/transit.ts";
import type { Configuration } from "../source/core/document/document.ts";

/** Id of the agent that test listeners belong to. */
export const testAgentId = "host-1/a";

/** Opens a listener with this handler on a free port. */
export async function openTestListener(options: {
  readonly kind: FrontKind;
  readonly configuration: Configuration;
  readonly longestHeaderBytes: number;
  readonly handle: HandleRequest;
}): Promise<Front> {
  const opened = await openFront({
    ...options,
    agent: testAgentId,
    host: "127.0.0.1",
    port: 0,
    configuration: () => options.configuration,
    pages: new Map(),
    now: () => performance.now(),
    lateness: startArrivals(() => performance.now()),
    onArrival: () => undefined,
    intake: startIntake(),
    onAbandoned: () => undefined,
    clock: startLogicalClock(),
  });
  assert.ok(opened.isOk);
  return opened.value;
}
