import assert from "node:assert/strict";
import { describe, it } from "node:test";
import fc from "fast-check";
import {
  combineFailures,
  type Failure,
  notRun,
  unknownOutcome,
} from "../request/outcome.ts";
import { beginBudget, decideRetry, earnRetry } from "./retry.ts";

const settings = {
  earnedByRequest: 0.1,
  mostSaved: 10,
  firstDelayMilliseconds: 10,
  longestDelayMilliseconds: 200,
};

const usual = {
  attempt: 1,
  reached: 1,
  mostAttempts: null,
  idempotent: false,
  keyed: false,
  redirected: false,
  bodyRepeatable: true,
  beganAt: 0,
  objectiveAt: null as number | null,
  now: 0,
  deadlineAt: 1_000,
};

function decide(failure: Failure, change: Partial<typeof usual> = {}) {
  return decideRetry({ ...usual, ...change, failure }, {
    settings,
    budget: beginBudget(settings),
    random: () => 0.5,
  });
}

describe("retries", () => {
  describe("of a request whose key is being handed over", () => {
    it("end while its caller can still come back in time for something", () => {
      const objective = { objectiveAt: 250, deadlineAt: 1_200 };
      const early = decide(notRun("moving"), { ...objective, now: 120 });
      const late = decide(notRun("moving"), { ...objective, now: 130 });
      assert.equal(early.kind, "retry");
      assert.equal(late.kind, "giveUp");
    });

    it("are sent at once where the refusal names a later owner", () => {
      const decision = decide(notRun("not-owner"), { redirected: true });
      assert.equal(decision.kind, "retry");
      assert.ok("delayMilliseconds" in decision);
      assert.equal(decision.delayMilliseconds, 0);
    });

    const failure = notRun("moving");
    const patient = { ...settings, longestWaitMilliseconds: 400 };

    function wait(now: number) {
      return decideRetry({ ...usual, now, failure }, {
        settings: patient,
        budget: beginBudget(patient),
        random: () => 0.5,
      }).kind;
    }

    it("end after the longest wait, well before the deadline", () => {
      assert.equal(wait(399), "retry");
      assert.equal(wait(401), "giveUp");
    });
  });

  describe("of a request that may have run", () => {
    it("are sent only when it is idempotent", () => {
      const failure = unknownOutcome("connection-lost");
      assert.equal(decide(failure).kind, "giveUp");
      assert.equal(decide(failure, { idempotent: true }).kind, "retry");
    });

    it("never make its outcome 'not run'", () => {
      const earlier = unknownOutcome("connection-lost");
      const latest = notRun("target-unreachable");
      assert.equal(combineFailures(earlier, latest).outcome, "unknown");
    });
  });

  describe("of a request that surely did not run", () => {
    it("are sent while the deadline and the body allow it", () => {
      const failure = notRun("target-unreachable");
      assert.equal(decide(failure).kind, "retry");
      assert.equal(decide(failure, { deadlineAt: 5 }).kind, "giveUp");
      assert.equal(decide(failure, { bodyRepeatable: false }).kind, "giveUp");
    });
  });

  describe("when a third of the targets fail", () => {
    it("stay within the budget, however many requests there are", () => {
      fc.assert(
        fc.property(fc.integer({ min: 100, max: 2_000 }), (requests) => {
          let budget = beginBudget(settings);
          let retries = 0;
          for (let request = 0; request < requests; request += 1) {
            budget = earnRetry(budget, settings);
            let attempt = 1;
            for (;;) {
              const decision = decideRetry({
                ...usual,
                attempt,
                failure: notRun("queue-full"),
              }, { settings, budget, random: () => 0 });
              budget = decision.budget;
              if (decision.kind === "giveUp" || attempt > 20) break;
              retries += 1;
              attempt += 1;
            }
          }
          const bound = settings.mostSaved +
            requests * settings.earnedByRequest + 1;
          assert.ok(retries <= bound, `${retries} retries`);
        }),
        { numRuns: 50, seed: 4 },
      );
    });
  });
});
