/**
 * Servers in trouble: bytes that are no answer, or no end of one, without end
 * until their caller closes. Whoever reads them gives up in time, keeps little
 * of them, closes the connection, and takes nothing of them for a success.
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
/** Timers and closing take a moment after the deadline. */
const slackMilliseconds = 400;
/** A quarter of what the smallest host has. */
const mostKeptBytes = 64_000_000;

const endlessAnswers = { ...endlessHeads, ...endlessBodies };

let server: EndlessServer;

/** What of this process's memory bytes that are kept would be in. */
function memoryBytes(): number {
  const { heapUsed, external } = process.memoryUsage();
  return heapUsed + external;
}

interface Watched<Value> {
  readonly value: Value;
  readonly milliseconds: number;
  readonly grownBytes: number;
}

/** Does something, and says how long it took and how memory grew meanwhile. */
async function watched<Value>(
  act: () => Promise<Value>,
): Promise<Watched<Value>> {
  const before = memoryBytes();
  let most = before;
  const timer = setInterval(() => most = Math.max(most, memoryBytes()), 5);
  const startedAt = performance.now();
  const value = await act();
  const milliseconds = performance.now() - startedAt;
  clearInterval(timer);
  return { value, milliseconds, grownBytes: most - before };
}

/** What must hold whatever was asked, for as long as `longestMilliseconds`. */
async function assertGivenUp(
  { milliseconds, grownBytes }: Watched<unknown>,
  longestMilliseconds: number,
): Promise<void> {
  const longest = longestMilliseconds + slackMilliseconds;
  assert.ok(milliseconds <= longest, `ended after ${milliseconds} ms`);
  assert.ok(grownBytes <= mostKeptBytes, `grew by ${grownBytes} bytes`);
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

function ask(target: Target, signal: AbortSignal) {
  const deadlineAt = performance.now() + deadlineMilliseconds;
  return target.send({
    request: testRequest({ deadlineAt, signal }),
    body: { kind: "kept", bytes: new Uint8Array() },
    token: null,
    slice: null,
    leaseEndsAtWall: null,
  });
}

/** What came of a request, once nothing of its answer is left to come. */
async function outcomeOf(
  target: Target,
  signal = AbortSignal.timeout(deadlineMilliseconds),
): Promise<string> {
  const result = await ask(target, signal);
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
        onRefused: () => undefined,
        onSpoilt: () => undefined,
      });
    });
    after(() => target.close());

    for (const [name, bytes] of Object.entries(endlessAnswers)) {
      it(`leave open whether the request ran: ${name}`, async () => {
        server.send(bytes);
        const seen = await watched(() => outcomeOf(target));
        assert.equal(seen.value, "unknown");
        await assertGivenUp(seen, deadlineMilliseconds);
      });
    }

    it("behind a whole answer do not spoil it, nor the next one", async () => {
      server.send(endlessRest);
      for (let count = 0; count < 3; count += 1) {
        const seen = await watched(() => outcomeOf(target));
        assert.equal(seen.value, "200 well");
        await assertGivenUp(seen, deadlineMilliseconds);
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
          const seen = await watched(() => outcomeOf(target));
          assert.equal(seen.value, "unknown");
          await assertGivenUp(seen, deadlineMilliseconds);
        });
      }

      it("behind a whole answer do not spoil it", async () => {
        server.send(endlessRest);
        const seen = await watched(() => outcomeOf(target));
        assert.equal(seen.value, "200 well");
        await assertGivenUp(seen, deadlineMilliseconds);
      });

      it("behind a refusal do not keep the connection", async () => {
        // The deadline of a request that has been answered ends nothing more.
        const unending = new AbortController();
        const refusal = "HTTP/1.1 503 Full\r\nGeraniumledge-Outcome: not-run" +
          "\r\nTransfer-Encoding: chunked\r\n\r\n";
        for (
          const then of ["1\r\nx\r\n", "400\r\n" + "x".repeat(1_024) + "\r\n"]
        ) {
          const everyMilliseconds = then.length > 100 ? 0 : 50;
          server.send({ first: refusal, then, everyMilliseconds });
          const seen = await watched(() => outcomeOf(target, unending.signal));
          assert.equal(seen.value, "not-run");
          await assertGivenUp(seen, deadlineMilliseconds);
        }
      });
    });

    describe("that is asked whether it is well", () => {
      for (const [name, bytes] of Object.entries(endlessAnswers)) {
        it(`are no answer: ${name}`, async () => {
          server.send(bytes);
          const seen = await watched(() => target.health());
          assert.equal(seen.value, null);
          await assertGivenUp(seen, 250);
        });
      }
    });
  });

  describe("that a listener passes on to a caller", () => {
    const configuration = testConfiguration({
      service: "media",
      defaultDeadlineMilliseconds: deadlineMilliseconds,
    });

    /** After the deadline an answer that has begun may still end so long. */
    const answerGraceMilliseconds = 250;

    for (const [name, bytes] of Object.entries(endlessBodies)) {
      it(`never look complete: ${name}`, async () => {
        const target = openTestTarget(server.address);
        const front = await openTestListener({
          kind: "callers",
          configuration,
          longestHeaderBytes: 4_096,
          handle: (request, { body }) =>
            target.send({
              request,
              body,
              token: null,
              slice: null,
              leaseEndsAtWall: null,
            }),
        });
        server.send(bytes);
        const seen = await watched(() => readAsCaller(front.port));
        assert.equal(seen.value, "broken off");
        await assertGivenUp(
          seen,
          deadlineMilliseconds + answerGraceMilliseconds,
        );
        front.close();
        await target.close();
      });
    }
  });

  describe("in answer to an order", () => {
    for (const [name, bytes] of Object.entries(endlessAnswers)) {
      it(`to hold are no success: ${name}`, async () => {
        const client = openKeyServer({
          address: server.address,
          onRefused: () => undefined,
        });
        server.send(bytes);
        const range = { first: 1, last: 1, token: { epoch: 1, sequence: 1 } };
        const seen = await watched(() =>
          client.grant(range, { holdMilliseconds: 1_000, handover: null })
        );
        assert.ok(seen.value.isErr);
        assert.equal(seen.value.error.kind, "unanswered");
        await assertGivenUp(seen, 500);
        await client.close();
      });
    }

    it("to give up are no success either", async () => {
      const client = openKeyServer({
        address: server.address,
        onRefused: () => undefined,
      });
      server.send(endlessBodies["chunks"] ?? endlessRest);
      const range = { first: 1, last: 1, token: { epoch: 1, sequence: 1 } };
      const seen = await watched(() => client.release(range));
      assert.ok(seen.value.isErr);
      await assertGivenUp(seen, 3_000);
      await client.close();
    });
  });

  describe("from the platform's store", () => {
    for (const [name, bytes] of Object.entries(endlessAnswers)) {
      it(`leave the call uncertain: ${name}`, async () => {
        const store = openPlatformStore({
          address: server.address,
          metrics: startMetrics(),
          events: { record: () => undefined },
        });
        server.send(bytes);
        const seen = await watched(() => store.delegations.read("group"));
        assert.ok(seen.value.isErr);
        assert.equal(seen.value.error.kind, "uncertain");
        await assertGivenUp(seen, 2_000);
        await store.close();
      });
    }
  });

  describe("from a store by the product's protocol", () => {
    for (const [name, bytes] of Object.entries(endlessAnswers)) {
      it(`leave the call uncertain: ${name}`, async () => {
        const timeoutMilliseconds = deadlineMilliseconds;
        const store = openStore({
          origin: `http://${server.address}`,
          timeoutMilliseconds,
          metrics: startMetrics(),
        });
        server.send(bytes);
        const seen = await watched(() => store.delegations.read("group"));
        assert.ok(seen.value.isErr);
        assert.equal(seen.value.error.kind, "uncertain");
        await assertGivenUp(seen, timeoutMilliseconds);
        await store.close();
      });
    }
  });

  describe("in a heartbeat", () => {
    const longestCallMilliseconds = 5_000;

    /** How long a sender may go on before it is cut off. */
    async function cutOffAfter(
      everyMilliseconds: number,
      piece: string,
    ): Promise<Watched<null>> {
      const port = await freePort();
      const listener = await listenForHeartbeats({
        address: `127.0.0.1:${port}`,
        target: "127.0.0.1:1",
        handler: { report: () => undefined, leave: () => undefined },
        events: { record: () => undefined },
      });
      assert.ok(listener.isOk);
      const seen = await watched(() =>
        new Promise<null>((resolve) => {
          const socket = connect(port, "127.0.0.1");
          const goOn = () => {
            if (socket.destroyed) return;
            const taken = socket.write(piece);
            if (everyMilliseconds > 0) setTimeout(goOn, everyMilliseconds);
            else if (taken) setImmediate(goOn);
            else socket.once("drain", goOn);
          };
          socket.on("error", () => undefined);
          socket.on("close", () => resolve(null));
          socket.resume();
          socket.write(
            "PUT /geraniumledge/instances/i-1 HTTP/1.1\r\nHost: x\r\n" +
              "Transfer-Encoding: chunked\r\n\r\n",
          );
          goOn();
        })
      );
      listener.value.close();
      return seen;
    }

    it("are cut off as soon as they are too many", async () => {
      const seen = await cutOffAfter(0, "400\r\n" + "x".repeat(1_024) + "\r\n");
      const { milliseconds } = seen;
      assert.ok(milliseconds < 1_000, `ended after ${milliseconds} ms`);
      assert.ok(seen.grownBytes <= mostKeptBytes);
    });

    it("are cut off after a while when they come slowly", async () => {
      const seen = await cutOffAfter(500, "1\r\nx\r\n");
      assert.ok(seen.milliseconds < longestCallMilliseconds + 2_000);
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
