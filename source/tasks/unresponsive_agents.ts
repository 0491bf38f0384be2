/**
 * Looks for proof that agents that have not responded to a new grantor no
 * longer hold anything, so that the grantor need not wait for their leases.
 *
 * @module
 */
import { type AgentId, isReplacedBy } from "../core/agent.ts";
import type { RosterEntry } from "../core/ownership/delegation.ts";
import type { EventDetail, Events } from "../ports/events.ts";
import type { Peers } from "../ports/peers.ts";
import { monotonicNow } from "./time.ts";

/** Interval at which the addresses of unresponsive agents are called. */
const identifyIntervalMilliseconds = 1_000;

/** Checks the agents that are unresponsive by now; to be called repeatedly. */
export type CheckUnresponsive = (unresponsive: readonly RosterEntry[]) => void;

/** Creates the check of one grantor. */
export function startUnresponsiveCheck(options: {
  readonly peers: Peers;
  readonly events: Events;
  /** Fields that identify the grantor in each event. */
  readonly grantor: EventDetail;
  readonly callTimeoutMilliseconds: number;
  /** Whether an agent is known to have stopped as planned. */
  readonly hasDeparted: (id: AgentId) => boolean;
  /** Whether the grantor has stopped; late proofs are ignored then. */
  readonly stopped: () => boolean;
  /** Called with agents that are proved to hold nothing. */
  readonly onProvedEmpty: (ids: readonly AgentId[]) => void;
}): CheckUnresponsive {
  const { events, grantor, onProvedEmpty } = options;
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
   * A replaced process never answers itself; another answers at its address.
   */
  async function identify({ id, peerAddress }: RosterEntry): Promise<void> {
    const result = await options.peers.call(peerAddress, "identify", {
      message: {},
      timeoutMilliseconds: options.callTimeoutMilliseconds,
    });
    if (options.stopped() || result.isErr) return;
    if (!isReplacedBy(id, result.value)) return;
    events.record("replaced-agent-noted", {
      ...grantor,
      agent: id,
      by: result.value,
    });
    onProvedEmpty([id]);
  }

  return (unresponsive) => {
    reportDeparted(unresponsive);
    const now = monotonicNow();
    if (now - identifiedAt < identifyIntervalMilliseconds) return;
    identifiedAt = now;
    for (const entry of unresponsive) void identify(entry);
  };
}
