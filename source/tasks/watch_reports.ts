/**
 * The task by which agents that watch the store, or may have to, report to their
 * deputies whether they reach it. An agent that reports nothing may be frozen,
 * slow or cut off, so it counts as one that doesn't.
 *
 * @module
 */
import type { Agent, AgentId } from "../core/agent.ts";
import {
  agentsAhead,
  deputiesBehind,
  rankedNear,
} from "../core/dissemination/watchers.ts";
import type { KeyHash } from "../core/ownership/table.ts";
import type { WatchReport } from "../ports/peers.ts";
import { openMailbox } from "./mailbox.ts";
import { monotonicNow, startTicker } from "./time.ts";

/** The running task. */
export interface WatchReportsTask {
  /** Must be called with whether the store has answered this agent. */
  recordAccess(reachesStore: boolean): void;
  /** Must be called with each report of another agent. */
  handle(report: WatchReport): void;
  /** Whether another agent is believed to reach the store. */
  reachesStore(agent: Agent): boolean;
  stop(): void;
}

/** Durations of the reports, in milliseconds. */
export interface WatchReportTimes {
  readonly reportMilliseconds: number;
  /** An agent whose last report is older doesn't reach the store. */
  readonly maxReportAgeMilliseconds: number;
}

/** What an agent has last reported. */
interface ReceivedReport {
  readonly reachesStore: boolean;
  readonly receivedAt: number;
}

type Message =
  | { readonly kind: "accessed"; readonly reachesStore: boolean }
  | { readonly kind: "received"; readonly report: WatchReport }
  | { readonly kind: "tick" };

/** How often reports are checked between two of them. */
const checksPerReport = 2;

/** Starts the task. An agent is believed to reach the store at first. */
export function startWatchReports(options: {
  readonly agent: Agent;
  readonly agents: () => readonly Agent[];
  readonly times: WatchReportTimes;
  readonly hash: KeyHash;
  readonly send: (receivers: readonly Agent[], report: WatchReport) => void;
  /** Called when other agents are believed to have lost or regained access. */
  readonly onChange: () => void;
}): WatchReportsTask {
  const { agent, times, hash } = options;
  let reachesStore = true;
  let received: ReadonlyMap<AgentId, ReceivedReport> = new Map();
  let checks = 0;
  let failing = "";
  let agents: readonly Agent[] = [];
  /** The watchers and deputies among `agents`. */
  let ranked: readonly Agent[] = [];

  const mailbox = openMailbox<Message>((message) => {
    switch (message.kind) {
      case "accessed":
        if (message.reachesStore === reachesStore) return;
        reachesStore = message.reachesStore;
        return report();
      case "received": {
        const { from, reachesStore } = message.report;
        const entry = { reachesStore, receivedAt: monotonicNow() };
        received = new Map(received).set(from, entry);
        return notifyOfChange();
      }
      case "tick":
        checks += 1;
        if (checks % checksPerReport === 0) report();
        expectReports();
        return notifyOfChange();
    }
  });

  function currentlyRanked(): readonly Agent[] {
    const current = options.agents();
    if (current !== agents) ranked = rankedNear(agent, current, hash);
    agents = current;
    return ranked;
  }

  function report(): void {
    const receivers = deputiesBehind(agent, currentlyRanked());
    options.send(receivers, { from: agent.id, reachesStore });
  }

  /** Waits for the reports of agents that are ahead of this one only now. */
  function expectReports(): void {
    const expected = { reachesStore: true, receivedAt: monotonicNow() };
    const ahead = agentsAhead(agent, currentlyRanked());
    received = new Map(
      ahead.map(({ id }) => [id, received.get(id) ?? expected]),
    );
  }

  function isReaching({ id }: Agent): boolean {
    const last = received.get(id);
    if (last === undefined) return true;
    const age = monotonicNow() - last.receivedAt;
    return last.reachesStore && age <= times.maxReportAgeMilliseconds;
  }

  function notifyOfChange(): void {
    const next = agentsAhead(agent, currentlyRanked())
      .filter((other) => !isReaching(other))
      .map(({ id }) => id)
      .join();
    if (next === failing) return;
    failing = next;
    options.onChange();
  }

  const ticker = startTicker(() => mailbox.send({ kind: "tick" }), {
    intervalMilliseconds: times.reportMilliseconds / checksPerReport,
  });

  return {
    recordAccess: (reachesStore) =>
      mailbox.send({ kind: "accessed", reachesStore }),
    handle: (report) => mailbox.send({ kind: "received", report }),
    reachesStore: isReaching,
    stop() {
      ticker.stop();
      mailbox.close();
    },
  };
}
