/**
 * The delegation: the record in the store that says which agent may grant the
 * slices of a group.
 *
 * @module
 */
import type { Address, AgentId } from "../agent.ts";
import type { IsolatedKey } from "./table.ts";
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
}

/** The delegation with which a group is claimed after `previous`, if any. */
export function successorDelegation(
  previous: Delegation | null,
  claim: Omit<Delegation, "epoch" | "earlierGrantors" | keyof Checkpoint>,
): Delegation {
  return {
    ...claim,
    epoch: (previous?.epoch ?? 0) + 1,
    hashedSlices: previous?.hashedSlices ?? claim.hashedSlices,
    roster: previous?.roster ?? [],
    earlierMayGrant: previous !== null,
    earlierGrantors: previous === null ? [] : earlierGrantorsOf(previous),
    isolatedKeys: previous?.isolatedKeys ?? [],
  };
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
