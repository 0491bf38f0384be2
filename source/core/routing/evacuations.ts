/**
 * Evacuated data centres: what watchers of the store observe, which of it they
 * distribute, and what an agent believes.
 *
 * Invariant: an agent never returns to an older list.
 *
 * @module
 */
import type { StoreEra } from "../ownership/store_era.ts";

/** The data centres that operators have evacuated. */
export interface EvacuationList {
  /** Rises each time that the store has gone back to an older copy. */
  readonly era: number;
  /** The revision of the store at which the list was in force. */
  readonly revision: number;
  readonly dataCenters: readonly string[];
}

/** What has changed since an earlier list. */
export interface EvacuationChange {
  readonly era: number;
  readonly revision: number;
  /** In their order. */
  readonly changes: readonly {
    readonly dataCenter: string;
    readonly evacuated: boolean;
  }[];
}

/** What an agent believes. Times are monotonic, in milliseconds. */
export interface EvacuationState {
  /** Null until the agent has learnt a list. */
  readonly latest: EvacuationList | null;
  /** When the agent has learnt its first list; null until then. */
  readonly firstLearntAt: number | null;
  /**
   * Data centres that the latest list lacks and that stay evacuated until then.
   */
  readonly retained: ReadonlyMap<string, number>;
}

/** The state of an agent that has just started. */
export const unknownEvacuations: EvacuationState = {
  latest: null,
  firstLearntAt: null,
  retained: new Map(),
};

/** Well above what a store writes in years at 1,200 writes a second. */
const revisionsPerEra = 2 ** 40;
/**
 * How long a data centre stays evacuated that a store which has gone back to an
 * older copy doesn't list: operators then write their entries again.
 */
export const retentionMilliseconds = 3_000;

/**
 * The version of a list among all that were distributed. It also rises when the
 * store goes back to an older copy and issues its revisions again.
 */
export function evacuationVersion(
  { era, revision }: Pick<EvacuationList, "era" | "revision">,
): number {
  return era * revisionsPerEra + revision;
}

/**
 * The list after a change; null if the store has gone back to an older copy
 * meanwhile, so that the list must be read again.
 */
export function changedList(
  list: EvacuationList,
  { era, revision, changes }: EvacuationChange,
): EvacuationList | null {
  if (era !== list.era || revision < list.revision) return null;
  const dataCenters = new Set(list.dataCenters);
  for (const { dataCenter, evacuated } of changes) {
    if (evacuated) dataCenters.add(dataCenter);
    else dataCenters.delete(dataCenter);
  }
  return { era, revision, dataCenters: [...dataCenters] };
}

/**
 * Whether a watcher has to distribute the list that it has observed, given the
 * latest that was distributed. A list that only repeats it is not distributed.
 */
export function mustDistribute(
  observed: EvacuationList,
  latest: EvacuationList | null,
): boolean {
  if (latest === null) return true;
  if (evacuationVersion(observed) <= evacuationVersion(latest)) return false;
  return observed.era !== latest.era || !hasSameDataCenters(observed, latest);
}

/** Whether both lists name the same data centres. */
export function hasSameDataCenters(
  left: EvacuationList,
  right: EvacuationList,
): boolean {
  const others = new Set(right.dataCenters);
  return new Set(left.dataCenters).size === others.size &&
    left.dataCenters.every((dataCenter) => others.has(dataCenter));
}

/** The state after a list was received; the same one if that is not newer. */
export function adoptEvacuations(
  state: EvacuationState,
  list: EvacuationList,
  now: number,
): EvacuationState {
  const { latest } = state;
  if (latest === null) return { ...state, latest: list, firstLearntAt: now };
  if (evacuationVersion(list) <= evacuationVersion(latest)) return state;
  const retained = new Map(state.retained);
  if (list.era !== latest.era) {
    // Also those retained from an earlier change: operators that had not yet
    // written their entries again write them after this change.
    for (const dataCenter of evacuatedDataCenters(state, now)) {
      retained.set(dataCenter, now + retentionMilliseconds);
    }
  }
  for (const dataCenter of list.dataCenters) retained.delete(dataCenter);
  return { ...state, latest: list, retained };
}

/** The data centres that are evacuated now. */
export function evacuatedDataCenters(
  { latest, retained }: EvacuationState,
  now: number,
): ReadonlySet<string> {
  const held = [...retained].filter(([, until]) => now < until);
  return new Set([
    ...latest?.dataCenters ?? [],
    ...held.map(([dataCenter]) => dataCenter),
  ]);
}

/**
 * What a log line says of the evacuated data centres: their names, and the era
 * and revision of the latest list; nothing while there are none.
 */
export function describeEvacuated(
  { latest }: EvacuationState,
  evacuated: ReadonlySet<string>,
): Readonly<Record<string, string | number>> {
  if (latest === null || evacuated.size === 0) return {};
  return {
    evacuatedDataCenters: [...evacuated].join(),
    evacuationsEra: latest.era,
    evacuationsRevision: latest.revision,
  };
}

/** The state without the data centres whose retention has ended. */
export function dropEndedRetention(
  state: EvacuationState,
  now: number,
): EvacuationState {
  const retained = [...state.retained].filter(([, until]) => now < until);
  if (retained.length === state.retained.size) return state;
  return { ...state, retained: new Map(retained) };
}

/**
 * Until when the list may lack data centres that agents which have started
 * earlier retain; null if it lacks none. An agent that has started just before
 * or after a change of era has not learnt what was evacuated before.
 */
export function incompleteUntil(
  { firstLearntAt }: EvacuationState,
  era: Pick<StoreEra, "changed" | "since">,
): number | null {
  if (firstLearntAt === null || !era.changed) return null;
  if (era.since >= firstLearntAt + retentionMilliseconds) return null;
  return era.since + retentionMilliseconds;
}

/** When the next retention ends; null if nothing is retained. */
export function nextRetentionEnd({ retained }: EvacuationState): number | null {
  return retained.size === 0 ? null : Math.min(...retained.values());
}
