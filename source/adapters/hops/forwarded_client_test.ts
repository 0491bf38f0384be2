import assert from "node:assert/strict";
import { after, before, describe, it } from "node:test";
import { Result } from "true-myth";
import { testConfiguration } from "../../../tests/test_configuration.ts";
import { testDepartures } from "../../../tests/test_departures.ts";
import { openTestListener, testAgentId } from "../../../tests/test_listener.ts";
import { testRequest } from "../../../tests/test_request.ts";
import { notRun } from "../../core/request/outcome.ts";
import type { Forwarder, ProxyRequest } from "../../ports/upstream.ts";
import type { HttpListener, ListenerKind } from "../callers/http_listener.ts";
import { fields } from "../headers.ts";
import { startLogicalClock } from "../logs/logical_clock.ts";
import { openForwarder } from "./forwarder.ts";

describe("the client of a request", () => {
  let received: ProxyRequest[] = [];
  let listeners: HttpListener[] = [];
  let forwarder: Forwarder;

  async function listenTo(kind: ListenerKind): Promise<number> {
    const listener = await openTestListener({
      kind,
      configuration: testConfiguration({
        service: "booking",
        defaultDeadlineMilliseconds: 2_000,
      }),
      maxHeaderBytes: 16_384,
      handle(request) {
        received.push(request);
        return Promise.resolve(Result.err(notRun("queue-full")));
      },
    });
    listeners.push(listener);
    return listener.port;
  }

  before(() => {
    forwarder = openForwarder({
      settings: {
        maxConnections: 2,
        connectTimeoutMilliseconds: 500,
        idleMilliseconds: 100,
      },
      now: () => performance.now(),
      clock: startLogicalClock(),
      sender: "host-2/a",
      depart: testDepartures("host-2/a"),
      onSilence: () => undefined,
    });
  });
  after(async () => {
    await forwarder.close();
    for (const listener of listeners) listener.close();
    listeners = [];
  });

  describe("that an agent forwards", () => {
    it("is that agent, and the account that it states", async () => {
      const port = await listenTo("agents");
      received = [];
      const request = testRequest({
        deadlineAt: performance.now() + 2_000,
        signal: AbortSignal.timeout(2_000),
        account: "line 1, orders",
      });
      await forwarder.forward(`127.0.0.1:${port}`, request, {
        body: { kind: "kept", bytes: new Uint8Array() },
        receiver: testAgentId,
      });
      const [{ entry, account } = request] = received;
      assert.deepEqual([entry, account], ["host-2/a", "line 1, orders"]);
    });
  });

  describe("that a caller sends", () => {
    // Guards against a caller that takes the share of another account.
    it("is not what the caller states itself", async () => {
      const port = await listenTo("callers");
      received = [];
      await fetch(`http://127.0.0.1:${port}/booking`, {
        headers: { [fields.account]: "another" },
      });
      assert.equal(received.length, 1);
      assert.equal(received[0]?.account, undefined);
      assert.equal(received[0]?.headers[fields.account], undefined);
    });
  });
});
