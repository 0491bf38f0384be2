import assert from "node:assert/strict";
import { createServer, type Server } from "node:http";
import type { AddressInfo } from "node:net";
import { after, before, describe, it } from "node:test";
import type { Forwarder } from "../ports/upstream.ts";
import { testRequest } from "../../tests/test_request.ts";
import { startLogicalClock } from "./logical_clock.ts";
import { openForwarder } from "./upstream.ts";

/** What the other agent sends of its answer before it stops for good. */
describe("an answer of another agent that stops halfway", () => {
  let server: Server;
  let forwarder: Forwarder;

  before(async () => {
    server = createServer((message, response) => {
      message.resume();
      response.writeHead(200, {
        "content-length": "10",
        "geraniumledge-outcome": "answered",
      });
      response.write("half");
    });
    await new Promise<void>((resolve) => {
      server.listen(0, "127.0.0.1", () => resolve());
    });
    forwarder = openForwarder({
      settings: {
        connections: 4,
        connectTimeoutMilliseconds: 300,
        idleMilliseconds: 1_000,
      },
      now: () => performance.now(),
      clock: startLogicalClock(),
      hopPrefix: "host-1/a",
      onSilence: () => undefined,
    });
  });
  after(async () => {
    server.closeAllConnections();
    server.close();
    await forwarder.close();
  });

  describe("of a size that can be kept", () => {
    it("is a failure that leaves open whether the request ran", async () => {
      const { port } = server.address() as AddressInfo;
      const request = testRequest({
        deadlineAt: performance.now() + 200,
        signal: AbortSignal.timeout(220),
      });
      const result = await forwarder.forward(`127.0.0.1:${port}`, request, {
        body: { kind: "kept", bytes: new Uint8Array() },
      });
      assert.ok(result.isErr);
      assert.equal(result.error.outcome, "unknown");
      assert.equal(result.error.reason, "deadline-passed");
    });
  });
});
