/**
 * Owns the retry budgets of this agent, one for each service, so that many
 * failures of one service do not use up the retries of another. Borrows from
 * other agents where a budget is low, and lends to them.
 *
 * @module
 */
import type { Agent } from "../core/agent.ts";
import {
  createRetryBudget,
  earnRetry,
  type RetryBudget,
  type RetrySettings,
} from "../core/retry/retry.ts";
import {
  addLoan,
  chooseLender,
  lendRetries,
  loanWanted,
  minLoanIntervalMilliseconds,
  nextLoanInterval,
} from "../core/retry/retry_loans.ts";
import type { Events } from "../ports/events.ts";
import type { Metrics } from "../ports/metrics.ts";
import type { Peers, RetryLoan, RetryLoanRequest } from "../ports/peers.ts";
import { monotonicNow } from "./time.ts";

/** The retry budgets of an agent. */
export interface RetryBudgets {
  of(service: string): RetryBudget;
  /** Adds what one request earns. */
  earn(service: string): void;
  /**
   * Replaces a budget after a decision that took from it or found it empty, and
   * asks for a loan if it is low.
   */
  set(service: string, budget: RetryBudget): void;
  /** Lends to another agent. */
  lend(request: RetryLoanRequest): RetryLoan;
}

/** Starts with a full budget for each service. */
export function startRetryBudgets(options: {
  readonly agent: Agent;
  readonly agents: () => readonly Agent[];
  readonly peers: Peers;
  readonly settings: () => RetrySettings;
  readonly random: () => number;
  readonly events: Events;
  readonly metrics: Metrics;
}): RetryBudgets {
  const budgets = new Map<string, RetryBudget>();
  /** When each service last asked for a loan. */
  const askedAt = new Map<string, number>();
  /** How long each service waits before it asks again. */
  const intervals = new Map<string, number>();
  const borrowing = new Set<string>();

  function of(service: string): RetryBudget {
    return budgets.get(service) ?? createRetryBudget(options.settings());
  }

  function intervalOf(service: string): number {
    return intervals.get(service) ?? minLoanIntervalMilliseconds;
  }

  function set(service: string, budget: RetryBudget): void {
    budgets.set(service, budget);
    const settings = options.settings();
    const { loanTimeoutMilliseconds } = settings;
    const wanted = loanWanted(budget, settings);
    if (loanTimeoutMilliseconds === undefined || wanted === null) return;
    const sinceLast = monotonicNow() - (askedAt.get(service) ?? -Infinity);
    if (sinceLast < intervalOf(service)) return;
    if (borrowing.has(service)) return;
    const lender = chooseLender(
      options.agent,
      options.agents(),
      options.random,
    );
    if (lender === null) return;
    askedAt.set(service, monotonicNow());
    borrowing.add(service);
    void borrow(lender, { service, wanted }, loanTimeoutMilliseconds);
  }

  async function borrow(
    lender: Agent,
    message: RetryLoanRequest,
    timeoutMilliseconds: number,
  ): Promise<void> {
    const { service } = message;
    const reply = await options.peers.call(lender.peerAddress, "lendRetries", {
      message,
      timeoutMilliseconds,
    });
    borrowing.delete(service);
    const granted = reply.isOk ? reply.value.granted : 0;
    intervals.set(service, nextLoanInterval(intervalOf(service), granted));
    if (granted <= 0) return;
    const budget = addLoan(of(service), granted, options.settings());
    budgets.set(service, budget);
    options.metrics.count("retries_borrowed", {}, granted);
    options.events.record("retries-borrowed", {
      service,
      from: lender.id,
      granted: Number(granted.toFixed(2)),
      saved: Number(budget.saved.toFixed(2)),
    });
  }

  return {
    of,
    earn(service) {
      budgets.set(service, earnRetry(of(service), options.settings()));
    },
    set,
    lend({ service, wanted }) {
      const { budget, granted } = lendRetries(
        of(service),
        wanted,
        options.settings(),
      );
      budgets.set(service, budget);
      return { granted };
    },
  };
}
