/**
 * Loans of saved retries between agents, so that one that needs more than its
 * part of a service's budget gets some from others that need none.
 *
 * Invariant: no agent holds more than its part, and no loan adds to the sum of
 * all budgets. A loan that is lost on its way is missing from the sum.
 *
 * @module
 */
import { type Agent, distance } from "../agent.ts";
import type { RetryBudget, RetrySettings } from "./retry.ts";

/** A part of its budget that an agent keeps, and below which it borrows. */
const keptShare = 0.5;

/** A budget borrows no more often than this. */
export const minLoanIntervalMilliseconds = 100;
/** The longest interval: retries are lent again soon after an overload ends. */
const maxLoanIntervalMilliseconds = 3_000;

/** How many retries to borrow; null when the budget is not low. */
export function loanWanted(
  { saved }: RetryBudget,
  { maxSaved }: RetrySettings,
): number | null {
  return saved < maxSaved * keptShare ? maxSaved - saved : null;
}

/** Takes a loan for another agent out of a budget. */
export function lendRetries(
  budget: RetryBudget,
  wanted: number,
  { maxSaved }: RetrySettings,
): { readonly budget: RetryBudget; readonly granted: number } {
  const spare = budget.saved - maxSaved * keptShare;
  const granted = Math.max(0, Math.min(wanted, spare));
  return { budget: { saved: budget.saved - granted }, granted };
}

/** Adds a loan; what would exceed the agent's part is dropped. */
export function addLoan(
  budget: RetryBudget,
  granted: number,
  { maxSaved }: RetrySettings,
): RetryBudget {
  const saved = Math.min(maxSaved, budget.saved + Math.max(0, granted));
  return { saved: Math.max(budget.saved, saved) };
}

/**
 * The time from one request for a loan to the next. It grows while nothing is
 * granted: under a general overload no agent has anything to lend.
 */
export function nextLoanInterval(
  lastMilliseconds: number,
  granted: number,
): number {
  if (granted > 0) return minLoanIntervalMilliseconds;
  return Math.min(maxLoanIntervalMilliseconds, lastMilliseconds * 2);
}

/**
 * Whom to ask: a random other agent, in the own region if there is one, since
 * links between regions are the most expensive. Null without any.
 *
 * `random` returns a number from 0 up to but not including 1.
 */
export function chooseLender(
  self: Agent,
  agents: readonly Agent[],
  random: () => number,
): Agent | null {
  const others = agents.filter((agent) =>
    agent.host !== self.host && agent.phase !== "lost"
  );
  const near = others.filter((agent) => distance(self.place, agent.place) < 2);
  const candidates = near.length > 0 ? near : others;
  return candidates[Math.floor(random() * candidates.length)] ?? null;
}
