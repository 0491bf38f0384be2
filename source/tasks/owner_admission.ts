/**
 * What one entry knows of the room that owners of keys have: owns the record,
 * and says which requests are sent on.
 *
 * @module
 */
import type { Result } from "true-myth";
import type { AgentId } from "../core/agent.ts";
import type { Failure, FailureReason } from "../core/request/outcome.ts";
import {
  decideSending,
  type FullOwners,
  noFullOwners,
  noteReply,
  type OwnerDecision,
  type OwnerRank,
} from "../core/routing/full_owners.ts";
import type { ProxyAnswer } from "../ports/upstream.ts";
import { monotonicNow } from "./time.ts";

/** What is known of the owners' room. */
export interface OwnerAdmission {
  /** Whether a request may be sent to its owner. */
  decide(asked: OwnerRank): OwnerDecision;
  /** Learns from how a request to its owner ended. */
  recordReply(asked: OwnerRank, result: Result<ProxyAnswer, Failure>): void;
}

/** Failures that say nothing of how much room the owner has. */
const uninformativeFailures: ReadonlySet<FailureReason> = new Set([
  "not-owner",
  "moving",
  "lease-ended",
  "caller-left",
  "target-unreachable",
]);

/** Starts with nothing known. */
export function startOwnerAdmission(options: {
  /** The agent of this entry: to ask its own target costs no other anything. */
  readonly self: AgentId;
  readonly random: () => number;
}): OwnerAdmission {
  const { self, random } = options;
  let owners: FullOwners = noFullOwners;

  return {
    decide(asked) {
      if (asked.owner === self) return { kind: "send" };
      const now = monotonicNow();
      const next = decideSending(owners, { ...asked, now }, random);
      owners = next.owners;
      return next.decision;
    },
    recordReply(asked, result) {
      if (asked.owner === self) return;
      const failure = result.isErr ? result.error : null;
      if (failure !== null && uninformativeFailures.has(failure.reason)) return;
      const full = failure?.reason === "queue-full";
      owners = noteReply(owners, {
        ...asked,
        full,
        retryAfterMilliseconds: full ? failure.retryAfterMilliseconds : null,
        now: monotonicNow(),
      });
    },
  };
}
