/**
 * What a grantor that has stopped tells its successor.
 *
 * @module
 */
import type { AgentId } from "../agent.ts";

/** Slices that are given to nobody else before a wait has ended. */
export interface WaitingSlices {
  /** Who may hold them; null where that is not known. */
  readonly owner: AgentId | null;
  readonly slices: readonly number[];
  /** Until the owner's lease, and work under it, must have ended. */
  readonly milliseconds: number;
}

/** The slices of a group as its grantor left them; all others are free. */
export interface Handover {
  readonly epoch: number;
  /** Slices that the grantor knew; it has told nobody of later ones. */
  readonly sliceCount: number;
  readonly waiting: readonly WaitingSlices[];
}
