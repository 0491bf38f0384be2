import assert from "node:assert/strict";
import { after, before, describe, it } from "node:test";
import {
  startOtherAgent,
  type TestOtherAgent,
} from "../../../tests/test_other_agent.ts";
import { testRequest } from "../../../tests/test_request.ts";

const requestCount = 40;
/** As `forwarder.ts` bounds them for one second. */
const mostCopies = 4;

/** An agent that answers everything, but only after it has looked silent. */
describe("an agent that is slow for all at once", () => {
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
      // A clock that stands still: all copies fall into one second.
      now: () => 0,
    });
  });
  after(() => agent.close());

  describe("while it looks silent on every connection", () => {
    it("is sent few requests twice, and answers all others", async () => {
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
      assert.ok(received <= requestCount + mostCopies, `${received}`);
      assert.ok(results.every((result) => result.isOk));
    });
  });
});
