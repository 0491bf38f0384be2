import assert from "node:assert/strict";
import { after, before, describe, it } from "node:test";
import {
  startOtherAgent,
  type TestOtherAgent,
} from "../../../tests/test_other_agent.ts";
import { testRequest } from "../../../tests/test_request.ts";

const requestCount = 40;
/** The bound of `forwarder.ts` on second copies in one second. */
const maxCopies = 4;

// Guards against a slow agent that gets all of its work twice: it answers every
// request, but only after the silence time-out.
describe("an agent that is slow to answer every request", () => {
  let agent: TestOtherAgent;
  let received = 0;

  before(async () => {
    agent = await startOtherAgent({
      answer(message, response) {
        received += 1;
        message.resume();
        setTimeout(() => {
          response.writeHead(200, { "geraniumledge-outcome": "answered" });
          response.end();
        }, 200);
      },
      settings: {
        maxConnections: requestCount * 2,
        connectTimeoutMilliseconds: 1_000,
        idleMilliseconds: 1_000,
        silenceMilliseconds: 50,
      },
      // With a clock that stands still, all copies fall into one second.
      now: () => 0,
    });
  });
  after(() => agent.close());

  describe("while it looks silent on every connection", () => {
    it("is sent few second copies, and answers every request", async () => {
      const results = await Promise.all(
        Array.from(
          { length: requestCount },
          (_, index) =>
            agent.send(testRequest({
              id: `r-${index}`,
              idempotent: true,
              deadlineAt: 10_000,
              signal: AbortSignal.timeout(10_000),
            })),
        ),
      );
      assert.ok(received <= requestCount + maxCopies, `${received}`);
      assert.ok(results.every((result) => result.isOk));
    });
  });
});
