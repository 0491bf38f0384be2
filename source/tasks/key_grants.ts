/**
 * What a holder needs of the task that informs the local target of the keys it
 * holds, whichever way the target learns them.
 *
 * @module
 */
import type { Clocks } from "../core/clocks.ts";
import type { Grant } from "../core/ownership/renewal.ts";
import type { OwnershipTable } from "../core/ownership/table.ts";

/** The slices that the holder may hold now. */
export interface HeldView {
  readonly grants: readonly Grant[];
  readonly table: OwnershipTable;
  readonly leaseEndsAt: Clocks;
}

/** The running task. */
export interface KeyGrantsTask {
  /** Grants these slices, and no others, until the lease ends. */
  hold(view: HeldView): void;
  /** Takes a slice back; resolves to the state for its next holder. */
  surrender(
    grant: Grant,
    table: OwnershipTable,
  ): Promise<{ readonly handover: string | undefined }>;
  /**
   * Takes back all keys that earlier processes of this agent may have granted,
   * with a token below the first grant of this epoch. Resolves to whether the
   * target has confirmed it.
   */
  emptyTarget(epoch: number): Promise<boolean>;
  /** Whether the target has confirmed a hold of the slice that still lasts. */
  isConfirmed(slice: number): boolean;
  /**
   * Whether the target still accepts work on a slice that it is to release,
   * because it can be told so only later.
   */
  isServedUntilReleased(slice: number): boolean;
  /**
   * Called when another process has taken the target's place. Resolves once
   * that process is known to hold no key that was granted before.
   */
  replaceTarget(): Promise<void>;
}

/** Starts the task that informs the target of the keys it holds. */
export type StartKeyGrants = (options: {
  /** The target refuses the token of this slice for good. */
  readonly onSuperseded: (slice: number) => void;
}) => KeyGrantsTask;
