import assert from "node:assert/strict";
import { createServer, type Server, type Socket } from "node:net";
import { after, before, describe, it } from "node:test";
import { openPlatformTarget } from "../platform/target.ts";
import { openTestTarget } from "./test_target.ts";
import type { Target } from "../source/ports/upstream.ts";
import { listen } from "../standins/http_server.ts";
import { textOf } from "./test_answer.ts";
import { testRequest } from "./test_request.ts";

const deadlineMilliseconds = 2_000;
const body = "well there";

function headOf(lines: readonly string[]): string {
  const named = ["Response-Signature: genuine", "Request-Id: r-1", ...lines];
  return ["HTTP/1.1 200 OK", ...named, "", ""].join("\r\n");
}

const complete = headOf(["Content-Length: 10"]) + body;
const answers: Readonly<Record<string, string>> = {
  "with a stated length": complete,
  "in chunks": headOf(["Transfer-Encoding: chunked"]) +
    `a\r\n${body}\r\n0\r\n\r\n`,
  "that closes its connection": headOf([
    "Connection: close",
    "Content-Length: 10",
  ]) + body,
  "after an informational response": "HTTP/1.1 103 Early Hints\r\n\r\n" +
    complete,
};

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

async function outcomeOf(target: Target): Promise<string> {
  const result = await target.send({
    request: testRequest({
      deadlineAt: performance.now() + deadlineMilliseconds,
      signal: AbortSignal.timeout(deadlineMilliseconds),
    }),
    body: { kind: "kept", bytes: new Uint8Array() },
    token: null,
    slice: null,
    leaseEndsAtWall: null,
  });
  if (result.isErr) return result.error.outcome;
  try {
    return await textOf(result.value.body);
  } catch {
    return "broken off";
  }
}

describe("an answer that its target truncates by closing the connection", () => {
  let server: Server;
  let answer = complete;
  let port = 0;

  /** Number of complete answers on each connection before a truncated one. */
  let intactCount = 0;

  function serve(socket: Socket): void {
    let served = 0;
    socket.on("error", () => undefined);
    socket.on("data", () => {
      served += 1;
      if (served <= intactCount) return socket.write(complete);
      socket.end(answer);
    });
  }

  before(async () => {
    server = createServer(serve);
    port = await listen(server, 0);
  });
  after(() => server.close());

  /** Outcomes of truncated answers that were accepted as complete. */
  async function outcomesAcceptedAsComplete(
    open: Open,
    text: string,
  ): Promise<unknown> {
    const accepted: string[] = [];
    for (let length = 1; length < text.length; length += 1) {
      answer = text.slice(0, length);
      const target = open(`127.0.0.1:${port}`);
      for (let count = 0; count < intactCount; count += 1) {
        assert.equal(await outcomeOf(target), body);
      }
      const outcome = await outcomeOf(target);
      if (!["unknown", "broken off"].includes(outcome)) accepted.push(outcome);
      await target.close();
    }
    return accepted;
  }

  for (const [protocol, open] of Object.entries(protocols)) {
    for (const [name, text] of Object.entries(answers)) {
      describe(`by ${protocol}, ${name}`, () => {
        // Guards against a truncated head that is passed on as an answer with an
        // empty or short body.
        it("is never accepted as complete on a new connection", async () => {
          intactCount = 0;
          assert.deepEqual(await outcomesAcceptedAsComplete(open, text), []);
        });

        it("is never accepted as complete on a reused connection", async () => {
          intactCount = 1;
          assert.deepEqual(await outcomesAcceptedAsComplete(open, text), []);
        });
      });
    }
  }
});
