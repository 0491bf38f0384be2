import assert from "node:assert/strict";
import { createServer } from "node:http";
import { type AddressInfo, connect } from "node:net";
import { after, before, describe, it } from "node:test";
import fc from "fast-check";
import { Result } from "true-myth";
import { WebSocket } from "ws";
import type { HttpListener } from "../source/adapters/callers/http_listener.ts";
import { openTestListener } from "./test_listener.ts";
import { startLogicalClock } from "../source/adapters/logs/logical_clock.ts";
import { connectPeers } from "../source/adapters/hops/peer_client.ts";
import { servePeers } from "../source/adapters/hops/peer_server.ts";
import { peerSchemas } from "../source/adapters/schemas.ts";
import { openStore } from "../source/adapters/store/store_client.ts";
import type { Configuration } from "../source/core/document/document.ts";
import { notRun } from "../source/core/request/outcome.ts";
import type { Metrics } from "../source/ports/metrics.ts";
import type { PeerMethods } from "../source/ports/peers.ts";
import type { ProxyRequest } from "../source/ports/upstream.ts";

const noMetrics: Metrics = { count: () => undefined, time: () => undefined };

function portOf(server: ReturnType<typeof createServer>): number {
  return (server.address() as AddressInfo).port;
}

function listenOnFreePort(
  server: ReturnType<typeof createServer>,
): Promise<void> {
  return new Promise((resolve) => {
    server.listen(0, "127.0.0.1", () => resolve());
  });
}

const configuration: Configuration = {
  revision: 1,
  ranks: [{ name: "view", share: 0, defaultDeadlineMilliseconds: 500 }],
  regions: [],
  hostRoutes: [],
  limits: null,
  services: [{
    name: "timetable",
    routes: ["/timetable/:key"],
    keys: { groups: 1, slicesPerGroup: 8 },
    defaultRank: "view",
    longestDeadlineMilliseconds: 1_000,
    queueLength: 8,
    longestBodyBytes: 1_000,
    coldStart: null,
  }],
};

/** Sends raw bytes, ends the connection and resolves with all received data. */
function exchange(port: number, text: string): Promise<string> {
  return new Promise((resolve) => {
    const socket = connect(port, "127.0.0.1", () => socket.end(text));
    let received = "";
    socket.on("data", (data) => received += String(data));
    socket.on("error", () => resolve(received));
    socket.on("close", () => resolve(received));
  });
}

describe("random inputs from other processes", () => {
  describe("requests", () => {
    const handled: ProxyRequest[] = [];
    let front: HttpListener;

    before(async () => {
      front = await openTestListener({
        kind: "callers",
        configuration,
        maxHeaderBytes: 4_096,
        handle(request) {
          handled.push(request);
          return Promise.resolve(Result.err(notRun("queue-full")));
        },
      });
    });
    after(() => front.close());

    it("are handled with a valid rank, key and deadline, or refused", async () => {
      const value = fc.string({ maxLength: 60 }).map((text) =>
        text.replaceAll(/[\r\n]/g, " ")
      );
      const request = fc.record({
        method: fc.constantFrom("GET", "POST", "PUT", "BREW", ""),
        path: fc.oneof(value, value.map((key) => `/timetable/${key}`)),
        fields: fc.array(
          fc.tuple(
            fc.constantFrom(
              "geraniumledge-key",
              "geraniumledge-rank",
              "geraniumledge-deadline-milliseconds",
              "geraniumledge-idempotent",
              "x-request-id",
              "content-length",
              "transfer-encoding",
              "connection",
            ),
            value,
          ),
          { maxLength: 5 },
        ),
        body: fc.string({ maxLength: 200 }),
      }).map(({ method, path, fields, body }) => {
        const head = fields.map(([name, value]) => `${name}: ${value}\r\n`);
        return `${method} ${path} HTTP/1.1\r\nhost: a\r\n${
          head.join("")
        }connection: close\r\n\r\n${body}`;
      });
      await fc.assert(
        fc.asyncProperty(fc.oneof(fc.string(), request), async (text) => {
          const answer = await exchange(front.port, text);
          if (answer.startsWith("HTTP/1.1 ")) {
            assert.match(answer, /geraniumledge-outcome: not-run/);
          }
        }),
        { numRuns: 400, seed: 53 },
      );
      for (const request of handled) {
        assert.equal(request.rank, 0);
        assert.ok(request.key !== null && request.key !== "");
        const left = request.deadlineAt - performance.now();
        assert.ok(left <= 1_000, `${left}`);
      }
    });
  });

  describe("messages from peers", () => {
    const server = createServer();
    const served: unknown[] = [];
    const record = (message: unknown) => {
      served.push(message);
      return Promise.resolve(null);
    };
    const methods = Object.fromEntries(
      Object.keys(peerSchemas).map((name) => [name, record]),
    ) as unknown as PeerMethods;
    let serving: ReturnType<typeof servePeers>;

    before(async () => {
      await listenOnFreePort(server);
      serving = servePeers({ server, methods, clock: startLogicalClock() });
    });
    after(() => {
      serving.close();
      server.close();
      server.closeAllConnections();
    });

    it("reach the methods only if they fit a schema", async () => {
      const socket = new WebSocket(`ws://127.0.0.1:${portOf(server)}`);
      await new Promise((resolve) => socket.once("open", resolve));
      const call = fc.record({
        id: fc.integer(),
        method: fc.constantFrom("mutation", "query", "subscription"),
        params: fc.record({
          path: fc.constantFrom(...Object.keys(peerSchemas)),
          input: fc.oneof(
            fc.jsonValue(),
            fc.record({ clock: fc.jsonValue(), message: fc.jsonValue() }),
          ),
        }),
      });
      await fc.assert(
        fc.asyncProperty(fc.oneof(fc.string(), call), async (message) => {
          const text = typeof message === "string"
            ? message
            : JSON.stringify(message);
          socket.send(text);
          await new Promise((resolve) => setTimeout(resolve, 1));
          assert.equal(socket.readyState, WebSocket.OPEN);
        }),
        { numRuns: 300, seed: 51 },
      );
      for (const message of served) {
        const fits = Object.values(peerSchemas).some((schema) =>
          schema.message.safeParse(message).success
        );
        assert.ok(fits, JSON.stringify(message));
      }
      socket.close();
    });

    it("that fit no schema are rejected", async () => {
      const peers = connectPeers({
        clock: startLogicalClock(),
        metrics: noMetrics,
      });
      const result = await peers.call(`127.0.0.1:${portOf(server)}`, "census", {
        message: { addresses: null },
        timeoutMilliseconds: 1_000,
      });
      assert.ok(result.isErr);
      assert.equal(result.error.kind, "rejected");
      await peers.close();
    });
  });

  describe("replies from the store", () => {
    let reply = "";
    let status = 200;
    const server = createServer((_message, response) => {
      response.writeHead(status, { "content-type": "application/json" });
      response.end(reply);
    });

    before(() => listenOnFreePort(server));
    after(() => {
      server.close();
      server.closeAllConnections();
    });

    it("are read as values or faults, whatever they contain", async () => {
      const store = openStore({
        origin: `http://127.0.0.1:${portOf(server)}`,
        timeoutMilliseconds: 1_000,
        metrics: noMetrics,
      });
      const object = fc.record({
        metadata: fc.record({
          name: fc.string(),
          resourceVersion: fc.oneof(fc.string(), fc.integer()),
        }),
        spec: fc.jsonValue(),
      }).map((value) => JSON.stringify(value));
      await fc.assert(
        fc.asyncProperty(
          fc.oneof(fc.string(), object),
          fc.constantFrom(200, 201, 404, 409, 429, 500, 503),
          async (text, code) => {
            reply = text;
            status = code;
            const read = await store.delegations.read("timetable.0");
            if (read.isOk) assert.equal(code, 404);
          },
        ),
        { numRuns: 200, seed: 52 },
      );
      await store.close();
    });
  });
});
