/**
 * Everything that agents agree on, wired together for one agent: who takes
 * part, the configuration in force, and who owns which slice.
 *
 * It knows its surroundings by ports only, so that a program can embed it and
 * a test can put fakes in their place.
 *
 * @module
 */
import type { Address, Agent } from "../core/agent.ts";
import type { Replica } from "../core/dissemination/replica.ts";
import { assembleConfiguration } from "../core/document/assembly.ts";
import {
  type Configuration,
  emptyConfiguration,
  type ReadDocument,
  type Service,
  serviceNamed,
} from "../core/document/document.ts";
import {
  beginFreshness,
  confirmFreshness,
  isFresh,
} from "../core/document/freshness.ts";
import type { GrantorSettings } from "../core/ownership/grantor_state.ts";
import {
  grantorCandidates,
  groupOfHost,
} from "../core/ownership/membership.ts";
import type { KeyHash, OwnershipTable } from "../core/ownership/table.ts";
import type { Events, TimelineEvent } from "../ports/events.ts";
import type { CensusReply, PeerMethods, Peers } from "../ports/peers.ts";
import { mainObject, type Store } from "../ports/store.ts";
import { takeCensus } from "./census_task.ts";
import {
  type DocumentTimes,
  isWatcher,
  startDocument,
} from "./document_task.ts";
import type { GrantorTimes } from "./grantor_task.ts";
import { type GrantorsTask, startGrantors } from "./grantors_task.ts";
import {
  type HolderTask,
  type HolderTimes,
  startHolder,
} from "./holder_task.ts";
import { peerMethods } from "./peer_methods.ts";
import {
  type SpreadTask,
  type SpreadTimes,
  startSpread,
} from "./spread_task.ts";
import { readClocks, startTicker } from "./time.ts";

/** Durations of coordination, in milliseconds. */
export interface CoordinatorTimes {
  readonly holder: HolderTimes;
  readonly grantor: GrantorTimes;
  readonly spread: SpreadTimes;
  readonly document: DocumentTimes;
  readonly leaseMilliseconds: number;
  readonly delegationMilliseconds: number;
  readonly relocationMilliseconds: number;
  readonly censusTimeoutMilliseconds: number;
  /** How long a confirmation of the configuration counts. */
  readonly freshnessMilliseconds: number;
}

/** What a coordinator needs. */
export interface CoordinatorOptions {
  /** This agent; its group is found from the configuration. */
  readonly agent: Agent;
  /** Peer addresses of some other agents; none to ask the store for them. */
  readonly seeds: readonly Address[];
  readonly times: CoordinatorTimes;
  readonly store: Store;
  readonly peers: Peers;
  readonly events: Events;
  readonly hash: KeyHash;
  /** Returns a number from 0 up to but not including 1. */
  readonly random: () => number;
  /** Returns a text that no other write to the store carries. */
  readonly newMark: () => string;
  readonly readDocument: (text: string) => ReadDocument;
  readonly eventsAfter: (logicalTime: number) => readonly TimelineEvent[];
  readonly onConfiguration: (configuration: Configuration) => void;
}

/** A running coordinator. */
export interface Coordinator {
  readonly spread: SpreadTask;
  readonly grantors: GrantorsTask;
  /** What to serve to other agents. */
  readonly methods: PeerMethods;
  configuration(): Configuration;
  /** Whether the configuration may be trusted. */
  fresh(): boolean;
  /** Null for a service without keys, and until the configuration is known. */
  holder(): HolderTask | null;
  /** The newest table of a group that this agent has itself; null for none. */
  table(group: string): OwnershipTable | null;
  /** Tells all others whether the target takes new work. */
  setLeaving(leaving: boolean): void;
  /** Takes up no new role; the first step of a planned stop. */
  beginStop(): Promise<void>;
  stop(): Promise<void>;
}

const movesAtOnce = 8;
const isolatedKeysPerGroup = 32;

/** Starts taking part. */
export function startCoordinator(options: CoordinatorOptions): Coordinator {
  const { agent, times, store, peers, events, hash } = options;
  let configuration: Configuration = emptyConfiguration;
  let freshness = beginFreshness(times.freshnessMilliseconds);
  let holder: HolderTask | null = null;
  let stopping = false;

  const fresh = () => isFresh(freshness, readClocks());

  function confirm(): void {
    if (!fresh()) events.record("configuration-fresh");
    freshness = confirmFreshness(freshness, readClocks());
  }

  const spread = startSpread({
    agent,
    seeds: findSeeds,
    times: times.spread,
    peers,
    events,
    hash,
    random: options.random,
    onChange: applyRecords,
    fresh,
    onConfirmed: confirm,
  });

  async function findSeeds(): Promise<readonly Address[]> {
    if (options.seeds.length > 0) return options.seeds;
    const stored = await store.seeds.read(mainObject);
    return stored.isOk ? stored.value?.value.addresses ?? [] : [];
  }

  function applyRecords(replica: Replica): void {
    const next = assembleConfiguration(replica, configuration);
    if (next === null) return;
    configuration = next;
    events.record("revision-applied", { revision: next.revision });
    options.onConfiguration(next);
    const service = serviceNamed(next, agent.service);
    if (service !== null && holder === null) holder = beginHolding(service);
  }

  function beginHolding(service: Service): HolderTask | null {
    if (service.keys === null || stopping) return null;
    const group = groupOfHost(agent.host, {
      service: service.name,
      groups: service.keys.groups,
      hash,
    });
    spread.join(group);
    return startHolder({
      agent: { ...agent, group },
      times: times.holder,
      peers,
      events,
      hash,
      candidates: () => ({
        members: otherMembers(group),
        grantors: candidatesFor(group),
      }),
    });
  }

  function otherMembers(group: string): readonly Address[] {
    return spread.agents()
      .filter((other) => other.group === group && other.id !== agent.id)
      .filter((other) => other.phase !== "lost")
      .map((other) => other.peerAddress);
  }

  function candidatesFor(group: string): readonly Address[] {
    return grantorCandidates(group, { agents: spread.agents(), hash });
  }

  const grantors = startGrantors({
    agent,
    times: times.grantor,
    delegations: store.delegations,
    peers,
    events,
    newMark: options.newMark,
    settingsOf: (group) => grantorSettings(group, { times, configuration }),
    successors: (group) =>
      candidatesFor(group).filter((address) => address !== agent.peerAddress),
  });

  const relocation = startTicker(relocateGrantors, {
    intervalMilliseconds: times.relocationMilliseconds,
  });

  /** A grantor beside a server of its own group would be lost with it. */
  function relocateGrantors(): void {
    for (const group of grantors.groups()) {
      const [address] = candidatesFor(group);
      const best = spread.agents().find((other) =>
        other.peerAddress === address
      );
      const beside = spread.self().group === group;
      if (beside && best !== undefined && best.group !== group) {
        void grantors.relocate(group);
      }
    }
  }

  function census(
    addresses: readonly Address[] | null,
  ): Promise<CensusReply> {
    const others = spread.agents().filter((other) => other.id !== agent.id);
    return takeCensus({
      own: {
        host: agent.host,
        revision: configuration.revision,
        fresh: fresh(),
      },
      addresses: addresses ?? others.map((other) => other.peerAddress),
      peers,
      hostOf: (address) =>
        others.find((other) => other.peerAddress === address)?.host ?? address,
      timeoutMilliseconds: times.censusTimeoutMilliseconds,
    });
  }

  const document = startDocument({
    store,
    times: times.document,
    events,
    read: options.readDocument,
    watches: () => isWatcher(agent, spread.agents(), hash),
    publish: (records) => spread.publish(records),
    onConfirmed: confirm,
    census: () => census(null),
    seeds: () => seedAddresses(spread.agents(), hash),
  });

  return {
    spread,
    grantors,
    methods: peerMethods({
      spread,
      grantors,
      holder: () => holder,
      census,
      eventsAfter: options.eventsAfter,
    }),
    configuration: () => configuration,
    fresh,
    holder: () => holder,
    table(group) {
      const held = spread.self().group === group ? holder?.table() : null;
      return grantors.table(group) ?? held ?? null;
    },
    setLeaving(leaving) {
      holder?.setLeaving(leaving);
      spread.setPhase(leaving ? "leaving" : "serving");
    },
    async beginStop() {
      stopping = true;
      relocation.stop();
      await document.stop();
    },
    async stop() {
      stopping = true;
      relocation.stop();
      await document.stop();
      await holder?.stop();
      await grantors.stop();
      await spread.stop();
    },
  };
}

function seedAddresses(
  agents: readonly Agent[],
  hash: KeyHash,
): readonly Address[] {
  return agents
    .filter((agent) => agent.phase === "serving")
    .filter((agent) => isWatcher(agent, agents, hash))
    .map((agent) => agent.peerAddress)
    .sort();
}

function grantorSettings(
  group: string,
  options: {
    readonly times: CoordinatorTimes;
    readonly configuration: Configuration;
  },
): GrantorSettings | null {
  const { times, configuration } = options;
  const service = configuration.services.find((service) =>
    group.startsWith(`${service.name}.`)
  );
  if (service === undefined || service.keys === null) return null;
  return {
    leaseMilliseconds: times.leaseMilliseconds,
    longestDeadlineMilliseconds: service.longestDeadlineMilliseconds,
    hashedSlices: service.keys.slicesPerGroup,
    movesAtOnce,
    isolatedKeys: isolatedKeysPerGroup,
    delegationMilliseconds: times.delegationMilliseconds,
  };
}
