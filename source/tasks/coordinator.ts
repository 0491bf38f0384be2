/**
 * Wires the coordination tasks of one agent together: membership, the
 * configuration in force and the ownership of slices. The source of the
 * configuration is a function passed as an argument.
 *
 * The coordinator depends on ports only, so that programs can embed it and
 * tests can replace what surrounds it by fakes.
 *
 * @module
 */
import {
  type Address,
  type Agent,
  type AgentId,
  hasDeparted,
  hasEnded,
} from "../core/agent.ts";
import { eraRecord, toldEra } from "../core/dissemination/replica.ts";
import {
  type Configuration,
  emptyConfiguration,
} from "../core/document/document.ts";
import type { RosterEntry } from "../core/ownership/delegation.ts";
import { mayOwnKeys } from "../core/routes/allowed_regions.ts";
import { unknownEra } from "../core/ownership/store_era.ts";
import { grantorCandidates, mayJoin } from "../core/ownership/membership.ts";
import type {
  KeyHash,
  OwnershipTable,
  PlaceKey,
} from "../core/ownership/table.ts";
import type { Events, TimelineEvent } from "../ports/events.ts";
import type { CensusReply, Peers, WatchReport } from "../ports/peers.ts";
import type { Store } from "../ports/store.ts";
import { takeCensus } from "./census_task.ts";
import type {
  ConfigurationSource,
  StartSource,
} from "./configuration_source.ts";
import type { GrantorTimes } from "./epoch_claim.ts";
import { type GrantorsTask, startGrantors } from "./grantors_task.ts";
import {
  defaultGroupSettings,
  grantorSettings,
  type GroupSettings,
} from "./group_settings.ts";
import type { HolderTask, HolderTimes } from "./holder_task.ts";
import { prepareOwnHolder } from "./own_holder.ts";
import type { StartKeyGrants } from "./key_grants.ts";
import { type CoordinationMethods, peerMethods } from "./peer_methods.ts";
import type { GossipTimes } from "./gossip_calls.ts";
import {
  type GossipTask,
  longestGossipPeriod,
  startGossip,
} from "./gossip_task.ts";
import type { StoreEraTask } from "./store_era_task.ts";
import { monotonicNow, startTicker } from "./time.ts";

export { defaultGroupSettings };
export type { ConfigurationSource, GroupSettings, StartSource };

/** Durations of the coordination tasks, in milliseconds. */
export interface CoordinatorTimes {
  readonly holder: HolderTimes;
  readonly grantor: GrantorTimes;
  readonly gossip: GossipTimes;
  readonly leaseMilliseconds: number;
  readonly delegationMilliseconds: number;
  readonly relocationMilliseconds: number;
  readonly censusTimeoutMilliseconds: number;
}

/** What a coordinator needs. */
export interface CoordinatorOptions {
  /** This agent. Its group is derived from the configuration. */
  readonly agent: Agent;
  readonly times: CoordinatorTimes;
  readonly group: GroupSettings;
  readonly delegations: Store["delegations"];
  /** Left out for a store that never goes back to an older copy. */
  readonly storeEra?: StoreEraTask;
  readonly peers: Peers;
  readonly events: Events;
  readonly hash: KeyHash;
  readonly place: PlaceKey;
  /** Returns a number from 0 up to but not including 1. */
  readonly random: () => number;
  /** Returns a marker that is unique to one write to the store. */
  readonly newWriterMark: () => string;
  readonly startSource: StartSource;
  /** Null for a target that does not need to be told which keys it holds. */
  readonly startKeyGrants: StartKeyGrants | null;
  /** The target's capacity, relative to the others of its service. */
  readonly weight: () => number;
  /** The most that the target takes at this moment; null without a limit. */
  readonly weightLimit?: () => number | null;
  /** Events of this agent with a later logical time. */
  readonly eventsAfter: (logicalTime: number) => readonly TimelineEvent[];
  readonly onConfiguration: (configuration: Configuration) => void;
}

/** The running coordinator. */
export interface Coordinator {
  readonly gossip: GossipTask;
  readonly grantors: GrantorsTask;
  /** The calls that it serves to other agents. */
  readonly methods: CoordinationMethods;
  configuration(): Configuration;
  /** Whether the configuration may be considered up to date. */
  fresh(): boolean;
  /** Null for a service without keys, and until the configuration is known. */
  holder(): HolderTask | null;
  /** The newest table of a group that this agent has; null for none. */
  table(group: string): OwnershipTable | null;
  /** Announces to all agents whether the target stops taking new work. */
  setLeaving(leaving: boolean): void;
  /** Accepts no new roles from now on; the first step of a planned stop. */
  beginStop(): Promise<void>;
  stop(): Promise<void>;
}

/** The list of planned stops is read again once it is older than this. */
const maxDeparturesAgeMilliseconds = 2_000;

/** Starts the coordination tasks of one agent. */
export function startCoordinator(options: CoordinatorOptions): Coordinator {
  const { agent, times, peers, events, hash } = options;
  let configuration: Configuration = emptyConfiguration;
  let departures: readonly Agent[] = [];
  let departuresReadAt = -Infinity;

  // Messages may arrive before the source has been started.
  let source: ConfigurationSource | null = null;

  const gossip = startGossip({
    agent,
    seeds: () => source?.seeds() ?? Promise.resolve([]),
    times: times.gossip,
    peers,
    events,
    hash,
    random: options.random,
    onChange(replica) {
      const told = toldEra(replica);
      if (told !== null) options.storeEra?.handleTold(told);
      source?.handleReplicaChange(replica);
    },
    fresh: () => source?.fresh() ?? false,
    revision: () => configuration.revision,
    onRevision: (revision) => source?.handlePeerRevision(revision),
    onConfirmed: () => source?.handlePeerConfirmation(),
  });

  const ownHolder = prepareOwnHolder({
    agent,
    hash,
    isAllowed: () => isOwnerAllowed(agent),
    join: (group) => gossip.join(group),
    candidates: (group) => ({
      members: otherMembers(group),
      grantors: candidatesFor(group),
    }),
    holder: {
      times: times.holder,
      peers,
      events,
      place: options.place,
      weight: options.weight,
      weightLimit: options.weightLimit ?? (() => null),
      random: options.random,
      startKeyGrants: options.startKeyGrants,
    },
  });

  function apply(next: Configuration): void {
    if (next.revision <= configuration.revision) return;
    configuration = next;
    events.record("revision-applied", { revision: next.revision });
    options.onConfiguration(next);
    ownHolder.handleConfiguration(next);
  }

  function isOwnerAllowed({ service, place }: Agent): boolean {
    const { region } = place;
    return mayOwnKeys(configuration.hostRoutes, { service, region });
  }

  function otherMembers(group: string): readonly Address[] {
    return gossip.agents()
      .filter((other) => other.group === group && other.id !== agent.id)
      .filter((other) => other.phase !== "lost")
      .map((other) => other.peerAddress);
  }

  /** Called while a grantor waits for agents that do not answer. */
  function isKnownDeparted(id: AgentId): boolean {
    const now = monotonicNow();
    if (now - departuresReadAt > maxDeparturesAgeMilliseconds) {
      departuresReadAt = now;
      void source?.seeds();
    }
    return hasDeparted(id, [...departures, ...gossip.agents()]);
  }

  function candidatesFor(group: string): readonly Address[] {
    return grantorCandidates(group, {
      agents: gossip.agents(),
      hash,
      mayOwnKeys: isOwnerAllowed,
    });
  }

  function serversOf(group: string): readonly RosterEntry[] {
    return gossip.agents()
      .filter((other) => other.group === group && other.phase !== "lost")
      .map(({ id, peerAddress }) => ({ id, peerAddress }));
  }

  function newestTable(group: string): OwnershipTable | null {
    const own = gossip.self().group === group;
    const held = own ? ownHolder.current()?.table() : null;
    return grantors.table(group) ?? held ?? null;
  }

  const grantors = startGrantors({
    agent,
    delegationMilliseconds: times.delegationMilliseconds,
    storeEra: () => options.storeEra?.current() ?? unknownEra,
    members: serversOf,
    tableOf: newestTable,
    consultOthers: () => gossip.consult(),
    gossipMilliseconds: longestGossipPeriod(times.gossip),
    times: times.grantor,
    delegations: options.delegations,
    peers,
    events,
    newWriterMark: options.newWriterMark,
    hasEnded: (id) => hasEnded(id, [...departures, ...gossip.agents()]),
    hasDeparted: isKnownDeparted,
    isToldDeparted: (id) => hasDeparted(id, gossip.agents()),
    settingsOf: (group) =>
      grantorSettings(group, { times, configuration, sizes: options.group }),
    runningServers: (group) =>
      gossip.agents().filter((other) =>
        other.phase !== "lost" && mayJoin(other, group, isOwnerAllowed)
      ).length,
    successors: (group) =>
      candidatesFor(group).filter((address) => address !== agent.peerAddress),
  });

  options.storeEra?.onChange((era) => {
    if (options.storeEra?.current().changed) gossip.publish([eraRecord(era)]);
    grantors.handleEraChange();
  });

  const relocation = startTicker(relocateGrantors, {
    intervalMilliseconds: times.relocationMilliseconds,
  });

  /**
   * Moves grantors off servers of their own group: both would be lost at once.
   */
  function relocateGrantors(): void {
    for (const group of grantors.groups()) {
      const [address] = candidatesFor(group);
      const best = gossip.agents().find((other) =>
        other.peerAddress === address
      );
      const colocated = gossip.self().group === group;
      if (colocated && best !== undefined && best.group !== group) {
        void grantors.relocate(group);
      }
    }
  }

  function reportWatch(
    receivers: readonly Agent[],
    report: WatchReport,
  ): void {
    for (const { peerAddress } of receivers) {
      void peers.call(peerAddress, "reportWatch", {
        message: report,
        timeoutMilliseconds: times.gossip.callTimeoutMilliseconds,
      });
    }
  }

  function census(
    addresses: readonly Address[] | null,
  ): Promise<CensusReply> {
    const others = gossip.agents().filter((other) => other.id !== agent.id);
    return takeCensus({
      own: {
        host: agent.host,
        revision: configuration.revision,
        fresh: source?.fresh() ?? false,
      },
      addresses: addresses ?? others.map((other) => other.peerAddress),
      peers,
      hostOf: (address) =>
        others.find((other) => other.peerAddress === address)?.host ?? address,
      timeoutMilliseconds: times.censusTimeoutMilliseconds,
    });
  }

  source = options.startSource({
    agent,
    agents: () => gossip.agents(),
    publish: (records) => gossip.publish(records),
    publishNear: (records) => gossip.publishNear(records),
    publishTo: (agents, records) => gossip.publishTo(agents, records),
    reportWatch,
    recordDepartures(noted) {
      departures = noted;
    },
    apply,
    current: () => configuration,
    census: () => census(null),
  });
  const started = source;

  return {
    gossip,
    grantors,
    methods: peerMethods({
      gossip,
      grantors,
      holder: ownHolder.current,
      census,
      reportWatch: (report) => started.handleWatchReport(report),
      eventsAfter: options.eventsAfter,
    }),
    configuration: () => configuration,
    fresh: () => started.fresh(),
    holder: ownHolder.current,
    table: newestTable,
    setLeaving(leaving) {
      ownHolder.setLeaving(leaving);
      gossip.setPhase(leaving ? "leaving" : "serving");
    },
    async beginStop() {
      ownHolder.beginStop();
      relocation.stop();
      await started.stop();
    },
    async stop() {
      ownHolder.beginStop();
      relocation.stop();
      await started.stop();
      const holder = ownHolder.current();
      await holder?.stop();
      await grantors.stop();
      const held = holder?.heldSlices() ?? 0;
      if (held === 0) await gossip.depart();
      else events.record("departure-untold", { held });
      await gossip.stop();
    },
  };
}
