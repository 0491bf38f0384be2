import assert from "node:assert/strict";
import { createServer, type Server } from "node:http";
import type { AddressInfo } from "node:net";
import { after, before, describe, it } from "node:test";
import type { Forwarder } from "../ports/upstream.ts";
import { testRequest } from "../../tests/test_request.ts";
import { startLogicalClock } from "./logical_clock.ts";
import { openForwarder } from "./upstream.ts";

const requestCount = 40;
/** As `upstream.ts` bounds them for one second. */
const mostCopies = 4;

/** An agent that answers everything, but only after it has looked silent. */
describe("an agent that is slow for all at once", () => {
  let server: Server;
  let forwarder: Forwarder;
  let received = 0;

  before(async () => {
    server = createServer((message, response) => {
      received += 1;
      message.resume();
      setTimeout(() => {
        response.writeHead(200, { "geraniumledge-outcome": "answered" });
        response.end();
      }, 200);
    });
    await new Promise<void>((resolve) => {
      server.listen(0, "127.0.0.1", () => resolve());
    });
    forwarder = openForwarder({
      settings: {
        connections: requestCount * 2,
        connectTimeoutMilliseconds: 1_000,
        idleMilliseconds: 1_000,
        silenceMilliseconds: 50,
      },
      // A clock that stands still: all copies fall into one second.
      now: () => 0,
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

  describe("while it looks silent on every connection", () => {
    it("is sent few requests twice, and answers all others", async () => {
      const { port } = server.address() as AddressInfo;
      const results = await Promise.all(
        Array.from({ length: requestCount }, (_, index) => {
          const request = testRequest({
            id: `r-${index}`,
            idempotent: true,
            deadlineAt: 10_000,
            signal: AbortSignal.timeout(10_000),
          });
          return forwarder.forward(`127.0.0.1:${port}`, request, {
            body: { kind: "kept", bytes: new Uint8Array() },
          });
        }),
      );
      assert.ok(received <= requestCount + mostCopies, `${received}`);
      assert.ok(results.every((result) => result.isOk));
    });
  });
});
