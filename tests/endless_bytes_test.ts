/**
 * Tests with faulty servers that send bytes without end, which are no valid or
 * complete answer. Each reader must give up in time, buffer little, close the
 * connection and never report a success.
 */
import assert from "node:assert/strict";
import { connect } from "node:net";
import process from "node:process";
import { after, before, describe, it } from "node:test";
import { openKeyServer } from "../platform/key_server.ts";
import { listenForHeartbeats } from "../platform/listeners.ts";
import { openPlatformStore } from "../platform/store.ts";
import { openPlatformTarget } from "../platform/target.ts";
import { startMetrics } from "../source/adapters/logs/metrics.ts";
import { openStore } from "../source/adapters/store/store_client.ts";
import { openTestTarget } from "./test_target.ts";
import type { Target } from "../source/ports/upstream.ts";
import { until } from "../standins/children.ts";
import {
  endlessBodies,
  endlessHeads,
  endlessRest,
  type EndlessServer,
  startEndlessServer,
} from "../standins/endless_server.ts";
import { freePort } from "../standins/ports.ts";
import { textOf } from "./test_answer.ts";
import { testConfiguration } from "./test_configuration.ts";
import { openTestListener } from "./test_listener.ts";
import { testRequest } from "./test_request.ts";

const deadlineMilliseconds = 400;
/** Allowance for timers and for closing connections. */
const slackMilliseconds = 400;
/** A quarter of the memory of the smallest host. */
const maxBufferedBytes = 64_000_000;

const endlessAnswers = { ...endlessHeads, ...endlessBodies };

let server: EndlessServer;

/** The process's memory that would contain buffered bytes. */
function memoryBytes(): number {
  const { heapUsed, external } = process.memoryUsage();
  return heapUsed + external;
}

interface Measured<Value> {
  readonly value: Value;
  readonly milliseconds: number;
  readonly grownBytes: number;
}

/** Runs `act` and measures its duration and the growth of memory. */
async function measure<Value>(
  act: () => Promise<Value>,
): Promise<Measured<Value>> {
  const before = memoryBytes();
  let maxBytes = before;
  const timer = setInterval(
    () => maxBytes = Math.max(maxBytes, memoryBytes()),
    5,
  );
  const startedAt = performance.now();
  const value = await act();
  const milliseconds = performance.now() - startedAt;
  clearInterval(timer);
  return { value, milliseconds, grownBytes: maxBytes - before };
}

/** Checks the limits of time, memory and open connections. */
async function assertWithinLimits(
  { milliseconds, grownBytes }: Measured<unknown>,
  timeLimitMilliseconds: number,
): Promise<void> {
  const longest = timeLimitMilliseconds + slackMilliseconds;
  assert.ok(milliseconds <= longest, `ended after ${milliseconds} ms`);
  assert.ok(grownBytes <= maxBufferedBytes, `grew by ${grownBytes} bytes`);
  await assertClosed();
}

async function assertClosed(): Promise<void> {
  const closingSince = performance.now();
  await until(() => {
    const late = performance.now() - closingSince > slackMilliseconds;
    return Promise.resolve(late || server.sending() === 0);
  });
  assert.equal(server.sending(), 0, "a connection is still open");
}

function sendRequest(target: Target, signal: AbortSignal) {
  const deadlineAt = performance.now() + deadlineMilliseconds;
  return target.send({
    request: testRequest({ deadlineAt, signal }),
    body: { kind: "kept", bytes: new Uint8Array() },
    token: null,
    slice: null,
    leaseEndsAtWall: null,
  });
}

/** The outcome of a request, after its answer has been read to the end. */
async function outcomeOf(
  target: Target,
  signal = AbortSignal.timeout(deadlineMilliseconds),
): Promise<string> {
  const result = await sendRequest(target, signal);
  if (result.isErr) return result.error.outcome;
  try {
    return `${result.value.status} ${await textOf(result.value.body)}`;
  } catch {
    return "broken off";
  }
}

describe("bytes without end", () => {
  before(async () => {
    server = await startEndlessServer();
  });
  after(() => server.close());

  describe("from the platform's target", () => {
    let target: Target;

    before(() => {
      target = openPlatformTarget({
        address: server.address,
        identity: () => "i-1",
        now: () => performance.now(),
        onConnectionRefused: () => undefined,
        onInvalidAnswer: () => undefined,
      });
    });
    after(() => target.close());

    for (const [name, bytes] of Object.entries(endlessAnswers)) {
      it(`leave open whether the request ran: ${name}`, async () => {
        server.send(bytes);
        const seen = await measure(() => outcomeOf(target));
        assert.equal(seen.value, "unknown");
        await assertWithinLimits(seen, deadlineMilliseconds);
      });
    }

    it("after a complete answer affect neither it nor the next one", async () => {
      server.send(endlessRest);
      for (let count = 0; count < 3; count += 1) {
        const seen = await measure(() => outcomeOf(target));
        assert.equal(seen.value, "200 well");
        await assertWithinLimits(seen, deadlineMilliseconds);
      }
    });
  });

  describe("from a target by the product's protocol", () => {
    let target: Target;

    before(() => {
      target = openTestTarget(server.address);
    });
    after(() => target.close());

    describe("that is sent a request", () => {
      for (const [name, bytes] of Object.entries(endlessHeads)) {
        it(`leave open whether it ran: ${name}`, async () => {
          server.send(bytes);
          const seen = await measure(() => outcomeOf(target));
          assert.equal(seen.value, "unknown");
          await assertWithinLimits(seen, deadlineMilliseconds);
        });
      }

      it("after a complete answer do not affect it", async () => {
        server.send(endlessRest);
        const seen = await measure(() => outcomeOf(target));
        assert.equal(seen.value, "200 well");
        await assertWithinLimits(seen, deadlineMilliseconds);
      });

      it("after a refusal do not keep the connection open", async () => {
        // The deadline no longer applies once the request is answered.
        const unending = new AbortController();
        const refusal = "HTTP/1.1 503 Full\r\nGeraniumledge-Outcome: not-run" +
          "\r\nGeraniumledge-Refused-Request: r-1" +
          "\r\nTransfer-Encoding: chunked\r\n\r\n";
        for (
          const then of ["1\r\nx\r\n", "400\r\n" + "x".repeat(1_024) + "\r\n"]
        ) {
          const everyMilliseconds = then.length > 100 ? 0 : 50;
          server.send({ first: refusal, then, everyMilliseconds });
          const seen = await measure(() => outcomeOf(target, unending.signal));
          assert.equal(seen.value, "not-run");
          await assertWithinLimits(seen, deadlineMilliseconds);
        }
      });
    });

    describe("that is asked for its health", () => {
      for (const [name, bytes] of Object.entries(endlessAnswers)) {
        it(`are no answer: ${name}`, async () => {
          server.send(bytes);
          const seen = await measure(() => target.health());
          assert.equal(seen.value, null);
          await assertWithinLimits(seen, 250);
        });
      }
    });
  });

  describe("that a listener passes on to a caller", () => {
    const configuration = testConfiguration({
      service: "media",
      defaultDeadlineMilliseconds: deadlineMilliseconds,
    });

    /** Grace period after the deadline for an answer that has started. */
    const answerGraceMilliseconds = 250;

    for (const [name, bytes] of Object.entries(endlessBodies)) {
      it(`never look complete: ${name}`, async (context) => {
        const target = openTestTarget(server.address);
        context.after(() => target.close());
        const front = await openTestListener({
          kind: "callers",
          configuration,
          maxHeaderBytes: 4_096,
          handle: (request, { body }) =>
            target.send({
              request,
              body,
              token: null,
              slice: null,
              leaseEndsAtWall: null,
            }),
        });
        context.after(() => front.close());
        server.send(bytes);
        const seen = await measure(() => readAsCaller(front.port));
        assert.equal(seen.value, "broken off");
        await assertWithinLimits(
          seen,
          deadlineMilliseconds + answerGraceMilliseconds,
        );
      });
    }
  });

  describe("in answer to a call of the key server", () => {
    for (const [name, bytes] of Object.entries(endlessAnswers)) {
      it(`to grant are no success: ${name}`, async (context) => {
        const client = openKeyServer({
          address: server.address,
          onConnectionRefused: () => undefined,
        });
        context.after(() => client.close());
        server.send(bytes);
        const range = { first: 1, last: 1, token: { epoch: 1, sequence: 1 } };
        const seen = await measure(() =>
          client.grant(range, {
            holdMilliseconds: 1_000,
            handover: null,
            renumberings: () => 0,
          })
        );
        assert.ok(seen.value.isErr);
        assert.equal(seen.value.error.kind, "unanswered");
        await assertWithinLimits(seen, 500);
      });
    }

    it("to release are no success", async (context) => {
      const client = openKeyServer({
        address: server.address,
        onConnectionRefused: () => undefined,
      });
      context.after(() => client.close());
      server.send(endlessBodies["chunks"] ?? endlessRest);
      const range = { first: 1, last: 1, token: { epoch: 1, sequence: 1 } };
      const seen = await measure(() => client.release(range));
      assert.ok(seen.value.isErr);
      await assertWithinLimits(seen, 3_000);
    });
  });

  describe("from the platform's store", () => {
    for (const [name, bytes] of Object.entries(endlessAnswers)) {
      it(`leave the call uncertain: ${name}`, async (context) => {
        const store = openPlatformStore({
          address: server.address,
          metrics: startMetrics(),
          events: { record: () => undefined },
        });
        context.after(() => store.close());
        server.send(bytes);
        const seen = await measure(() => store.delegations.read("group"));
        assert.ok(seen.value.isErr);
        assert.equal(seen.value.error.kind, "uncertain");
        await assertWithinLimits(seen, 2_000);
      });
    }
  });

  describe("from a store by the product's protocol", () => {
    for (const [name, bytes] of Object.entries(endlessAnswers)) {
      it(`leave the call uncertain: ${name}`, async (context) => {
        const timeoutMilliseconds = deadlineMilliseconds;
        const store = openStore({
          origin: `http://${server.address}`,
          timeoutMilliseconds,
          metrics: startMetrics(),
        });
        context.after(() => store.close());
        server.send(bytes);
        const seen = await measure(() => store.delegations.read("group"));
        assert.ok(seen.value.isErr);
        assert.equal(seen.value.error.kind, "uncertain");
        await assertWithinLimits(seen, timeoutMilliseconds);
      });
    }
  });

  describe("in a heartbeat", () => {
    const maxCallMilliseconds = 5_000;

    /** Sends pieces until the listener closes the connection. */
    async function cutOffAfter(
      everyMilliseconds: number,
      piece: string,
    ): Promise<Measured<null>> {
      const port = await freePort();
      const listener = await listenForHeartbeats({
        address: `127.0.0.1:${port}`,
        target: "127.0.0.1:1",
        handler: {
          report: () => "newest",
          answerKeys: null,
          deregister: () => undefined,
          departuresKept: () => Promise.resolve(true),
        },
        events: { record: () => undefined },
      });
      assert.ok(listener.isOk);
      const seen = await measure(() =>
        new Promise<null>((resolve) => {
          const socket = connect(port, "127.0.0.1");
          const sendNext = () => {
            if (socket.destroyed) return;
            const taken = socket.write(piece);
            if (everyMilliseconds > 0) setTimeout(sendNext, everyMilliseconds);
            else if (taken) setImmediate(sendNext);
            else socket.once("drain", sendNext);
          };
          socket.on("error", () => undefined);
          socket.on("close", () => resolve(null));
          socket.resume();
          socket.write(
            "PUT /geraniumledge/instances/i-1 HTTP/1.1\r\nHost: x\r\n" +
              "Transfer-Encoding: chunked\r\n\r\n",
          );
          sendNext();
        })
      );
      listener.value.close();
      return seen;
    }

    it("are cut off at the size limit when they come fast", async () => {
      const seen = await cutOffAfter(0, "400\r\n" + "x".repeat(1_024) + "\r\n");
      const { milliseconds } = seen;
      assert.ok(milliseconds < 1_000, `ended after ${milliseconds} ms`);
      assert.ok(seen.grownBytes <= maxBufferedBytes);
    });

    it("are cut off at the time limit when they come slowly", async () => {
      const seen = await cutOffAfter(500, "1\r\nx\r\n");
      assert.ok(seen.milliseconds < maxCallMilliseconds + 2_000);
    });
  });
});

async function readAsCaller(port: number): Promise<string> {
  try {
    const answer = await fetch(`http://127.0.0.1:${port}/media`);
    const body = answer.body ?? [];
    for await (const _chunk of body);
    return "complete";
  } catch {
    return "broken off";
  }
}
