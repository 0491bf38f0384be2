/**
 * The era of the store: a number that rises each time the store returns from an
 * older copy and so loses writes that it has acknowledged.
 *
 * Invariant: an epoch that is claimed in one era is above every epoch that was
 * claimed in an earlier one, also where the store has lost that claim. Without
 * a record, and without a server that reports an epoch, this holds up to era
 * 512 only: epochs have a limit, and later eras aren't told apart. Such a claim
 * isn't declined, since the first era of a store may be any number.
 *
 * @module
 */

/** What an agent knows of the store's era. */
export interface StoreEra {
  /** The newest era known; 0 for a store that states none. */
  readonly era: number;
  /** Whether the store has answered, or another agent told the era. */
  readonly known: boolean;
  /**
   * Since when this agent has known the era, on the monotonic clock in
   * milliseconds. The era had begun by then.
   */
  readonly since: number;
  /** Whether the era is known to have begun with a change. */
  readonly changed: boolean;
}

/** Before the store has answered. */
export const unknownEra: StoreEra = {
  era: 0,
  known: false,
  since: 0,
  changed: false,
};

/**
 * An answer of the store states an era, or none. Answers may arrive out of
 * order. The first era that is stated is no change, also after answers without
 * any: a store goes back only where it states eras.
 */
export function noteAnsweredEra(
  state: StoreEra,
  era: number,
  now: number,
): StoreEra {
  if (state.known && era <= state.era) return state;
  return { era, known: true, since: now, changed: state.era > 0 };
}

/**
 * Another agent tells of a change to an era. Agents tell only of eras that
 * began with a change, so that one that started later learns of it as well.
 */
export function noteToldEra(
  state: StoreEra,
  era: number,
  now: number,
): StoreEra {
  if (!state.known || era > state.era) {
    return { era, known: true, since: now, changed: true };
  }
  return state.changed ? state : { ...state, changed: true };
}

/**
 * Epochs that are left out for each era. No group is claimed so often within
 * the age of a copy, which is some seconds.
 */
const epochsPerEra = 1_024;

/** Eras that are counted. They take half of all epochs at most. */
const maxCountedEras = 512;

/**
 * Exclusive upper bound of epochs: fencing numbers grow by 2^33 with each epoch
 * and stay below 2^53.
 */
export const epochLimit = 2 ** 20;

function epochsOfEras(eras: number): number {
  return Math.min(Math.max(eras, 0), maxCountedEras) * epochsPerEra;
}

/** The epoch with which a group is claimed in an era. */
export function nextEpoch(
  previous: { readonly epoch: number; readonly era: number } | null,
  claim: {
    readonly era: number;
    /** The highest epoch that is known to have been accepted; 0 for none. */
    readonly acceptedEpoch: number;
  },
): number {
  const above = previous === null
    ? epochsOfEras(claim.era)
    : previous.epoch + epochsOfEras(claim.era - previous.era);
  return Math.max(above, claim.acceptedEpoch) + 1;
}

/** Durations that bound how long a grant may be in use. */
export interface GrantDurations {
  readonly delegationMilliseconds: number;
  readonly leaseMilliseconds: number;
  readonly longestDeadlineMilliseconds: number;
}

/**
 * When the last work must have ended that a grantor of an earlier era than the
 * one known since then has allowed. It can't have renewed its delegation since
 * the change of era.
 */
export function earlierErasEndAt(
  since: number,
  durations: GrantDurations,
): number {
  return since + durations.delegationMilliseconds +
    durations.leaseMilliseconds + durations.longestDeadlineMilliseconds;
}

/** Each entry takes two writes if the copy has an older one. */
const writesPerEntry = 2;
/**
 * A third of what the store takes: members, departures and delegations are
 * written at the same time.
 */
const restoreWritesPerSecond = 400;
const minRestoreSpreadMilliseconds = 1_000;

/**
 * When an agent writes an entry again after a change of era, in milliseconds
 * from then; `share` is random, from 0 up to 1.
 */
export function restoreDelayMilliseconds(
  agents: number,
  share: number,
): number {
  const spread = agents * writesPerEntry / restoreWritesPerSecond * 1_000;
  return share * Math.max(spread, minRestoreSpreadMilliseconds);
}
