/**
 * The message that a grantor which has stopped sends to its successor.
 *
 * @module
 */
import type { AgentId } from "../agent.ts";

/** Slices that are not assigned to another server before a wait has ended. */
export interface WaitingSlices {
  /** The server that may hold them; null if not known. */
  readonly owner: AgentId | null;
  readonly slices: readonly number[];
  /** Time until the owner's lease, and work under it, must have ended. */
  readonly milliseconds: number;
}

/** The slices that a grantor left reserved or held; all others are free. */
export interface Handover {
  readonly epoch: number;
  /** Number of slices known to the grantor; it granted none beyond these. */
  readonly sliceCount: number;
  readonly waiting: readonly WaitingSlices[];
}
