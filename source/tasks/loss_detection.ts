/**
 * Detects agents that are lost: each call to them fails, in a series of calls
 * with ever longer timeouts.
 *
 * @module
 */
import type { Agent, AgentId } from "../core/agent.ts";
import type { GossipCalls, GossipTimes } from "./gossip_calls.ts";
import { monotonicNow, pause } from "./time.ts";

/** The series of calls to agents that have failed to answer. */
export interface LossDetection {
  /** Exchanges with an agent; further calls follow if it does not answer. */
  exchangeWith(partner: Agent): Promise<void>;
  /** Ends the series of an agent that has called by itself. */
  handleCall(from: AgentId): void;
  stop(): void;
}

/** Failed calls after which an agent counts as lost. */
export const failuresBeforeLoss = 3;

/** Creates a detection without any series. */
export function detectLosses(options: {
  readonly calls: GossipCalls;
  readonly times: GossipTimes;
  /** Called with an agent that has answered no call of a series. */
  readonly onLoss: (partner: Agent) => void;
}): LossDetection {
  const { calls, times } = options;
  /** For each agent that has failed to answer, its current series of calls. */
  const suspects = new Map<AgentId, symbol>();

  /** Null for a lost agent and for one with a current series of calls. */
  function startSeries(partner: Agent): symbol | null {
    if (partner.phase === "lost" || suspects.has(partner.id)) return null;
    const series = Symbol("calls");
    suspects.set(partner.id, series);
    return series;
  }

  /**
   * Calls an agent again, doubling the timeout each time: an agent that is only
   * slow answers one of these calls and must not be declared lost to all
   * others.
   */
  async function retryExchange(partner: Agent, series: symbol): Promise<void> {
    // The series ends when the agent calls by itself or this agent stops.
    const isCurrent = () => suspects.get(partner.id) === series;
    let timeoutMilliseconds = times.callTimeoutMilliseconds;
    for (let failures = 1; failures < failuresBeforeLoss; failures += 1) {
      timeoutMilliseconds *= 2;
      const startedAt = monotonicNow();
      const outcome = await calls.exchangeWith(
        partner.peerAddress,
        timeoutMilliseconds,
      );
      if (!isCurrent()) return;
      if (outcome !== "failed") return void suspects.delete(partner.id);
      // A refused call ends at once, so the next one is delayed.
      const elapsed = monotonicNow() - startedAt;
      await pause(Math.max(0, times.exchangeMilliseconds - elapsed));
    }
    if (!isCurrent()) return;
    suspects.delete(partner.id);
    options.onLoss(partner);
  }

  return {
    async exchangeWith(partner) {
      const series = startSeries(partner);
      const outcome = await calls.exchangeWith(partner.peerAddress);
      if (outcome !== "failed") return void suspects.delete(partner.id);
      if (series !== null) void retryExchange(partner, series);
    },
    handleCall: (from) => void suspects.delete(from),
    stop: () => suspects.clear(),
  };
}
