import assert from "node:assert/strict";
import { Readable } from "node:stream";
import { after, before, beforeEach, describe, it } from "node:test";
import { Result } from "true-myth";
import { testConfiguration } from "../../../tests/test_configuration.ts";
import type { Forwarder, ProxyRequest } from "../../ports/upstream.ts";
import type { HttpListener } from "../callers/http_listener.ts";
import { textOf } from "../../../tests/test_answer.ts";
import { testDepartures } from "../../../tests/test_departures.ts";
import { type Relay, startRelay } from "../../../tests/relay.ts";
import { openTestListener, testAgentId } from "../../../tests/test_listener.ts";
import { startLogicalClock } from "../logs/logical_clock.ts";
import { openForwarder } from "./forwarder.ts";

const configuration = testConfiguration({
  service: "booking",
  defaultDeadlineMilliseconds: 2_000,
  longestDeadlineMilliseconds: 5_000,
});

describe("a connection between agents that goes silent", () => {
  let front: HttpListener;
  let relay: Relay;
  let forwarder: Forwarder;
  let runs: string[] = [];
  let cancelled: string[] = [];
  let workMilliseconds = 0;
  let silences = 0;

  before(async () => {
    front = await openTestListener({
      kind: "agents",
      configuration,
      maxHeaderBytes: 16_384,
      async handle(request) {
        runs.push(request.id);
        request.signal.addEventListener(
          "abort",
          () => cancelled.push(request.id),
        );
        await new Promise((resolve) => setTimeout(resolve, workMilliseconds));
        return Result.ok({
          status: 200,
          headers: {},
          body: {
            kind: "stream",
            stream: Readable.from([`done ${request.id}`]),
          },
          load: null,
        });
      },
    });
    relay = await startRelay(front.port);
    forwarder = openForwarder({
      settings: {
        maxConnections: 1,
        connectTimeoutMilliseconds: 500,
        idleMilliseconds: 4_000,
      },
      now: () => performance.now(),
      clock: startLogicalClock(),
      sender: "host-2/a",
      depart: testDepartures("host-2/a"),
      onSilence: () => silences += 1,
    });
  });

  beforeEach(async () => {
    workMilliseconds = 0;
    await send("warm-up");
    runs = [];
    cancelled = [];
    silences = 0;
  });

  after(async () => {
    relay.server.close();
    front.close();
    await Promise.race([
      forwarder.close(),
      new Promise((resolve) => setTimeout(resolve, 500)),
    ]);
  });

  async function send(id: string) {
    const request: ProxyRequest = {
      id,
      method: "POST",
      authority: "test",
      maxAttempts: null,
      objectiveAt: null,
      path: "/booking",
      headers: {},
      service: "booking",
      key: null,
      rank: 0,
      idempotent: false,
      longestBodyBytes: 1_000,
      deadlineAt: performance.now() + 3_000,
      signal: AbortSignal.timeout(3_000),
    };
    const address = `127.0.0.1:${relay.port}`;
    const result = await forwarder.forward(address, request, {
      body: { kind: "kept", bytes: new Uint8Array() },
      receiver: testAgentId,
    });
    if (result.isErr) return result.error.outcome;
    return await textOf(result.value.body);
  }

  describe("towards the owner", () => {
    it("is replaced, and a booking on it runs once", async () => {
      relay.stallConnections("requests");
      assert.equal(await send("first"), "done first");
      assert.deepEqual(runs, ["first"]);
      assert.equal(silences, 1);
    });
  });

  describe("towards the caller", () => {
    it("is replaced while the booking runs, which is answered once", async () => {
      workMilliseconds = 800;
      relay.stallConnections("answers");
      assert.equal(await send("second"), "done second");
      assert.deepEqual(runs, ["second"]);
      assert.equal(silences, 1);
    });
  });

  describe("towards the caller, though the owner sees it close", () => {
    // Guards against a request that its own second copy cancels: the other
    // agent saw the silent connection close before the copy arrived, and
    // cancelled the request.
    it("cancels nothing that runs for it", async () => {
      workMilliseconds = 800;
      relay.stallConnections("answers");
      assert.equal(await send("second"), "done second");
      assert.deepEqual([runs, cancelled], [["second"], []]);
    });
  });

  describe("only because the request takes long", () => {
    it("is kept, since the owner acknowledges the request", async () => {
      workMilliseconds = 800;
      assert.equal(await send("third"), "done third");
      assert.deepEqual(runs, ["third"]);
      assert.equal(silences, 0);
    });
  });

  describe("and can't be replaced", () => {
    it("leaves the outcome unknown, never 'not run'", async () => {
      relay.stallConnections("answers");
      workMilliseconds = 800;
      relay.refuseConnections();
      assert.equal(await send("fourth"), "unknown");
    });
  });
});
