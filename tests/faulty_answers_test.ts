/**
 * Tests with targets whose answers are no answers: one that is reset before its
 * end, without a stated length, and those with a status that no answer has.
 */
import assert from "node:assert/strict";
import { createServer, type Server, type Socket } from "node:net";
import { Readable } from "node:stream";
import { after, before, describe, it } from "node:test";
import type { Result } from "true-myth";
import { openPlatformTarget } from "../platform/target.ts";
import type { Failure } from "../source/core/request/outcome.ts";
import type { Body, ProxyAnswer, Target } from "../source/ports/upstream.ts";
import { listen } from "../standins/http_server.ts";
import { textOf } from "./test_answer.ts";
import { startOtherAgent } from "./test_other_agent.ts";
import { testRequest } from "./test_request.ts";
import { openTestTarget } from "./test_target.ts";

const deadlineMilliseconds = 2_000;
const uploadedBytes = 8_000_000;

type Open = (address: string) => Target;

const protocols: Readonly<Record<string, Open>> = {
  "the platform's protocol": (address) =>
    openPlatformTarget({
      address,
      identity: () => "i-1",
      now: () => performance.now(),
      onConnectionRefused: () => undefined,
      onInvalidAnswer: () => undefined,
    }),
  "the product's protocol": openTestTarget,
};

/** An upload that is still being written when its answer comes. */
function longUpload(): Body {
  async function* chunks() {
    for (let sent = 0; sent < uploadedBytes; sent += 100_000) {
      yield new Uint8Array(100_000);
      await new Promise((resolve) => setTimeout(resolve, 5));
    }
  }
  const stream = Readable.from(chunks(), { objectMode: false });
  return { kind: "stream", stream, used: false, maxBytes: uploadedBytes };
}

const noBody: Body = { kind: "kept", bytes: new Uint8Array() };

async function outcomeOf(target: Target, body: Body): Promise<string> {
  const result = await target.send({
    request: testRequest({
      method: "POST",
      deadlineAt: performance.now() + deadlineMilliseconds,
      signal: AbortSignal.timeout(deadlineMilliseconds),
    }),
    body,
    token: null,
    slice: null,
    leaseEndsAtWall: null,
  });
  return describeResult(result);
}

async function describeResult(
  result: Result<ProxyAnswer, Failure>,
): Promise<string> {
  if (result.isErr) return result.error.outcome;
  try {
    return `${result.value.status} ${await textOf(result.value.body)}`;
  } catch {
    return "broken off";
  }
}

function headOf(status: string): string {
  return `HTTP/1.1 ${status} x\r\nResponse-Signature: s\r\n` +
    "Request-Id: r-1\r\n";
}

describe("an answer that is none", () => {
  let server: Server;
  let address = "";
  let answer: (socket: Socket) => void = () => undefined;

  before(async () => {
    server = createServer((socket) => {
      socket.on("error", () => undefined);
      socket.on("data", (data) => {
        // One answer for each request, however many chunks its body has.
        if (String(data).includes("HTTP/1.1")) answer(socket);
      });
    });
    address = `127.0.0.1:${await listen(server, 0)}`;
  });
  after(() => server.close());

  for (const [protocol, open] of Object.entries(protocols)) {
    describe(`by ${protocol}`, () => {
      let target: Target;
      before(() => {
        target = open(address);
      });
      after(() => target.close());

      // Guards against a part of an answer that its caller takes for the whole:
      // undici reports a reset as the end of an answer without a length.
      it("is reset while the upload is written: is not complete", async () => {
        answer = (socket) => {
          socket.write(`${headOf("200")}\r\npart`);
          setTimeout(() => socket.resetAndDestroy(), 50);
        };
        const outcome = await outcomeOf(target, longUpload());
        assert.ok(["unknown", "broken off"].includes(outcome), outcome);
      });

      // Guards against a process that ends: such a status can't be written, and
      // undici does not expect one below 100.
      for (const status of ["000", "099", "600", "999"]) {
        it(`has the status ${status}: leaves open whether it ran`, async () => {
          answer = (socket) =>
            socket.write(`${headOf(status)}Content-Length: 2\r\n\r\nok`);
          assert.equal(await outcomeOf(target, noBody), "unknown");
        });
      }
    });
  }

  describe("by another agent, on a connection for large bodies", () => {
    /** Forwards a request that is answered with these bytes, then a reset. */
    async function outcomeOfForwarded(bytes: string): Promise<string> {
      const agent = await startOtherAgent({
        answer(message) {
          message.resume();
          message.socket.write(bytes);
          setTimeout(() => message.socket.resetAndDestroy(), 50);
        },
        settings: {
          maxConnections: 1,
          connectTimeoutMilliseconds: 300,
          idleMilliseconds: 1_000,
        },
        now: () => performance.now(),
      });
      const result = await agent.send(testRequest({
        deadlineAt: performance.now() + deadlineMilliseconds,
        signal: AbortSignal.timeout(deadlineMilliseconds),
      }));
      const outcome = await describeResult(result);
      await agent.close();
      return outcome;
    }

    it("is reset: is not complete", async () => {
      const outcome = await outcomeOfForwarded(`${headOf("200")}\r\npart`);
      assert.ok(["unknown", "broken off"].includes(outcome), outcome);
    });

    for (const status of ["000", "600"]) {
      it(`has the status ${status}: leaves open whether it ran`, async () => {
        const head = `${headOf(status)}Content-Length: 0\r\n\r\n`;
        assert.equal(await outcomeOfForwarded(head), "unknown");
      });
    }
  });

  describe("without a length, but ends with its connection", () => {
    // Guards against a check that refuses complete answers too.
    it("is complete by the product's protocol", async () => {
      answer = (socket) => socket.end(`${headOf("200")}\r\nwhole`);
      const target = openTestTarget(address);
      assert.equal(await outcomeOf(target, noBody), "200 whole");
      await target.close();
    });
  });
});
