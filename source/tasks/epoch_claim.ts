/**
 * The steps of a takeover: claiming the group's next epoch in the store,
 * stopping the former grantor and announcing the epoch to the group's servers.
 *
 * @module
 */
import type { Agent, AgentId } from "../core/agent.ts";
import type { Clocks } from "../core/clocks.ts";
import {
  type Delegation,
  earlierGrantorsOf,
  eraOf,
  type LostRecord,
  successorDelegation,
} from "../core/ownership/delegation.ts";
import type { GrantorSettings } from "../core/ownership/grantor_state.ts";
import type { Handover } from "../core/ownership/handover_message.ts";
import type { TakeoverAnswer } from "../core/ownership/renewal.ts";
import {
  earlierErasEndAt,
  epochLimit,
  type StoreEra,
} from "../core/ownership/store_era.ts";
import type { Events } from "../ports/events.ts";
import type { Peers } from "../ports/peers.ts";
import type { Repository, Versioned } from "../ports/store.ts";
import { readClocks } from "./time.ts";

/** Durations of a grantor, in milliseconds. */
export interface GrantorTimes {
  readonly tickMilliseconds: number;
  readonly callTimeoutMilliseconds: number;
  readonly storeRetryMilliseconds: number;
}

/** What a grantor needs. */
export interface GrantorOptions {
  readonly agent: Agent;
  readonly group: string;
  readonly settings: GrantorSettings;
  readonly times: GrantorTimes;
  readonly delegations: Repository<Delegation>;
  readonly peers: Peers;
  readonly events: Events;
  /** Returns a marker that is unique to one write to the store. */
  readonly newWriterMark: () => string;
  /** The stored delegation that the new grantor succeeds; null for none. */
  readonly former: Versioned<Delegation> | null;
  /**
   * What is known of the group otherwise, where the store may have lost that
   * delegation or a later one; null where it has not.
   */
  readonly lost: LostRecord | null;
  /** The era of the store, as far as this agent knows. */
  readonly storeEra: () => StoreEra;
  /** False when the grantor of that delegation has just failed to answer. */
  readonly formerReachable: boolean;
  /** The handover state of this agent's own grantor of an epoch, or null. */
  readonly ownHandover: (epoch: number) => Handover | null;
  /** Whether the process of an agent is known to have ended. */
  readonly hasEnded: (id: AgentId) => boolean;
  /** Whether an agent is known to have stopped as planned, holding nothing. */
  readonly hasDeparted: (id: AgentId) => boolean;
  /** The same, as far as other agents have told: the store is not read. */
  readonly isToldDeparted: (id: AgentId) => boolean;
  /** How many servers of a group are known to run. */
  readonly runningServers: (group: string) => number;
  /** Called once the store has the epoch, before any agent is asked. */
  readonly onClaimed: (epoch: number) => void;
}

/** An epoch that the store has accepted. */
export interface ClaimedEpoch {
  readonly stored: Versioned<Delegation>;
  /** When the write was started. */
  readonly askedAt: Clocks;
  readonly former: Delegation | null;
}

/**
 * Earlier grantors that may still grant: they have neither ended nor been
 * sealed. Grantors of this agent are left out, as they stopped before its
 * claim.
 */
export function findUnendedGrantors(
  options: GrantorOptions,
  claim: ClaimedEpoch,
  sealed: AgentId | undefined,
): readonly AgentId[] {
  if (claim.former === null) return [];
  return earlierGrantorsOf(claim.former).filter((id) =>
    id !== sealed && id !== options.agent.id && !options.hasEnded(id)
  );
}

/**
 * Claims the next epoch; null when the store can't be written or another
 * grantor has claimed the epoch first.
 */
export async function claimEpoch(
  options: GrantorOptions,
): Promise<ClaimedEpoch | null> {
  const { delegations, group, agent, settings } = options;
  const { former } = options;
  const era = former === null ? options.storeEra().era : former.era ?? 0;
  const value = successorDelegation(former?.value ?? null, {
    group,
    grantor: agent.id,
    grantorAddress: agent.peerAddress,
    durationMilliseconds: settings.delegationMilliseconds,
    hashedSlices: settings.hashedSlices,
    writerMark: options.newWriterMark(),
    ...(era === 0 ? {} : { era }),
  }, options.lost);
  if (value.epoch >= epochLimit) {
    const { epoch } = value;
    const reason = "epoch-limit";
    options.events.record("takeover-declined", { group, epoch, reason });
    return null;
  }
  const askedAt = readClocks();
  const version = former?.version ?? null;
  const written = await delegations.write(group, value, { version, era });
  const stored = written.isOk
    ? { value, version: written.value, era }
    : await findOwnWrite(options, value.writerMark);
  if (stored === null) return null;
  return { stored, askedAt, former: former?.value ?? null };
}

/**
 * Finds out by its marker whether a write with a lost reply took effect. In
 * another era it doesn't count: it may have replaced a state of the object that
 * it wasn't meant for.
 */
async function findOwnWrite(
  options: GrantorOptions,
  mark: string,
): Promise<Versioned<Delegation> | null> {
  const read = await options.delegations.read(options.group);
  if (read.isErr || read.value === null) return null;
  const { value, era = 0 } = read.value;
  return value.writerMark === mark && eraOf(value) === era ? read.value : null;
}

/** Whether the store has gone back since the claimed record was written. */
export function isFormerOutdated(
  { former, stored }: Pick<ClaimedEpoch, "former" | "stored">,
): boolean {
  return former !== null && eraOf(former) < eraOf(stored.value);
}

/**
 * Until when servers outside the stored roster may have grants, on the
 * monotonic clock; null if none may.
 */
export function unlistedServersUntil(
  options: Pick<GrantorOptions, "settings" | "storeEra">,
  claim: ClaimedEpoch,
): number | null {
  if (claim.stored.value.unlistedServers !== true) return null;
  const { settings } = options;
  const end = earlierErasEndAt(options.storeEra().since, {
    ...settings,
    delegationMilliseconds: Math.max(
      settings.delegationMilliseconds,
      claim.former?.durationMilliseconds ?? 0,
    ),
  });
  return end > claim.askedAt.monotonic ? end : null;
}

/** The result of asking the former grantor to stop. */
export interface SealResult {
  /** Whether it has definitely stopped granting. */
  readonly stopped: boolean;
  /** Its state for the new grantor; null when it could not be fetched. */
  readonly handover: Handover | null;
}

/** Asks the former grantor to stop and fetches its handover state. */
export async function sealFormerGrantor(
  options: GrantorOptions,
  claim: ClaimedEpoch,
): Promise<SealResult> {
  const { former } = claim;
  if (former === null) return { stopped: true, handover: null };
  if (former.grantor === options.agent.id) {
    return { stopped: true, handover: options.ownHandover(former.epoch) };
  }
  const { peers, group, times } = options;
  const timeoutMilliseconds = times.callTimeoutMilliseconds;
  const sealed = await peers.call(former.grantorAddress, "sealGrantor", {
    message: {
      group,
      epoch: claim.stored.value.epoch,
      grantorAddress: options.agent.peerAddress,
      grantor: former.grantor,
    },
    timeoutMilliseconds,
  });
  if (sealed.isErr || !sealed.value) return { stopped: false, handover: null };
  const fetched = await peers.call(former.grantorAddress, "handover", {
    message: { group, epoch: former.epoch },
    timeoutMilliseconds,
  });
  return { stopped: true, handover: fetched.isOk ? fetched.value : null };
}

/** Announces the epoch to the servers; returns the answers received in time. */
export async function announceEpoch(
  options: GrantorOptions,
  claim: ClaimedEpoch,
): Promise<readonly TakeoverAnswer[]> {
  const { epoch, roster } = claim.stored.value;
  const answers = await Promise.all(roster.map(async (entry) => {
    const result = await options.peers.call(entry.peerAddress, "takeEpoch", {
      message: {
        group: options.group,
        epoch,
        grantorAddress: options.agent.peerAddress,
      },
      timeoutMilliseconds: options.times.callTimeoutMilliseconds,
    });
    if (result.isErr || result.value === null) return [];
    return result.value.id === entry.id ? [result.value] : [];
  }));
  return answers.flat();
}
