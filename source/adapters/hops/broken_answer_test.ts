import assert from "node:assert/strict";
import { after, before, describe, it } from "node:test";
import {
  startOtherAgent,
  type TestOtherAgent,
} from "../../../tests/test_other_agent.ts";
import { testRequest } from "../../../tests/test_request.ts";

// Guards against truncated answers to callers: the other agent sends part of
// its answer, and then nothing more.
describe("an answer of another agent that stops halfway", () => {
  let agent: TestOtherAgent;

  before(async () => {
    agent = await startOtherAgent({
      answer(message, response) {
        message.resume();
        response.writeHead(200, {
          "content-length": "10",
          "geraniumledge-outcome": "answered",
        });
        response.write("half");
      },
      settings: {
        maxConnections: 4,
        connectTimeoutMilliseconds: 300,
        idleMilliseconds: 1_000,
      },
      now: () => performance.now(),
    });
  });
  after(() => agent.close());

  describe("and is small enough to be buffered", () => {
    it("becomes a failure with an unknown outcome", async () => {
      const request = testRequest({
        deadlineAt: performance.now() + 200,
        signal: AbortSignal.timeout(220),
      });
      const result = await agent.send(request);
      assert.ok(result.isErr);
      assert.equal(result.error.outcome, "unknown");
      assert.equal(result.error.reason, "deadline-passed");
    });
  });
});
