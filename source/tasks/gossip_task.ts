/**
 * The gossip task: it exchanges the records shared by all agents with one other
 * agent at a time, and so detects which agents are lost.
 *
 * @module
 */
import {
  type Address,
  type Agent,
  type AgentId,
  departedAgent,
  type TargetPhase,
} from "../core/agent.ts";
import {
  agentKey,
  agentRecord,
  agentsOf,
  correctionRecord,
  createReplica,
  differingVersions,
  dropRecords,
  lossRecord,
  mergeRecords,
  recordOf,
  recordsOf,
  type Replica,
  rootDigest,
  type SharedRecord,
  takeUpdates,
} from "../core/dissemination/replica.ts";
import type { KeyHash } from "../core/ownership/table.ts";
import type { Events } from "../ports/events.ts";
import type {
  Comparison,
  ComparisonReply,
  Exchange,
  ExchangeReply,
  Peers,
  Transfer,
} from "../ports/peers.ts";
import { gossipCalls, type GossipTimes } from "./gossip_calls.ts";
import {
  addressesByAge,
  announcementPartners,
  choosePartner,
  maxAnnouncementPartners,
  nearAgents,
  pick,
} from "./gossip_partners.ts";
import { detectLosses, failuresBeforeLoss } from "./loss_detection.ts";
import { openMailbox } from "./mailbox.ts";
import { monotonicNow, pause } from "./time.ts";

/**
 * Whether all that any one other agent knows has been received; alone if none
 * is known.
 */
export type Consultation = "answered" | "unanswered" | "alone";

/** The running gossip task of one agent. */
export interface GossipTask {
  /** The shared records as known here. */
  replica(): Replica;
  /** All known agents, including this one and lost ones. */
  agents(): readonly Agent[];
  /** This agent as it last described itself. */
  self(): Agent;
  /** Merges records and passes them on to other agents. */
  publish(records: readonly SharedRecord[]): void;
  /** Merges records and sends them to all agents of this data centre at once. */
  publishNear(records: readonly SharedRecord[]): void;
  /** Merges records and sends them to these agents at once. */
  publishTo(agents: readonly Agent[], records: readonly SharedRecord[]): void;
  setPhase(phase: TargetPhase): void;
  /** Publishes what this agent has learnt of its target. */
  describeTarget(
    target: Partial<Pick<Agent, "phase" | "service" | "slots">>,
  ): void;
  /** Publishes the ownership group of this agent's target. */
  join(group: string): void;
  exchange(message: Exchange): ExchangeReply;
  compare(message: Comparison): ComparisonReply;
  transfer(message: Transfer): readonly SharedRecord[];
  /**
   * Exchanges with a few agents at once; resolves when these calls have ended.
   */
  announceNow(): Promise<void>;
  /**
   * Exchanges with the agents that have run for longest, a few of those known
   * that answer, and again if it learns of older ones.
   */
  consult(): Promise<Consultation>;
  /**
   * Announces to a few agents that this process has stopped as planned. Must be
   * called only when it no longer holds or grants anything.
   */
  depart(): Promise<void>;
  stop(): Promise<void>;
}

/** The rest between two rounds, as a share of what is left of the period. */
const minRestShare = 0.75;
const maxRestShare = 1.25;

/** The longest time from one round to the next, in milliseconds. */
export function longestGossipPeriod(times: GossipTimes): number {
  return times.exchangeMilliseconds * maxRestShare;
}

/** A lost agent that does not return is dropped after this time. */
const lostRetentionMilliseconds = 600_000;

type Message =
  | { readonly kind: "merge"; readonly records: readonly SharedRecord[] }
  | { readonly kind: "updatesTaken"; readonly replica: Replica }
  | { readonly kind: "describe"; readonly self: Agent };

/** Starts gossip with the record of this agent only. */
export function startGossip(options: {
  readonly agent: Agent;
  /** Addresses to exchange with while no other agent is known. */
  readonly seeds: () => Promise<readonly Address[]>;
  readonly times: GossipTimes;
  readonly peers: Peers;
  readonly events: Events;
  readonly hash: KeyHash;
  readonly random: () => number;
  readonly onChange: (replica: Replica) => void;
  readonly fresh: () => boolean;
  /** The revision of the configuration in force here. */
  readonly revision: () => number;
  /** Called with the configuration revision in force at another agent. */
  readonly onRevision: (revision: number) => void;
  /**
   * Called when an agent with a fresh configuration has answered an exchange.
   */
  readonly onConfirmed: () => void;
}): GossipTask {
  const { peers, events, random, times } = options;
  let self = options.agent;
  let replica = createReplica(options.hash);
  let agents: readonly Agent[] = [];
  let rounds = 0;
  let wake = new AbortController();
  let stopped = false;
  let lostSince: ReadonlyMap<AgentId, number> = new Map();

  const mailbox = openMailbox<Message>((message) => {
    if (message.kind === "updatesTaken") {
      replica = message.replica;
      return;
    }
    if (message.kind === "describe") self = message.self;
    const records = message.kind === "merge"
      ? message.records
      : [agentRecord(replica, self)];
    mergeIncoming(records);
  });

  function mergeIncoming(records: readonly SharedRecord[]): void {
    const before = replica;
    const wanted = records.filter((record) => !isUnknownLoss(record));
    replica = mergeRecords(replica, wanted);
    const corrected = correctionRecord(replica, self);
    if (corrected !== null) {
      replica = mergeRecords(replica, [corrected]);
      events.record("agent-refuted-loss", { phase: self.phase });
    }
    if (replica === before) return;
    agents = agentsOf(replica);
    options.onChange(replica);
  }

  /** Whether a record is the loss of an agent that is not known here. */
  function isUnknownLoss(record: SharedRecord): boolean {
    return record.value.kind === "agent" &&
      record.value.agent.phase === "lost" &&
      recordOf(replica, record.key) === null;
  }

  /** Drops agents that have been lost for longer than the retention time. */
  function forgetLost(): void {
    const now = monotonicNow();
    const lost = agents.filter((agent) => agent.phase === "lost");
    lostSince = new Map(
      lost.map((agent) => [agent.id, lostSince.get(agent.id) ?? now]),
    );
    const old = lost.filter((agent) =>
      now - (lostSince.get(agent.id) ?? now) > lostRetentionMilliseconds
    );
    if (old.length === 0) return;
    const keys = old.map((agent) => agentKey(agent.host));
    replica = dropRecords(replica, keys);
    agents = agentsOf(replica);
    options.onChange(replica);
  }

  function takePendingUpdates(): readonly SharedRecord[] {
    const taken = takeUpdates(replica);
    mailbox.send({ kind: "updatesTaken", replica: taken.replica });
    return taken.records;
  }

  function publishTo(
    receivers: readonly Agent[],
    records: readonly SharedRecord[],
  ): void {
    mailbox.send({ kind: "merge", records });
    for (const { host, peerAddress } of receivers) {
      if (host !== self.host) void calls.sendRecords(peerAddress, records);
    }
  }

  const calls = gossipCalls({
    self: () => self,
    replica: () => replica,
    takePendingUpdates,
    merge: (records) => mailbox.send({ kind: "merge", records }),
    times,
    peers,
    revision: options.revision,
    onRevision: options.onRevision,
    onConfirmed: options.onConfirmed,
  });
  const losses = detectLosses({ calls, times, onLoss: declareLoss });

  async function exchangeRound(): Promise<void> {
    rounds += 1;
    const partner = choosePartner({ agents, self }, { round: rounds, random });
    if (partner === null) {
      const seeds = await options.seeds();
      const others = seeds.filter((seed) => seed !== self.peerAddress);
      const seed = pick(others, random);
      if (seed !== null) await calls.exchangeWith(seed);
      return;
    }
    await losses.exchangeWith(partner);
  }

  function declareLoss(partner: Agent): void {
    const loss = lossRecord(replica, partner.id);
    if (loss === null) return;
    events.record("agent-lost", {
      lost: partner.id,
      failures: failuresBeforeLoss,
    });
    mailbox.send({ kind: "merge", records: [loss] });
  }

  async function run(): Promise<void> {
    while (!stopped) {
      wake = new AbortController();
      const startedAt = monotonicNow();
      forgetLost();
      await exchangeRound();
      const elapsed = monotonicNow() - startedAt;
      const rest = Math.max(0, times.exchangeMilliseconds - elapsed);
      const share = minRestShare + random() * (maxRestShare - minRestShare);
      await pause(rest * share, wake.signal);
    }
  }

  function describeTarget(
    target: Partial<Pick<Agent, "phase" | "service" | "slots">>,
  ): void {
    const next = { ...self, ...target };
    const same = next.phase === self.phase && next.slots === self.slots &&
      next.service === self.service;
    if (same) return;
    mailbox.send({ kind: "describe", self: next });
    wake.abort();
  }

  async function announceNow(): Promise<void> {
    await Promise.all(
      announcementPartners({ agents, self })
        .map(({ peerAddress }) => calls.exchangeWith(peerAddress)),
    );
  }

  /** The oldest agents, or seeds while no other agent is known. */
  async function addressesToConsult(
    failed: ReadonlySet<Address>,
  ): Promise<readonly Address[]> {
    const known = addressesByAge({ agents, self });
    const addresses = known.length > 0 ? known : await options.seeds();
    return addresses
      .filter((address) => address !== self.peerAddress && !failed.has(address))
      .slice(0, maxAnnouncementPartners);
  }

  async function consult(): Promise<Consultation> {
    const asked = new Set<Address>();
    const failed = new Set<Address>();
    for (;;) {
      const addresses = await addressesToConsult(failed);
      const next = addresses.filter((address) => !asked.has(address));
      if (next.length === 0) break;
      for (const address of next) asked.add(address);
      await Promise.all(next.map(async (address) => {
        const outcome = await calls.exchangeWith(address);
        if (outcome !== "reconciled") failed.add(address);
      }));
    }
    if (asked.size === 0) return "alone";
    return failed.size < asked.size ? "answered" : "unanswered";
  }

  mailbox.send({ kind: "describe", self });
  const running = run();

  return {
    replica: () => replica,
    agents: () => agents,
    self: () => self,
    publish(records) {
      mailbox.send({ kind: "merge", records });
      wake.abort();
    },
    publishNear: (records) => publishTo(nearAgents({ agents, self }), records),
    publishTo,
    setPhase: (phase) => describeTarget({ phase }),
    describeTarget,
    join(group) {
      mailbox.send({ kind: "describe", self: { ...self, group } });
      wake.abort();
    },
    exchange(message) {
      losses.handleCall(message.from);
      mailbox.send({ kind: "merge", records: message.news });
      options.onRevision(message.revision);
      return {
        id: self.id,
        news: takePendingUpdates(),
        root: rootDigest(replica),
        revision: options.revision(),
        fresh: options.fresh(),
      };
    },
    compare: ({ digests }) => ({
      digests: replica.digests,
      versions: differingVersions(replica, digests),
    }),
    transfer({ offered, wanted }) {
      mailbox.send({ kind: "merge", records: offered });
      return recordsOf(replica, wanted);
    },
    announceNow,
    consult,
    async depart() {
      mailbox.send({ kind: "describe", self: departedAgent(self) });
      await Promise.race([announceNow(), pause(times.callTimeoutMilliseconds)]);
    },
    async stop() {
      stopped = true;
      losses.stop();
      wake.abort();
      await running;
      mailbox.close();
    },
  };
}
