/**
 * The delegation: the store's record of who may grant slices of a group.
 *
 * @module
 */
import type { Address, AgentId } from "../agent.ts";

/** A server that the grantor may grant to. */
export interface RosterEntry {
  readonly id: AgentId;
  readonly peerAddress: Address;
}

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
  /** Unique to each write, so that a lost reply can be settled by reading. */
  readonly writerMark: string;
}

/** The delegation that takes a group over from `previous`. */
export function successorDelegation(
  previous: Delegation | null,
  claim: Omit<Delegation, "epoch" | "roster">,
): Delegation {
  return {
    ...claim,
    epoch: (previous?.epoch ?? 0) + 1,
    roster: previous?.roster ?? [],
  };
}
