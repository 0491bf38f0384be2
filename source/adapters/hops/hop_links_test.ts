import assert from "node:assert/strict";
import { createServer, type Server } from "node:http";
import { type AddressInfo, connect, type Socket } from "node:net";
import { after, afterEach, before, beforeEach, describe, it } from "node:test";
import { Result } from "true-myth";
import { WebSocket } from "ws";
import { notRun } from "../../core/request/outcome.ts";
import type { Forwarder, ProxyRequest } from "../../ports/upstream.ts";
import { textOf } from "../../../tests/test_answer.ts";
import { testDepartures } from "../../../tests/test_departures.ts";
import { type Relay, startRelay } from "../../../tests/relay.ts";
import { testAgentId } from "../../../tests/test_listener.ts";
import { testRequest } from "../../../tests/test_request.ts";
import { linkSenderOf } from "./hop_deduplication.ts";
import { serveHopLinks } from "./hop_link_server.ts";
import { createEncoder, type EncodeMessage } from "./hop_codec.ts";
import { linkPath, openHopLinks } from "./hop_links.ts";
import { startLogicalClock } from "../logs/logical_clock.ts";
import { listen } from "../../../standins/http_server.ts";
import { startPendingInputGate } from "../callers/pending_input.ts";
import { createTransitDelayMeter } from "./transit.ts";
import { acceptUpgrades } from "./upgrades.ts";

const silenceMilliseconds = 200;
const longestBodyBytes = 100;

describe("links between agents", () => {
  let server: Server;
  let relay: Relay;
  let links: Forwarder;
  let runs: string[] = [];
  let clients: (readonly (string | undefined)[])[] = [];
  let cancelled: string[] = [];
  let workMilliseconds = 0;
  let silences = 0;
  let malformed = 0;
  let largeBodies = 0;
  let processes = 0;
  const sockets = new Set<Socket>();

  async function run(request: ProxyRequest) {
    runs.push(request.id);
    clients.push([request.entry, request.account]);
    request.signal.addEventListener("abort", () => cancelled.push(request.id));
    await new Promise((resolve) => setTimeout(resolve, workMilliseconds));
    if (request.path === "/refused") {
      return Result.err(notRun("queue-full", 120));
    }
    const bytes = new TextEncoder().encode(`done ${request.id}`);
    const body = { kind: "whole", bytes } as const;
    const status = request.path === "/invalid" ? 0 : 201;
    const answer = { status, headers: { a: "b" }, body };
    return Result.ok({ ...answer, load: 3, slowness: 2.5 });
  }

  before(async () => {
    server = createServer();
    server.on("connection", (socket) => sockets.add(socket));
    const { links } = acceptUpgrades(server, {
      links: {
        path: linkPath,
        maxMessageBytes: 1_000_000,
        compressed: false,
      },
    });
    serveHopLinks(links, {
      agent: testAgentId,
      handle: (request) => run(request),
      now: () => performance.now(),
      measureTransitDelay: createTransitDelayMeter(() => performance.now()),
      onArrival: () => undefined,
      pendingInput: startPendingInputGate(),
      onAbandoned: () => undefined,
      clock: startLogicalClock(),
      onMalformed: () => malformed += 1,
    });
    await listen(server, 0);
  });
  after(() => {
    server.closeAllConnections();
    server.close();
  });

  beforeEach(async () => {
    relay = await startRelay((server.address() as AddressInfo).port);
    links = openHopLinks({
      settings: {
        maxLinksPerAgent: 2,
        requestsPerLink: 4,
        connectTimeoutMilliseconds: 300,
        silenceMilliseconds,
        longestBodyBytes,
      },
      now: () => performance.now(),
      clock: startLogicalClock(),
      // The other agent remembers the requests of each sender.
      sender: linkSenderOf(`host-${processes += 1}/a`),
      depart: testDepartures(`process-${processes}`),
      onSilence: () => silences += 1,
      largeBodyForwarder: {
        forward() {
          largeBodies += 1;
          return Promise.resolve(Result.err(notRun("queue-full")));
        },
        close: () => Promise.resolve(),
      },
    });
    workMilliseconds = 0;
    await send("warm-up");
    runs = [];
    clients = [];
    cancelled = [];
    silences = 0;
  });
  afterEach(async () => {
    await links.close();
    relay.server.close();
  });

  async function send(
    id: string,
    change: Partial<ProxyRequest> = {},
    body = "",
  ): Promise<string> {
    const request = testRequest({
      id,
      deadlineAt: performance.now() + 3_000,
      signal: AbortSignal.timeout(3_000),
      ...change,
    });
    const result = await links.forward(`127.0.0.1:${relay.port}`, request, {
      body: { kind: "kept", bytes: new TextEncoder().encode(body) },
      receiver: testAgentId,
    });
    if (result.isErr) return `${result.error.outcome} ${result.error.reason}`;
    return `${result.value.status} ${await textOf(result.value.body)}`;
  }

  describe("in normal operation", () => {
    it("return its own answer for each request", async () => {
      const ids = Array.from({ length: 20 }, (_, index) => `r-${index}`);
      const answers = await Promise.all(ids.map((id) => send(id)));
      assert.deepEqual(answers, ids.map((id) => `201 done ${id}`));
    });

    // Guards against entries that choose targets without knowing that their
    // machines are slow.
    it("return the load and the slowness that come with an answer", async () => {
      const request = testRequest({
        deadlineAt: performance.now() + 3_000,
        signal: AbortSignal.timeout(3_000),
      });
      const result = await links.forward(`127.0.0.1:${relay.port}`, request, {
        body: { kind: "kept", bytes: new Uint8Array() },
        receiver: testAgentId,
      });
      assert.ok(result.isOk);
      const { load, slowness } = result.value;
      assert.deepEqual({ load, slowness }, { load: 3, slowness: 2.5 });
    });

    // Guards against shares by the wrong client: an agent's requests over
    // links and on connections of their own count together.
    it("name the agent that sends, and the account that it states", async () => {
      await send("r-1", { account: "orders" });
      assert.deepEqual(clients, [[`host-${processes}/a`, "orders"]]);
    });

    it("return a refusal with its retry delay", async () => {
      const request = testRequest({
        path: "/refused",
        deadlineAt: performance.now() + 3_000,
        signal: AbortSignal.timeout(3_000),
      });
      const result = await links.forward(`127.0.0.1:${relay.port}`, request, {
        body: { kind: "kept", bytes: new Uint8Array() },
        receiver: testAgentId,
      });
      assert.ok(result.isErr);
      assert.deepEqual(result.error, notRun("queue-full", 120));
    });

    // Guards against a process that ends: such a status can't be written.
    it("leave open whether a request ran whose answer has no status", async () => {
      const outcome = await send("invalid", { path: "/invalid" });
      assert.equal(outcome, "unknown connection-lost");
    });

    it("notify the other agent that a caller has left", async () => {
      workMilliseconds = 150;
      const caller = new AbortController();
      const sent = send("left", { signal: caller.signal });
      setTimeout(() => caller.abort(), 50);
      assert.equal(await sent, "unknown caller-left");
      await new Promise((resolve) => setTimeout(resolve, 50));
      assert.deepEqual(cancelled, ["left"]);
    });

    // Guards against work for callers that have left: a process that had been
    // stalled started the requests that it read before it read that they were
    // cancelled.
    it("start no request that was given up before it is read", async () => {
      await new Promise((resolve) => setTimeout(resolve, 200));
      const caller = new AbortController();
      const result = send("given-up", { signal: caller.signal });
      caller.abort();
      assert.equal(await result, "unknown caller-left");
      await new Promise((resolve) => setTimeout(resolve, 100));
      assert.deepEqual(runs, []);
    });

    it("leave large bodies to the other forwarder", async () => {
      const former = largeBodies;
      await send("large", {}, "x".repeat(longestBodyBytes + 1));
      assert.equal(largeBodies, former + 1);
      assert.deepEqual(runs, []);
    });
  });

  describe("that are closed", () => {
    it("still return the outstanding answers", async () => {
      workMilliseconds = 100;
      const sent = send("last");
      await new Promise((resolve) => setTimeout(resolve, 30));
      await links.close();
      assert.equal(await sent, "201 done last");
    });
  });

  describe("one of which goes silent towards the owner", () => {
    it("is replaced, and a request that waits on it runs once", async () => {
      relay.stallConnections("requests");
      assert.equal(await send("first"), "201 done first");
      assert.deepEqual(runs, ["first"]);
      assert.equal(silences, 1);
    });
  });

  describe("one of which goes silent towards the caller", () => {
    it("is replaced while the request runs, which is answered once", async () => {
      workMilliseconds = silenceMilliseconds * 3;
      relay.stallConnections("answers");
      assert.equal(await send("second"), "201 done second");
      assert.deepEqual(runs, ["second"]);
      assert.deepEqual(cancelled, []);
    });
  });

  describe("one of which is replaced by one with a longer delay", () => {
    // Guards against a request that its own second copy cancels: the former
    // link closed before the copy arrived on the new one, so the other agent
    // cancelled the request.
    it("cancels no request that runs", async () => {
      workMilliseconds = silenceMilliseconds * 5;
      relay.delayConnections([silenceMilliseconds / 2]);
      relay.stallConnections("answers");
      assert.equal(await send("second"), "201 done second");
      assert.deepEqual([runs, cancelled], [["second"], []]);
    });
  });

  describe("one of which was replaced while a request runs", () => {
    it("still tell the other agent that the caller has left", async () => {
      workMilliseconds = silenceMilliseconds * 5;
      relay.stallConnections("answers");
      const caller = new AbortController();
      const sent = send("left", { signal: caller.signal });
      setTimeout(() => caller.abort(), silenceMilliseconds * 3);
      assert.equal(await sent, "unknown caller-left");
      await new Promise((resolve) => setTimeout(resolve, 50));
      assert.equal(silences, 1);
      assert.deepEqual(cancelled, ["left"]);
    });
  });

  describe("to an agent that answers slowly", () => {
    it("are kept, since the agent responds to pings", async () => {
      workMilliseconds = silenceMilliseconds * 3;
      assert.equal(await send("third"), "201 done third");
      assert.equal(silences, 0);
    });
  });

  describe("to an agent that does not respond", () => {
    it("fail idempotent requests, and let the others wait", async () => {
      workMilliseconds = silenceMilliseconds * 4;
      relay.stallConnections("answers");
      relay.refuseConnections();
      const startedAt = performance.now();
      const rest = send("rest", { deadlineAt: startedAt + 10_000 });
      const repeatable = await send("repeatable", { idempotent: true });
      assert.equal(repeatable, "unknown connection-lost");
      const first = await Promise.race([
        rest,
        new Promise((resolve) => setTimeout(resolve, 100, "waits")),
      ]);
      assert.equal(first, "waits");
    });
  });

  describe("whose agent closes its connections", () => {
    it("leave the outcome of sent requests unknown", async () => {
      workMilliseconds = 300;
      const sent = send("ended", { idempotent: true });
      setTimeout(() => {
        for (const socket of sockets) socket.destroy();
      }, 100);
      assert.equal(await sent, "unknown connection-lost");
    });
  });

  describe("on which requests are delayed", () => {
    async function openSocket(): Promise<WebSocket> {
      const { port } = server.address() as AddressInfo;
      const socket = new WebSocket(`ws://127.0.0.1:${port}${linkPath}`);
      await new Promise((resolve) => socket.once("open", resolve));
      return socket;
    }

    /** A request with 500 ms left that departed at this time of its sender. */
    function encodeRequest(
      encode: EncodeMessage,
      sequence: number,
      at: number,
    ): Uint8Array {
      const id = `departed-${at}`;
      const { signal } = new AbortController();
      const request = testRequest({ id, deadlineAt: 0, signal });
      const hop = { sequence, copy: 1, settledBelow: 1 };
      return encode({
        kind: "request",
        hop: { ...hop, sender: "host-3/a", receiver: testAgentId },
        clock: 1,
        request,
        departure: { process: "host-3/a", at },
        deadlineMilliseconds: 500,
        objectiveMilliseconds: null,
      });
    }

    // Guards against a request that runs after its deadline: the time that it
    // had left was counted from its arrival instead of its departure.
    it("don't start those whose deadline passed in transit", async () => {
      const socket = await openSocket();
      const encode = createEncoder();
      socket.send(encodeRequest(encode, 1, 10_000));
      socket.send(encodeRequest(encode, 2, 9_000));
      await new Promise((resolve) => setTimeout(resolve, 100));
      assert.deepEqual(runs, ["departed-10000"]);
      socket.terminate();
    });
  });

  describe("that don't follow the protocol", () => {
    it("are closed after a malformed message", async () => {
      const { port } = server.address() as AddressInfo;
      const socket = new WebSocket(`ws://127.0.0.1:${port}${linkPath}`);
      await new Promise((resolve) => socket.once("open", resolve));
      socket.send("hello");
      await new Promise((resolve) => socket.once("close", resolve));
      assert.equal(malformed, 1);
    });

    it("are refused on other paths", async () => {
      const { port } = server.address() as AddressInfo;
      const socket = connect(port, "127.0.0.1");
      socket.write(
        "GET /other HTTP/1.1\r\nhost: x\r\nconnection: upgrade\r\n" +
          "upgrade: websocket\r\n\r\n",
      );
      await new Promise((resolve) => socket.once("close", resolve));
    });
  });
});
