/**
 * Tracks which owners of keys are overloaded, as seen by one entry, and decides
 * which requests are sent to them.
 *
 * @module
 */
import type { Result } from "true-myth";
import type { AgentId } from "../core/agent.ts";
import type { Failure, FailureReason } from "../core/request/outcome.ts";
import {
  decideSending,
  noOverloadedOwners,
  type OverloadedOwners,
  type OwnerDecision,
  type OwnerRank,
  recordReply,
} from "../core/routing/overloaded_owners.ts";
import type { ProxyAnswer } from "../ports/upstream.ts";
import { monotonicNow } from "./time.ts";

/** Decides on requests to owners by how earlier ones ended. */
export interface OwnerAdmission {
  /** Whether a request may be sent to its owner. */
  decide(request: OwnerRequest): OwnerDecision;
  /** Must be called with the result of each request sent to its owner. */
  recordReply(
    request: OwnerRequest,
    result: Result<ProxyAnswer, Failure>,
  ): void;
}

/** What is used of a request for an owner. */
export interface OwnerRequest extends OwnerRank {
  readonly objectiveAt: number | null;
  readonly deadlineAt: number;
}

/** Reasons of failures that do not show whether the owner is overloaded. */
const uninformativeFailures: ReadonlySet<FailureReason> = new Set([
  "not-owner",
  "moving",
  "lease-ended",
  "caller-left",
  "target-unreachable",
]);

/** Starts without any overloaded owner. */
export function startOwnerAdmission(options: {
  /**
   * The agent of this entry. Requests to its own target cost other agents
   * nothing, so they are always sent.
   */
  readonly self: AgentId;
  readonly random: () => number;
}): OwnerAdmission {
  const { self, random } = options;
  let owners: OverloadedOwners = noOverloadedOwners;

  return {
    decide(request) {
      if (request.owner === self) return { kind: "send" };
      const now = monotonicNow();
      const next = decideSending(owners, { ...request, now }, random);
      owners = next.owners;
      return next.decision;
    },
    recordReply(request, result) {
      if (request.owner === self) return;
      const failure = result.isErr ? result.error : null;
      if (failure !== null && uninformativeFailures.has(failure.reason)) return;
      const full = failure?.reason === "queue-full";
      owners = recordReply(owners, {
        ...request,
        full,
        retryAfterMilliseconds: full ? failure.retryAfterMilliseconds : null,
        now: monotonicNow(),
      });
    },
  };
}
