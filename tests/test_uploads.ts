/**
 * Sends uploads to another agent over a relay, for tests of forwarding over slow
 * or faulty links.
 *
 * @module
 */
import { Result } from "true-myth";
import { testConfiguration } from "./test_configuration.ts";
import type { ConnectionSettings } from "../source/adapters/targets/connection_pool.ts";
import { openForwarder } from "../source/adapters/hops/forwarder.ts";
import { startLogicalClock } from "../source/adapters/logs/logical_clock.ts";
import { type Relay, startRelay } from "./relay.ts";
import { testDepartures } from "./test_departures.ts";
import { openTestListener, testAgentId } from "./test_listener.ts";
import { testRequest } from "./test_request.ts";

/** Size of one upload in bytes. */
export const uploadBytes = 60_000;
const longestBodyBytes = 100_000;
const closeMilliseconds = 500;

/** An agent that answers every upload at once, and a sender of uploads. */
export interface TestUploads {
  readonly relay: Relay;
  /** Sends an upload; resolves with its outcome. */
  upload(id: string): Promise<string>;
  /** Ids of the requests that ran, in order. */
  runs(): readonly string[];
  /** Number of decisions on silent requests so far, other than to wait. */
  silences(): number;
  close(): Promise<void>;
}

const configuration = testConfiguration({
  service: "booking",
  defaultDeadlineMilliseconds: 2_000,
  longestDeadlineMilliseconds: 10_000,
  longestBodyBytes,
});

/** Starts the other agent, the relay and the sender. */
export async function startUploads(options: {
  readonly settings: ConnectionSettings;
  readonly deadlineMilliseconds: number;
}): Promise<TestUploads> {
  const { settings, deadlineMilliseconds } = options;
  const runs: string[] = [];
  let silences = 0;
  const front = await openTestListener({
    kind: "agents",
    configuration,
    maxHeaderBytes: 16_384,
    handle(request) {
      runs.push(request.id);
      const bytes = new TextEncoder().encode("done");
      const body = { kind: "whole", bytes } as const;
      return Promise.resolve(
        Result.ok({ status: 200, headers: {}, body, load: null }),
      );
    },
  });
  const relay = await startRelay(front.port);
  const forwarder = openForwarder({
    settings,
    now: () => performance.now(),
    clock: startLogicalClock(),
    sender: "host-2/a",
    depart: testDepartures("host-2/a"),
    onSilence: () => silences += 1,
  });
  return {
    relay,
    async upload(id) {
      const request = testRequest({
        id,
        method: "POST",
        longestBodyBytes,
        deadlineAt: performance.now() + deadlineMilliseconds,
        signal: AbortSignal.timeout(deadlineMilliseconds),
      });
      const address = `127.0.0.1:${relay.port}`;
      const result = await forwarder.forward(address, request, {
        body: { kind: "kept", bytes: new Uint8Array(uploadBytes) },
        receiver: testAgentId,
      });
      return result.isErr ? result.error.outcome : "answered";
    },
    runs: () => [...runs],
    silences: () => silences,
    async close() {
      relay.server.close();
      front.close();
      await Promise.race([
        forwarder.close(),
        new Promise((resolve) => setTimeout(resolve, closeMilliseconds)),
      ]);
    },
  };
}
