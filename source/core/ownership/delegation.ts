/**
 * The delegation: the record in the store that says which agent may grant the
 * slices of a group.
 *
 * @module
 */
import type { Address, AgentId } from "../agent.ts";
import { nextEpoch } from "./store_era.ts";
import type { IsolatedKey, OwnershipTable } from "./table.ts";
import type { FencingToken } from "./token.ts";

/** A server that the grantor may grant to. */
export interface RosterEntry {
  readonly id: AgentId;
  readonly peerAddress: Address;
  /**
   * The newest token when the server joined the roster. Grants up to this token
   * no longer reserve a slice for the server. Left out by grantors of an
   * earlier release.
   */
  readonly since?: FencingToken | undefined;
}

/** The fields that a grantor writes to the store during its epoch. */
export type Checkpoint = Pick<
  Delegation,
  "roster" | "earlierMayGrant" | "isolatedKeys"
>;

/**
 * A group's record in the store.
 *
 * Invariants: a grantor grants only to servers in the stored roster, and
 * reassigns a lost server's slices only after a write that removes the server
 * from the roster. So a successor that has an answer from every server of the
 * roster knows every grant, and a slice that a server of the roster has not
 * released is still that server's.
 */
export interface Delegation {
  readonly group: string;
  readonly grantor: AgentId;
  readonly grantorAddress: Address;
  readonly epoch: number;
  /** Time for which the grantor may grant after each successful write. */
  readonly durationMilliseconds: number;
  readonly roster: readonly RosterEntry[];
  /**
   * Whether an earlier grantor may still renew a server's lease. Set by every
   * claim, and cleared once every server of the roster has responded.
   */
  readonly earlierMayGrant: boolean;
  /** The earlier grantors that are not known to have stopped. */
  readonly earlierGrantors: readonly AgentId[];
  /**
   * Number of slices that keys are hashed to. It is fixed by the group's first
   * grantor and never changes: two servers that map keys to slices differently
   * could both hold the same key.
   */
  readonly hashedSlices: number;
  /**
   * Keys with a slice of their own. Stored before any holder learns of them, so
   * that no successor maps such a key to a slice that another server has.
   */
  readonly isolatedKeys: readonly IsolatedKey[];
  /** Unique to each write: after a lost reply, a read shows if it succeeded. */
  readonly writerMark: string;
  /**
   * The era of the store in which it was written; left out for era 0. A record
   * of an earlier era than the store's is a copy, and may be outdated.
   */
  readonly era?: number | undefined;
  /**
   * Whether servers outside the roster may have grants of an earlier era.
   * Cleared once these must have ended.
   */
  readonly unlistedServers?: boolean | undefined;
}

/** What is known of a group whose record may have been lost by the store. */
export interface LostRecord {
  /** Servers that may have grants, besides those of the record. */
  readonly servers: readonly RosterEntry[];
  /** The newest table that a server of the group has; null for none. */
  readonly table: OwnershipTable | null;
  /** The highest epoch that is known to have been accepted; 0 for none. */
  readonly acceptedEpoch: number;
}

/** The delegation with which a group is claimed after `previous`, if any. */
export function successorDelegation(
  previous: Delegation | null,
  claim: Omit<
    Delegation,
    "epoch" | "earlierGrantors" | "unlistedServers" | keyof Checkpoint
  >,
  lost: LostRecord | null = null,
): Delegation {
  const epoch = nextEpoch(
    previous === null ? null : { epoch: previous.epoch, era: eraOf(previous) },
    { era: claim.era ?? 0, acceptedEpoch: lost?.acceptedEpoch ?? 0 },
  );
  const successor: Delegation = {
    ...claim,
    epoch,
    hashedSlices: previous?.hashedSlices ?? lost?.table?.hashedSlices ??
      claim.hashedSlices,
    roster: previous?.roster ?? [],
    earlierMayGrant: previous !== null,
    earlierGrantors: previous === null ? [] : earlierGrantorsOf(previous),
    isolatedKeys: previous?.isolatedKeys ?? [],
    ...(previous?.unlistedServers === true ? { unlistedServers: true } : {}),
  };
  return lost === null ? successor : {
    ...successor,
    roster: rosterAfterLoss(successor, lost.servers),
    earlierMayGrant: true,
    isolatedKeys: newestIsolatedKeys(previous, lost.table),
    unlistedServers: true,
  };
}

/** The era in which a delegation was written. */
export function eraOf(delegation: Pick<Delegation, "era">): number {
  return delegation.era ?? 0;
}

/**
 * All servers that may have grants. What they were granted before is reserved
 * for them only as long as their lease lasts: the lost record may not have had
 * them any more, so that their slices were given on.
 */
function rosterAfterLoss(
  { roster, epoch }: Pick<Delegation, "roster" | "epoch">,
  servers: readonly RosterEntry[],
): readonly RosterEntry[] {
  const since = { epoch, sequence: 0 };
  return mergeRosters(roster, servers).map(({ id, peerAddress }) => ({
    id,
    peerAddress,
    since,
  }));
}

/** The servers of both rosters. */
export function mergeRosters(
  roster: readonly RosterEntry[],
  others: readonly RosterEntry[],
): readonly RosterEntry[] {
  return [...roster, ...others.filter(({ id }) => !inRoster(roster, id))];
}

/**
 * A server that was granted a slice has a table that was no older, so that the
 * newest table has each key whose slice may have been moved.
 */
function newestIsolatedKeys(
  previous: Delegation | null,
  table: OwnershipTable | null,
): readonly IsolatedKey[] {
  const stored = previous?.isolatedKeys ?? [];
  if (table === null || table.version.epoch < (previous?.epoch ?? 0)) {
    return stored;
  }
  return table.isolatedKeys;
}

/** The grantors that may still grant once `previous` has been replaced. */
export function earlierGrantorsOf(previous: Delegation): readonly AgentId[] {
  const before = previous.earlierMayGrant ? previous.earlierGrantors : [];
  return [...new Set([...before, previous.grantor])];
}

/** Whether a roster contains a server. */
export function inRoster(roster: readonly RosterEntry[], id: AgentId): boolean {
  return roster.some((entry) => entry.id === id);
}
