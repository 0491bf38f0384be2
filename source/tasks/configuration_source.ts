/**
 * Where the configuration of an agent comes from, and what the coordinator and
 * its source offer to each other.
 *
 * @module
 */
import type { Address, Agent } from "../core/agent.ts";
import type { Replica, SharedRecord } from "../core/dissemination/replica.ts";
import type { Configuration } from "../core/document/document.ts";
import type { CensusReply, WatchReport } from "../ports/peers.ts";

/** What a coordinator offers to its configuration source. */
export interface SourceContext {
  readonly agent: Agent;
  agents(): readonly Agent[];
  /** Spreads records to all agents. */
  publish(records: readonly SharedRecord[]): void;
  /** Spreads records to all agents of this data centre at once. */
  publishNear(records: readonly SharedRecord[]): void;
  /** Spreads records to these agents at once. */
  publishTo(agents: readonly Agent[], records: readonly SharedRecord[]): void;
  /** Reports to these agents whether this one reaches the store. */
  reportWatch(agents: readonly Agent[], report: WatchReport): void;
  /** Replaces the list of agents that have stopped as planned. */
  recordDepartures(departures: readonly Agent[]): void;
  /** Puts a configuration of a newer revision into force on this agent. */
  apply(configuration: Configuration): void;
  /** The configuration in force on this agent. */
  current(): Configuration;
  /** Collects the revisions that all agents apply. */
  census(): Promise<CensusReply>;
}

/** Source of the configuration and of the first peer addresses. */
export interface ConfigurationSource {
  /** Peer addresses of agents to contact first. */
  seeds(): Promise<readonly Address[]>;
  /** Called when the records received from other agents have changed. */
  handleReplicaChange(replica: Replica): void;
  /** Called with the configuration revision in force at another agent. */
  handlePeerRevision(revision: number): void;
  /** Called when an agent with a fresh configuration has answered. */
  handlePeerConfirmation(): void;
  /** Called with what another agent reports of its access to the store. */
  handleWatchReport(report: WatchReport): void;
  /** Whether the configuration may be considered up to date. */
  fresh(): boolean;
  stop(): Promise<void>;
}

/** Starts a source of configurations. */
export type StartSource = (context: SourceContext) => ConfigurationSource;
