import assert from "node:assert/strict";
import { createServer, type Server, type Socket } from "node:net";
import { after, before, describe, it } from "node:test";
import { listen } from "../../../standins/http_server.ts";
import { testRequest } from "../../../tests/test_request.ts";
import type { Target } from "../../ports/upstream.ts";
import { openTestTarget } from "../../../tests/test_target.ts";

const refusal = "HTTP/1.1 503 Full\r\nGeraniumledge-Outcome: not-run\r\n" +
  "Content-Length: 0\r\n\r\n";
const answer = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nwell";

describe("a target by the product's protocol that repeats an earlier refusal", () => {
  let server: Server;
  let target: Target;
  let runs = 0;

  function serve(socket: Socket): void {
    let refused = false;
    socket.on("error", () => undefined);
    socket.on("data", () => {
      if (refused) runs += 1;
      socket.write(refused ? refusal + answer : refusal);
      refused = true;
    });
  }

  before(async () => {
    server = createServer(serve);
    const port = await listen(server, 0);
    target = openTestTarget(`127.0.0.1:${port}`);
  });
  after(async () => {
    await target.close();
    server.close();
  });

  async function send(id: string): Promise<string> {
    const result = await target.send({
      request: testRequest({
        id,
        deadlineAt: performance.now() + 2_000,
        signal: AbortSignal.timeout(2_000),
      }),
      body: { kind: "kept", bytes: new Uint8Array() },
      token: null,
      slice: null,
      leaseEndsAtWall: null,
    });
    return result.isErr ? result.error.outcome : "answered";
  }

  // Guards against requests that are reported as not run but have run.
  it("does not have the next request reported as not run", async () => {
    assert.equal(await send("r-1"), "not-run");
    const outcome = await send("r-2");
    assert.equal(runs, 1);
    assert.notEqual(outcome, "not-run");
  });
});
