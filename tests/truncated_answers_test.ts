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

const whole = headOf(["Content-Length: 10"]) + body;
const answers: Readonly<Record<string, string>> = {
  "with a stated length": whole,
  "in chunks": headOf(["Transfer-Encoding: chunked"]) +
    `a\r\n${body}\r\n0\r\n\r\n`,
  "that closes its connection": headOf([
    "Connection: close",
    "Content-Length: 10",
  ]) + body,
  "behind a word before it": "HTTP/1.1 103 Early Hints\r\n\r\n" + whole,
};

type Open = (address: string) => Target;

const protocols: Readonly<Record<string, Open>> = {
  "the platform's protocol": (address) =>
    openPlatformTarget({
      address,
      identity: () => "i-1",
      now: () => performance.now(),
      onRefused: () => undefined,
      onSpoilt: () => undefined,
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

describe("a target that stops in the middle of its answer and closes", () => {
  let server: Server;
  let answer = whole;
  let port = 0;

  /** Serves so many requests on each connection as it should, then cuts. */
  let soundBefore = 0;

  function serve(socket: Socket): void {
    let served = 0;
    socket.on("error", () => undefined);
    socket.on("data", () => {
      served += 1;
      if (served <= soundBefore) return socket.write(whole);
      socket.end(answer);
    });
  }

  before(async () => {
    server = createServer(serve);
    port = await listen(server, 0);
  });
  after(() => server.close());

  /** What came of the cut answers that look like whole ones. */
  async function takenForWhole(open: Open, text: string): Promise<unknown> {
    const taken: string[] = [];
    for (let length = 1; length < text.length; length += 1) {
      answer = text.slice(0, length);
      const target = open(`127.0.0.1:${port}`);
      for (let sound = 0; sound < soundBefore; sound += 1) {
        assert.equal(await outcomeOf(target), body);
      }
      const outcome = await outcomeOf(target);
      if (!["unknown", "broken off"].includes(outcome)) taken.push(outcome);
      await target.close();
    }
    return taken;
  }

  for (const [protocol, open] of Object.entries(protocols)) {
    for (const [name, text] of Object.entries(answers)) {
      describe(`by ${protocol}, ${name}`, () => {
        // Guards against a head that breaks off and is passed on as an answer
        // with an empty or short body (MIXED).
        it("is never taken for whole on a new connection", async () => {
          soundBefore = 0;
          assert.deepEqual(await takenForWhole(open, text), []);
        });

        it("is never taken for whole on a kept one", async () => {
          soundBefore = 1;
          assert.deepEqual(await takenForWhole(open, text), []);
        });
      });
    }
  }
});
