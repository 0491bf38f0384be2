/**
 * Writes an entry of this agent again once the store has gone back to an older
 * copy, which may not have it.
 *
 * @module
 */
import { restoreDelayMilliseconds } from "../core/ownership/store_era.ts";
import type { Events } from "../ports/events.ts";
import type { StoreEraTask } from "./store_era_task.ts";
import { pause } from "./time.ts";

/** What is written again, and when. */
export interface EntryRestoreOptions {
  readonly storeEra: StoreEraTask;
  /** The name of the entry in the log. */
  readonly entry: string;
  /** How many agents are known to write their entries as well. */
  readonly agents: () => number;
  /** Returns a number from 0 up to but not including 1. */
  readonly random: () => number;
  readonly retryMilliseconds: number;
  readonly stopped: AbortSignal;
  readonly events: Events;
  /** Whether there is anything to write. */
  readonly exists: () => boolean;
  /** Whether it was written as it is now. */
  readonly write: () => Promise<boolean>;
}

/** Starts to wait for changes of the era. */
export function startEntryRestore(options: EntryRestoreOptions): void {
  const { storeEra, entry, stopped, events } = options;

  async function restore(era: number): Promise<void> {
    await pause(
      restoreDelayMilliseconds(options.agents(), options.random()),
      stopped,
    );
    // A later change starts this anew.
    const isCurrent = () => !stopped.aborted && storeEra.current().era === era;
    while (isCurrent() && options.exists()) {
      if (await options.write()) {
        return events.record("entries-restored", { entry, era });
      }
      await pause(options.retryMilliseconds, stopped);
    }
  }

  storeEra.onChange((era) => void restore(era));
}
