import assert from "node:assert/strict";
import { after, before, describe, it } from "node:test";
import {
  startOtherAgent,
  type TestOtherAgent,
} from "../../../tests/test_other_agent.ts";
import { testRequest } from "../../../tests/test_request.ts";

const workMilliseconds = 800;
const deadlineMilliseconds = 200;

describe("a forwarder whose connections to an agent are all in use", () => {
  let agent: TestOtherAgent;
  let received: readonly string[] = [];

  before(async () => {
    agent = await startOtherAgent({
      answer(message, response) {
        received = [...received, String(message.headers["x-request-id"])];
        message.resume();
        setTimeout(() => {
          response.writeHead(200, { "geraniumledge-outcome": "answered" });
          response.end();
        }, workMilliseconds);
      },
      settings: {
        maxConnections: 1,
        connectTimeoutMilliseconds: 1_000,
        idleMilliseconds: 1_000,
        silenceMilliseconds: 5_000,
      },
      now: () => performance.now(),
    });
  });
  after(() => agent.close());

  function send(id: string, milliseconds: number) {
    return agent.send(testRequest({
      id,
      deadlineAt: performance.now() + milliseconds,
      signal: AbortSignal.timeout(milliseconds),
    }));
  }

  describe("when the deadline of a waiting request passes", () => {
    // Guards against requests that outlast their deadline: one that waited for
    // a connection ended only once it had one.
    it("ends the request as not run", async () => {
      const first = send("first", 5_000);
      const startedAt = performance.now();
      const second = await send("second", deadlineMilliseconds);
      const took = performance.now() - startedAt;
      assert.ok(took < workMilliseconds / 2, `${took}`);
      assert.equal(second.isErr && second.error.outcome, "not-run");
      assert.equal((await first).isOk, true);
      await new Promise((resolve) => setTimeout(resolve, 100));
      assert.deepEqual(received, ["first"]);
    });
  });
});
