/**
 * How a group goes on after the store has gone back to an older copy, which has
 * no record of the group or an outdated one: its grantor claims it again, and
 * if that is lost, another agent does, by what the group's servers know.
 *
 * @module
 */
import type { Agent } from "../core/agent.ts";
import { isRenewedInTime } from "../core/ownership/checkpoint.ts";
import {
  type Delegation,
  eraOf,
  type LostRecord,
  mergeRosters,
  type RosterEntry,
} from "../core/ownership/delegation.ts";
import type { GrantorSettings } from "../core/ownership/grantor_state.ts";
import type { RosterReply } from "../core/ownership/roster_poll.ts";
import {
  earlierErasEndAt,
  type StoreEra,
} from "../core/ownership/store_era.ts";
import { newerTable, type OwnershipTable } from "../core/ownership/table.ts";
import { compareTokens, noToken } from "../core/ownership/token.ts";
import type { Events } from "../ports/events.ts";
import type { GrantorLocation, Peers } from "../ports/peers.ts";
import type { Repository, Versioned } from "../ports/store.ts";
import type { Consultation } from "./gossip_task.ts";
import type { GrantorOptions, GrantorTimes } from "./epoch_claim.ts";
import type { GrantorTask } from "./grantor_task.ts";
import {
  pollRoster,
  type RosterPollResult,
  rosterPollTimeoutCalls,
} from "./roster_poll_task.ts";
import { monotonicNow, pause } from "./time.ts";

/** What an agent knows of a group without the store. */
export interface GroupKnowledge {
  /** How long the delegations of this release last. */
  readonly delegationMilliseconds: number;
  /** The servers of a group that are known to run. */
  readonly members: (group: string) => readonly RosterEntry[];
  /** The newest table of a group that this agent has; null for none. */
  readonly tableOf: (group: string) => OwnershipTable | null;
  /** Exchanges what is known with a few other agents, the oldest ones. */
  readonly consultOthers: () => Promise<Consultation>;
  /** The longest time between two exchanges of gossip. */
  readonly gossipMilliseconds: number;
}

/** The state of a delegation's grantor, as its agent reports it. */
export type GrantorStatus = "grants" | "stopped" | "unreachable";

/** What has become of a group's record that the store doesn't have. */
export type MissingRecord = "lost" | "never-written" | "unknown";

/** A group's record in the store; null for none. */
type Found = Versioned<Delegation> | null;

/**
 * Whether the store may have lost a claim of the group that came after the
 * record that it has, or instead of none.
 */
export function mayBeLost(found: Found, known: StoreEra): boolean {
  if (found === null) return known.changed;
  return eraOf(found.value) < (found.era ?? 0);
}

/** Whether a table comes from a grantor; a server begins with an empty one. */
function isGranted(table: OwnershipTable): boolean {
  return compareTokens(table.version, noToken) > 0;
}

/** The recovery of an agent's groups. */
export interface GroupRecovery {
  /**
   * Says whether the store may have lost a group's only record. Unknown while
   * an agent that has just started has not received all that another one knows,
   * or the table of each known server: it doesn't know whether the era began
   * with a change.
   */
  classifyMissingRecord(
    group: string,
    settings: GrantorSettings,
  ): Promise<MissingRecord>;
  /**
   * Takes a group over, unless its servers hear a grantor: that one claims the
   * group again itself.
   */
  takeOverIfUnheard(
    group: string,
    found: Found,
  ): Promise<GrantorLocation | null>;
  /** Claims a group again in which this agent grants. */
  restore(group: string): Promise<void>;
}

/** Returns the recovery of groups for one agent. */
export function createGroupRecovery(
  options: GroupKnowledge & {
    readonly agent: Agent;
    readonly delegations: Repository<Delegation>;
    readonly peers: Peers;
    readonly events: Events;
    readonly times: GrantorTimes;
    readonly storeEra: () => StoreEra;
    /** This agent's grantor of a group; null if it has none, or stops. */
    readonly running: (group: string) => GrantorTask | null;
    readonly mayHaveRenewed: (found: Versioned<Delegation>) => boolean;
    readonly askGrantor: (
      group: string,
      location: GrantorLocation,
    ) => Promise<GrantorStatus>;
    readonly recordDeclined: (
      former: Pick<Delegation, "group" | "epoch">,
      poll: RosterPollResult,
    ) => void;
    readonly takeOver: (
      group: string,
      claim: Pick<GrantorOptions, "former" | "formerReachable" | "lost">,
    ) => Promise<GrantorLocation | null>;
  },
): GroupRecovery {
  const { agent, peers, events, times, delegations, storeEra } = options;
  const timeoutMilliseconds = times.callTimeoutMilliseconds;
  /** Groups that are being claimed again. */
  const restoring = new Set<string>();

  /** Whether a grantor may still write the delegation that the store lost. */
  function mayHaveClaimed(): boolean {
    return isRenewedInTime(
      monotonicNow() - storeEra().since,
      options.delegationMilliseconds,
    );
  }

  /** All servers that may have grants, as far as is known here. */
  function serversOf(
    group: string,
    found: Found,
    own: readonly RosterEntry[],
  ): readonly RosterEntry[] {
    const stored = found?.value.roster ?? [];
    return mergeRosters(mergeRosters(stored, own), options.members(group));
  }

  /** The newest table that this agent or one of the servers has. */
  async function newestTable(
    group: string,
    servers: readonly RosterEntry[],
  ): Promise<{
    readonly table: OwnershipTable | null;
    readonly allAnswered: boolean;
  }> {
    const others = servers.filter(({ id }) => id !== agent.id);
    const answers = await Promise.all(
      others.map(({ peerAddress }) =>
        peers.call(peerAddress, "table", {
          message: { group },
          timeoutMilliseconds,
        })
      ),
    );
    const received = answers.map((answer) => answer.isOk ? answer.value : null);
    const tables = [options.tableOf(group), ...received]
      .filter((table) => table !== null && isGranted(table));
    const [first = null, ...rest] = tables;
    return {
      table: first === null ? null : rest.reduce(newerTable, first),
      allAnswered: answers.every((answer) => answer.isOk),
    };
  }

  /** Asks the servers for their tables, and returns what is known. */
  async function collectLost(
    group: string,
    known: {
      readonly servers: readonly RosterEntry[];
      readonly replies: readonly RosterReply[];
    },
  ): Promise<LostRecord> {
    const { table } = await newestTable(group, known.servers);
    const accepted = known.replies.map((reply) =>
      reply.kind === "answered" ? reply.epoch : 0
    );
    return {
      servers: known.servers,
      table,
      acceptedEpoch: Math.max(0, table?.version.epoch ?? 0, ...accepted),
    };
  }

  async function takeOverIfUnheard(
    group: string,
    found: Found,
  ): Promise<GrantorLocation | null> {
    const epoch = found?.value.epoch ?? 0;
    const servers = serversOf(group, found, []);
    const poll = await pollRoster({ group, epoch, roster: servers }, {
      peers,
      timeoutMilliseconds: timeoutMilliseconds * rosterPollTimeoutCalls,
      renewed: found === null
        ? mayHaveClaimed()
        : options.mayHaveRenewed(found),
      mayBeLost: true,
    });
    if (poll.verdict !== "may-claim") {
      options.recordDeclined({ group, epoch }, poll);
      return found === null ? null : await locationIfGranting(found.value);
    }
    const lost = await collectLost(group, { servers, replies: poll.replies });
    const claim = { former: found, formerReachable: false, lost };
    return await options.takeOver(group, claim);
  }

  async function locationIfGranting(
    { group, grantorAddress, epoch }: Delegation,
  ): Promise<GrantorLocation | null> {
    if (grantorAddress === agent.peerAddress) return null;
    const location = { address: grantorAddress, epoch };
    const status = await options.askGrantor(group, location);
    return status === "grants" ? location : null;
  }

  /** False if this agent grants as before, and must try again. */
  async function restoreOver(
    grantor: GrantorTask,
    found: Found,
  ): Promise<boolean> {
    const { group } = grantor;
    // A late answer of the former era; a claim in it would not count.
    if (found !== null && (found.era ?? 0) < storeEra().era) return false;
    if (found !== null && isSupersededBy(grantor, found)) {
      const epoch = Math.max(found.value.epoch, grantor.epoch + 1);
      grantor.stopIfSuperseded(epoch);
      return true;
    }
    const servers = serversOf(group, found, grantor.roster());
    const lost = await collectLost(group, { servers, replies: [] });
    const acceptedEpoch = Math.max(lost.acceptedEpoch, grantor.epoch);
    const location = await options.takeOver(group, {
      former: found,
      formerReachable: false,
      lost: { ...lost, acceptedEpoch },
    });
    if (location === null) return false;
    events.record("delegation-restored", {
      group,
      epoch: location.epoch,
      former: grantor.epoch,
      formerEra: grantor.era,
      stored: found?.value.epoch ?? 0,
      storedEra: found === null ? 0 : eraOf(found.value),
      era: storeEra().era,
    });
    return true;
  }

  /** Whether another agent has a later epoch, or has claimed in this era. */
  function isSupersededBy(
    grantor: GrantorTask,
    found: Versioned<Delegation>,
  ): boolean {
    if (found.value.grantor === agent.id) return false;
    return found.value.epoch > grantor.epoch || !mayBeLost(found, storeEra());
  }

  async function classifyMissingRecord(
    group: string,
    settings: GrantorSettings,
  ): Promise<MissingRecord> {
    const { era, since, changed } = storeEra();
    if (changed) return "lost";
    const endedAt = earlierErasEndAt(since, settings);
    if (era === 0 || monotonicNow() > endedAt) return "never-written";
    const first = await askOthers(group);
    if (first !== "never-written") return first;
    // Another agent may have answered before it learnt of the change itself.
    await pause(options.gossipMilliseconds);
    return await askOthers(group);
  }

  async function askOthers(
    group: string,
  ): Promise<MissingRecord> {
    const consultation = await options.consultOthers();
    if (storeEra().changed) return "lost";
    if (consultation === "unanswered") return "unknown";
    const servers = options.members(group);
    const { table, allAnswered } = await newestTable(group, servers);
    if (table !== null || storeEra().changed) return "lost";
    return allAnswered ? "never-written" : "unknown";
  }

  return {
    classifyMissingRecord,
    takeOverIfUnheard,
    async restore(group) {
      if (restoring.has(group)) return;
      restoring.add(group);
      for (;;) {
        const grantor = options.running(group);
        if (grantor === null || grantor.era >= storeEra().era) break;
        const read = await delegations.read(group);
        if (options.running(group) !== grantor) continue;
        const restored = read.isOk && await restoreOver(grantor, read.value);
        if (!restored) await pause(times.storeRetryMilliseconds);
      }
      restoring.delete(group);
    },
  };
}
