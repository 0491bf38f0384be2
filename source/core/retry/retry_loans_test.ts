import assert from "node:assert/strict";
import { describe, it } from "node:test";
import fc from "fast-check";
import { createRetryBudget, earnRetry, type RetryBudget } from "./retry.ts";
import { addLoan, lendRetries, loanWanted } from "./retry_loans.ts";

const agents = 6;
const slack = 16;
const settings = {
  earnedByRequest: 0.12,
  maxSaved: slack / agents,
  firstDelayMilliseconds: 20,
  maxDelayMilliseconds: 150,
};

describe("the retry budget of a service over all agents", () => {
  const agent = fc.integer({ min: 0, max: agents - 1 });
  const steps = fc.array(
    fc.oneof(
      fc.record({ kind: fc.constant("request" as const), at: agent }),
      fc.record({ kind: fc.constant("retry" as const), at: agent }),
      fc.record({
        kind: fc.constant("loan" as const),
        at: agent,
        from: agent,
        lost: fc.boolean(),
      }),
    ),
    { maxLength: 400 },
  );

  // Guards against more retries than the platform allows.
  it("stays within the slack and what requests earn, loans lost or not", () => {
    fc.assert(
      fc.property(steps, (steps) => {
        const budgets = new Map<number, RetryBudget>();
        const of = (at: number) =>
          budgets.get(at) ?? createRetryBudget(settings);
        let earned = 0;
        let spent = 0;
        for (const step of steps) {
          const { kind, at } = step;
          if (kind === "request") {
            earned += settings.earnedByRequest;
            budgets.set(at, earnRetry(of(at), settings));
          } else if (kind === "retry" && of(at).saved >= 1) {
            spent += 1;
            budgets.set(at, { saved: of(at).saved - 1 });
          } else if (kind === "loan" && step.from !== at) {
            const wanted = loanWanted(of(at), settings);
            if (wanted === null) continue;
            const loan = lendRetries(of(step.from), wanted, settings);
            budgets.set(step.from, loan.budget);
            if (step.lost) continue;
            budgets.set(at, addLoan(of(at), loan.granted, settings));
          }
          assert.ok(of(at).saved <= settings.maxSaved + 1e-9);
        }
        assert.ok(spent <= slack + earned + 1e-9);
      }),
      { numRuns: 500, seed: 5 },
    );
  });
});
