/**
 * Looks for proof that agents that have not responded to a new grantor no
 * longer hold anything, so that the grantor need not wait for their leases.
 *
 * @module
 */
import { type Address, type AgentId, isReplacedBy } from "../core/agent.ts";
import type { RosterEntry } from "../core/ownership/delegation.ts";
import type { Events } from "../ports/events.ts";
import type { EpochClaim, Peers } from "../ports/peers.ts";
import { monotonicNow } from "./time.ts";

/** Interval at which the addresses of unresponsive agents are called. */
const identifyIntervalMilliseconds = 1_000;

/** Checks the agents that are unresponsive by now; to be called repeatedly. */
export type CheckUnresponsive = (unresponsive: readonly RosterEntry[]) => void;

/** Creates the check of one grantor. */
export function startUnresponsiveCheck(options: {
  readonly peers: Peers;
  readonly events: Events;
  /** The claim that the agents have not answered. */
  readonly claim: EpochClaim;
  readonly callTimeoutMilliseconds: number;
  /** Whether an agent is known to have stopped as planned. */
  readonly hasDeparted: (id: AgentId) => boolean;
  /** Whether the grantor has stopped; late proofs are ignored then. */
  readonly stopped: () => boolean;
  /** Called with agents that are proved to hold nothing. */
  readonly onProvedEmpty: (ids: readonly AgentId[]) => void;
}): CheckUnresponsive {
  const { events, claim, onProvedEmpty } = options;
  const grantor = { group: claim.group, epoch: claim.epoch };
  let identifiedAt = -Infinity;

  function reportDeparted(unresponsive: readonly RosterEntry[]): void {
    const ids = unresponsive.map(({ id }) => id).filter(options.hasDeparted);
    if (ids.length === 0) return;
    events.record("departed-agents-noted", {
      ...grantor,
      agents: ids.join(","),
    });
    onProvedEmpty(ids);
  }

  /**
   * A replaced process never answers itself; another answers at its address. If
   * that is a later process of the same host, it may have started after the
   * claim was announced, and is told of it again: it then empties its target.
   */
  async function identify({ id, peerAddress }: RosterEntry): Promise<void> {
    const result = await options.peers.call(peerAddress, "identify", {
      message: {},
      timeoutMilliseconds: options.callTimeoutMilliseconds,
    });
    if (options.stopped() || result.isErr) return;
    if (!isReplacedBy(id, result.value)) return announceAgain(peerAddress);
    events.record("replaced-agent-noted", {
      ...grantor,
      agent: id,
      by: result.value,
    });
    onProvedEmpty([id]);
  }

  function announceAgain(peerAddress: Address): void {
    void options.peers.call(peerAddress, "takeEpoch", {
      message: claim,
      timeoutMilliseconds: options.callTimeoutMilliseconds,
    });
  }

  return (unresponsive) => {
    reportDeparted(unresponsive);
    const now = monotonicNow();
    if (now - identifiedAt < identifyIntervalMilliseconds) return;
    identifiedAt = now;
    for (const entry of unresponsive) void identify(entry);
  };
}
