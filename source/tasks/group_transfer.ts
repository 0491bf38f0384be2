/**
 * Passes a group on from this agent's grantor to another agent, which must have
 * shown that it can take the group over.
 *
 * @module
 */
import type { Address } from "../core/agent.ts";
import type { GrantorLocation, Peers } from "../ports/peers.ts";
import type { GrantorTimes } from "./epoch_claim.ts";
import { monotonicNow, pause } from "./time.ts";

/** Successors that are asked whether they could take a group over. */
const maxSuccessorsAsked = 6;
/** Successors that are asked to take a group over once it was given up. */
const maxTransferAttempts = 3;

/** Passes groups on. */
export interface GroupTransfer {
  /**
   * Passes a group on to the best successor, or keeps it: it is not moved to an
   * agent like this one.
   */
  toBestSuccessor(group: string): Promise<void>;
  /** Tries to pass a group on until this time of the monotonic clock. */
  beforeStop(group: string, end: number): Promise<void>;
}

/** Creates the transfer of the groups that this agent grants in. */
export function createGroupTransfer(options: {
  readonly peers: Peers;
  readonly times: GrantorTimes;
  /** Agents that could grant in a group, the best first. */
  readonly successors: (group: string) => readonly Address[];
  /** The grantor of this agent; null for none. */
  readonly localGrantor: (group: string) => GrantorLocation | null;
  readonly isRunning: (group: string) => boolean;
  readonly stopGrantor: (group: string) => Promise<void>;
}): GroupTransfer {
  const { peers, times } = options;

  /**
   * The agents that could take a group over now, from the first that can on: it
   * has found in the store that this one grants.
   */
  async function ableSuccessors(
    group: string,
    maxAsked: number,
  ): Promise<readonly Address[]> {
    const successors = options.successors(group);
    for (const [index, address] of successors.slice(0, maxAsked).entries()) {
      const found = await peers.call(address, "locateGrantor", {
        message: { group, unreachable: null, effort: "take-over" },
        timeoutMilliseconds: times.callTimeoutMilliseconds * 2,
      });
      if (found.isOk && found.value !== null) return successors.slice(index);
    }
    return [];
  }

  /**
   * Stops granting in a group and asks other agents in turn to take it over.
   * False, without effect, while none of the first ones could.
   */
  async function transferGroup(
    group: string,
    { maxAsked }: { readonly maxAsked: number },
  ): Promise<boolean> {
    const successors = await ableSuccessors(group, maxAsked);
    const alone = options.successors(group).length === 0;
    if (successors.length === 0 && !alone) return false;
    const unreachable = options.localGrantor(group);
    await options.stopGrantor(group);
    for (const address of successors.slice(0, maxTransferAttempts)) {
      const result = await peers.call(address, "locateGrantor", {
        message: { group, unreachable, effort: "take-over" },
        timeoutMilliseconds: times.callTimeoutMilliseconds * 3,
      });
      if (result.isOk && result.value !== null) return true;
    }
    return true;
  }

  return {
    async toBestSuccessor(group) {
      await transferGroup(group, { maxAsked: 1 });
    },
    async beforeStop(group, end) {
      const maxAsked = maxSuccessorsAsked;
      while (
        options.isRunning(group) && !await transferGroup(group, { maxAsked })
      ) {
        if (monotonicNow() >= end) return;
        await pause(times.storeRetryMilliseconds);
      }
    },
  };
}
