/**
 * A stub of another agent to which requests are forwarded over HTTP, for tests
 * of forwarding.
 *
 * @module
 */
import { createServer, type RequestListener } from "node:http";
import { startLogicalClock } from "../source/adapters/logs/logical_clock.ts";
import type { ConnectionSettings } from "../source/adapters/targets/connection_pool.ts";
import { openForwarder } from "../source/adapters/hops/forwarder.ts";
import type { ProxyAnswer, ProxyRequest } from "../source/ports/upstream.ts";
import type { Failure } from "../source/core/request/outcome.ts";
import type { Result } from "true-myth";
import { closeServer, listen } from "../standins/http_server.ts";
import { testDepartures } from "./test_departures.ts";

/** The other agent, with a forwarder to it. */
export interface TestOtherAgent {
  /** Forwards a request without a body to it. */
  send(request: ProxyRequest): Promise<Result<ProxyAnswer, Failure>>;
  close(): Promise<void>;
}

/** Starts an agent that answers with this listener, and a forwarder to it. */
export async function startOtherAgent(options: {
  readonly answer: RequestListener;
  readonly settings: ConnectionSettings;
  readonly now: () => number;
}): Promise<TestOtherAgent> {
  const server = createServer(options.answer);
  const address = `127.0.0.1:${await listen(server, 0)}`;
  const forwarder = openForwarder({
    settings: options.settings,
    now: options.now,
    clock: startLogicalClock(),
    sender: "host-2/a",
    depart: testDepartures("host-2/a"),
    onSilence: () => undefined,
  });
  return {
    send: (request) =>
      forwarder.forward(address, request, {
        body: { kind: "kept", bytes: new Uint8Array() },
        receiver: "host-1/a",
      }),
    async close() {
      await closeServer(server);
      await forwarder.close();
    },
  };
}
