/**
 * Looks for proof that agents which a new grantor has not heard from hold
 * nothing any more, so that it need not wait for their leases.
 *
 * @module
 */
import { type AgentId, isReplacedBy } from "../core/agent.ts";
import type { RosterEntry } from "../core/ownership/delegation.ts";
import type { EventDetail, Events } from "../ports/events.ts";
import type { Peers } from "../ports/peers.ts";
import { monotonicNow } from "./time.ts";

/** Agents that have not been heard from are asked for this often. */
const identifyIntervalMilliseconds = 1_000;

/** Looks once, with what is not heard of by now; to be called often. */
export type CheckUnresponsive = (unheard: readonly RosterEntry[]) => void;

/** Starts without any proof. */
export function startUnresponsiveCheck(options: {
  readonly peers: Peers;
  readonly events: Events;
  /** Begins each line. */
  readonly grantor: EventDetail;
  readonly callTimeoutMilliseconds: number;
  /** Whether an agent is known to have stopped as planned. */
  readonly hasDeparted: (id: AgentId) => boolean;
  /** Whether the grantor has stopped; then nothing is noted any more. */
  readonly stopped: () => boolean;
  /** These agents hold nothing. */
  readonly onProved: (ids: readonly AgentId[]) => void;
}): CheckUnresponsive {
  const { events, grantor, onProved } = options;
  let identifiedAt = -Infinity;

  function reportDeparted(unheard: readonly RosterEntry[]): void {
    const ids = unheard.map(({ id }) => id).filter(options.hasDeparted);
    if (ids.length === 0) return;
    events.record("departed-agents-noted", {
      ...grantor,
      agents: ids.join(","),
    });
    onProved(ids);
  }

  /** A machine that was replaced never answers for itself. */
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
    onProved([id]);
  }

  return (unheard) => {
    reportDeparted(unheard);
    const now = monotonicNow();
    if (now - identifiedAt < identifyIntervalMilliseconds) return;
    identifiedAt = now;
    for (const entry of unheard) void identify(entry);
  };
}
