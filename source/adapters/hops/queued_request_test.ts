import assert from "node:assert/strict";
import { after, before, describe, it } from "node:test";
import {
  startOtherAgent,
  type TestOtherAgent,
} from "../../../tests/test_other_agent.ts";
import { testRequest } from "../../../tests/test_request.ts";

const workMilliseconds = 800;
const deadlineMilliseconds = 200;

describe("an agent all of whose connections are in use", () => {
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

  describe("past the deadline of a request that waits for one", () => {
    // Guards against requests that are held past their time: one that waited
    // for a connection ended only once it had got one.
    it("has it end at its deadline, not run", async () => {
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
