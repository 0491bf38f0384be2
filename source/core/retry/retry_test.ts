import assert from "node:assert/strict";
import { describe, it } from "node:test";
import fc from "fast-check";
import {
  combineFailures,
  type Failure,
  notRun,
  unknownOutcome,
} from "../request/outcome.ts";
import { createRetryBudget, decideRetry, earnRetry } from "./retry.ts";

const settings = {
  earnedByRequest: 0.1,
  maxSaved: 10,
  firstDelayMilliseconds: 10,
  maxDelayMilliseconds: 200,
};

const firstAttempt = {
  attempt: 1,
  reached: 1,
  maxAttempts: null as number | null,
  idempotent: false,
  keyed: false,
  redirected: false,
  bodyRepeatable: true,
  beganAt: 0,
  objectiveAt: null as number | null,
  now: 0,
  deadlineAt: 1_000,
};

function decide(failure: Failure, change: Partial<typeof firstAttempt> = {}) {
  return decideRetry({ ...firstAttempt, ...change, failure }, {
    settings,
    budget: createRetryBudget(settings),
    random: () => 0.5,
  });
}

describe("retries", () => {
  describe("of a request whose key is being handed over", () => {
    it("end at half of its objective, in time for its caller to retry", () => {
      const objective = { objectiveAt: 250, deadlineAt: 1_200 };
      const early = decide(notRun("moving"), { ...objective, now: 120 });
      const late = decide(notRun("moving"), { ...objective, now: 130 });
      assert.equal(early.kind, "retry");
      assert.equal(late.kind, "giveUp");
    });

    it("are sent at once if the refusal names a later owner", () => {
      const decision = decide(notRun("not-owner"), { redirected: true });
      assert.equal(decision.kind, "retry");
      assert.ok("delayMilliseconds" in decision);
      assert.equal(decision.delayMilliseconds, 0);
    });

    const failure = notRun("moving");
    const bounded = { ...settings, maxWaitMilliseconds: 400 };

    function wait(now: number) {
      return decideRetry({ ...firstAttempt, now, failure }, {
        settings: bounded,
        budget: createRetryBudget(bounded),
        random: () => 0.5,
      }).kind;
    }

    it("end after the longest wait, well before the deadline", () => {
      assert.equal(wait(399), "retry");
      assert.equal(wait(401), "giveUp");
    });
  });

  describe("of a request that may have run", () => {
    it("are sent only if it is idempotent", () => {
      const failure = unknownOutcome("connection-lost");
      assert.equal(decide(failure).kind, "giveUp");
      assert.equal(decide(failure, { idempotent: true }).kind, "retry");
    });

    it("leave its outcome unknown", () => {
      const earlier = unknownOutcome("connection-lost");
      const latest = notRun("target-unreachable");
      assert.equal(combineFailures(earlier, latest).outcome, "unknown");
    });
  });

  describe("of a request that several targets refuse", () => {
    // Guards against a caller that returns before any target has capacity.
    it("tell its caller the earliest time that one of them has stated", () => {
      const failures = [notRun("queue-full", 500), notRun("queue-full", 700)];
      const latest = notRun("target-leaving");
      const both = [...failures, latest].reduce(combineFailures);
      assert.equal(both.retryAfterMilliseconds, 500);
      assert.equal(both.reason, "target-leaving");
    });
  });

  describe("of a request that has definitely not run", () => {
    it("are sent only if the deadline and the body allow it", () => {
      const failure = notRun("target-unreachable");
      assert.equal(decide(failure).kind, "retry");
      assert.equal(decide(failure, { deadlineAt: 5 }).kind, "giveUp");
      assert.equal(decide(failure, { bodyRepeatable: false }).kind, "giveUp");
    });
  });

  describe("of requests that are all refused", () => {
    // Guards against calls for loans that would allow no further retry.
    it("use the budget unless they are free or not allowed", () => {
      const full = notRun("queue-full");
      assert.equal(decide(full).usesBudget, true);
      assert.equal(decide(full, { maxAttempts: 1 }).usesBudget, false);
      assert.equal(decide(notRun("moving")).usesBudget, false);
      assert.equal(decide(notRun("deadline-passed")).usesBudget, false);
    });

    it("stay within the budget for any number of requests", () => {
      fc.assert(
        fc.property(fc.integer({ min: 100, max: 2_000 }), (requests) => {
          let budget = createRetryBudget(settings);
          let retries = 0;
          for (let request = 0; request < requests; request += 1) {
            budget = earnRetry(budget, settings);
            let attempt = 1;
            for (;;) {
              const decision = decideRetry({
                ...firstAttempt,
                attempt,
                failure: notRun("queue-full"),
              }, { settings, budget, random: () => 0 });
              budget = decision.budget;
              if (decision.kind === "giveUp" || attempt > 20) break;
              retries += 1;
              attempt += 1;
            }
          }
          const limit = settings.maxSaved +
            requests * settings.earnedByRequest + 1;
          assert.ok(retries <= limit, `${retries} retries`);
        }),
        { numRuns: 50, seed: 4 },
      );
    });
  });
});
