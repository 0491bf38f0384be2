/**
 * A grantor's record in the store: its delegation, which is written with each
 * checkpoint and may be replaced by others.
 *
 * @module
 */
import type { AgentId } from "../core/agent.ts";
import type { Clocks } from "../core/clocks.ts";
import {
  type Checkpoint,
  type Delegation,
  eraOf,
} from "../core/ownership/delegation.ts";
import type { Versioned } from "../ports/store.ts";
import type { GrantorOptions } from "./epoch_claim.ts";
import { pause, readClocks } from "./time.ts";

/** The stored delegation of one grantor. */
export interface DelegationRecord {
  /** The era of the store in which the epoch was claimed. */
  readonly era: number;
  /** The delegation that was last written or read. */
  current(): Delegation;
  /** Repeats a write, with the same marker, until its result is known. */
  write(checkpoint: Checkpoint): Promise<void>;
  /** Reads what others have written. */
  refresh(): Promise<void>;
  /** Whether an earlier grantor is known to have stopped. */
  hasStopped(grantor: AgentId): boolean;
  recordStopped(grantor: AgentId): void;
}

/** Opens the record of a grantor that has claimed its epoch. */
export function openDelegationRecord(
  options:
    & Pick<
      GrantorOptions,
      "group" | "delegations" | "storeEra" | "newWriterMark" | "times"
    >
    & {
      readonly stored: Versioned<Delegation>;
      /** Earlier grantors that are known to have stopped. */
      readonly stoppedGrantors: readonly AgentId[];
      /** Whether the grantor has stopped. */
      readonly stopped: () => boolean;
      /** Whether the delegation has ended. */
      readonly ended: () => boolean;
      /** Whether a checkpoint is not yet confirmed. */
      readonly isWriting: () => boolean;
      readonly mayHaveUnlistedServers: () => boolean;
      /** Called with the epoch of a record that others have written. */
      readonly onFound: (epoch: number) => void;
      /** Called when a checkpoint is stored, with when it was first sent. */
      readonly onConfirmed: (askedAt: Clocks) => void;
    },
): DelegationRecord {
  const { group, stopped } = options;
  let { stored, stoppedGrantors } = options;
  const era = eraOf(stored.value);

  async function write(checkpoint: Checkpoint): Promise<void> {
    const value: Delegation = {
      ...stored.value,
      ...checkpoint,
      earlierGrantors: stored.value.earlierGrantors.filter((id) =>
        !stoppedGrantors.includes(id)
      ),
      unlistedServers: options.mayHaveUnlistedServers() ? true : undefined,
      writerMark: options.newWriterMark(),
    };
    const firstAskedAt = readClocks();
    while (!stopped() && !options.ended()) {
      const askedAt = readClocks();
      const comparison = await compareStored();
      if (comparison === "other-era") return;
      if (comparison === "unknown") {
        await pause(options.times.storeRetryMilliseconds);
        continue;
      }
      const result = await options.delegations.write(group, value, {
        version: stored.version,
        era,
      });
      if (result.isOk) {
        stored = { value, version: result.value };
        return options.onConfirmed(askedAt);
      }
      const found = await options.delegations.read(group);
      if (found.isOk && found.value !== null) {
        // This agent claims the group again.
        if (isOfOtherEra(found.value)) return;
        if (found.value.value.writerMark === value.writerMark) {
          stored = found.value;
          return options.onConfirmed(firstAskedAt);
        }
        if (!adoptStored(found.value)) return;
      }
      await pause(options.times.storeRetryMilliseconds);
    }
  }

  function isOfOtherEra(found: Versioned<Delegation>): boolean {
    return (found.era ?? 0) !== era;
  }

  /**
   * Compares the record with the one that the next write is meant for. After
   * the store has gone back, another record may have been given its version. A
   * store without eras never goes back.
   */
  async function compareStored(): Promise<
    "same-era" | "other-era" | "unknown"
  > {
    if (options.storeEra().era !== era) return "other-era";
    if (era === 0) return "same-era";
    const found = await options.delegations.read(group);
    if (found.isErr) return "unknown";
    if (options.storeEra().era !== era) return "other-era";
    if (found.value === null) return "same-era";
    return isOfOtherEra(found.value) ? "other-era" : "same-era";
  }

  /**
   * Adopts a delegation written by others; false if this grantor is superseded.
   */
  function adoptStored(found: Versioned<Delegation>): boolean {
    options.onFound(found.value.epoch);
    if (stopped()) return false;
    const still = new Set(found.value.earlierGrantors);
    const gone = stored.value.earlierGrantors.filter((id) => !still.has(id));
    stoppedGrantors = [...stoppedGrantors, ...gone];
    stored = found;
    return true;
  }

  return {
    era,
    current: () => stored.value,
    write,
    async refresh() {
      const found = await options.delegations.read(group);
      // A write that has started meanwhile reads the store itself if needed.
      if (stopped() || options.isWriting() || found.isErr) return;
      if (found.value === null || isOfOtherEra(found.value)) return;
      adoptStored(found.value);
    },
    hasStopped: (grantor) => stoppedGrantors.includes(grantor),
    recordStopped(grantor) {
      stoppedGrantors = [...stoppedGrantors, grantor];
    },
  };
}
