/**
 * The delegation: the store's record of who may grant slices of a group.
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
   * No grant up to this token binds anybody to the server any more: the newest
   * token as it was let in. Left out by grantors of an earlier release.
   */
  readonly since?: FencingToken | undefined;
}

/** What a grantor writes to the store while its epoch lasts. */
export type Checkpoint = Pick<
  Delegation,
  "roster" | "earlierMayGrant" | "isolatedKeys"
>;

/**
 * Invariants: a grantor grants only to servers in the stored roster, and gives
 * a lost server's slices on only after a write that drops it from there. So a
 * successor that has heard from the whole roster knows every grant, and what
 * one of them has not released is still its own.
 */
export interface Delegation {
  readonly group: string;
  readonly grantor: AgentId;
  readonly grantorAddress: Address;
  readonly epoch: number;
  /** How long the grantor may grant after each successful write. */
  readonly durationMilliseconds: number;
  readonly roster: readonly RosterEntry[];
  /**
   * Whether a grantor before this one may still renew a server's lease: set
   * by every claim, and cleared once the whole roster has been heard.
   */
  readonly earlierMayGrant: boolean;
  /** Those earlier grantors, as far as they have not been proved stopped. */
  readonly earlierGrantors: readonly AgentId[];
  /**
   * Slices that keys are hashed to: those of the group's first grantor, for
   * ever. Servers that divide the keys in two ways may both hold one key.
   */
  readonly hashedSlices: number;
  /**
   * Keys with a slice of their own. Stored before any holder hears of them, so
   * that no successor maps such a key to a slice that another server has.
   */
  readonly isolatedKeys: readonly IsolatedKey[];
  /** Unique to each write, so that a lost reply can be settled by reading. */
  readonly writerMark: string;
}

/** The delegation that takes a group over from `previous`. */
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

/** Who may still grant when this delegation has been replaced. */
export function earlierGrantorsOf(previous: Delegation): readonly AgentId[] {
  const before = previous.earlierMayGrant ? previous.earlierGrantors : [];
  return [...new Set([...before, previous.grantor])];
}

/** Whether a roster names this server. */
export function inRoster(roster: readonly RosterEntry[], id: AgentId): boolean {
  return roster.some((entry) => entry.id === id);
}
