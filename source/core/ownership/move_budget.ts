/**
 * The budget for moves of slices: how many keys may change their owner in an
 * interval, and which slices stay where they were moved to.
 *
 * Each move makes requests wait until the slice has been handed over, so moves
 * that follow each change of the measured load cost more than they gain.
 *
 * @module
 */

/** Why slices are moved while all servers stay. */
export type MoveCause = "above-capacity" | "even-out";

/** Limits of the moves of one group. */
export interface MoveBudgetSettings {
  readonly intervalMilliseconds: number;
  /** The share of all keys that may be moved in the interval, from 0 to 1. */
  readonly maxKeyShare: number;
  /**
   * The part of the budget, from 0 to 1, above which no move is made that only
   * evens out the load.
   */
  readonly evenOutPart: number;
  /** How long a moved slice stays at its new server. */
  readonly minStayMilliseconds: number;
}

/** A move that has been started. */
export interface StartedMove<Id> {
  readonly slice: number;
  readonly keyShare: number;
  readonly destination: Id;
  /** Of the destination, in requests a second. */
  readonly capacity: number;
  /** On the grantor's monotonic clock. */
  readonly at: number;
}

/** The moves that still count. */
export interface MoveBudget<Id> {
  readonly started: readonly StartedMove<Id>[];
  /** Slices whose moves wait for the budget. */
  readonly deferred: ReadonlySet<number>;
}

/** The budget of a new grantor, which knows of no moves. */
export const fullBudget: MoveBudget<never> = {
  started: [],
  deferred: new Set(),
};

/** A server that has lost more than this part of its capacity gives slices up. */
const minCapacityKept = 0.5;
/** Allows for rounding when shares are added up. */
const tolerance = 1e-9;

/** The share of all keys that may still be moved for this cause. */
export function remainingKeyShare(
  budget: MoveBudget<unknown>,
  query: {
    readonly cause: MoveCause;
    readonly settings: MoveBudgetSettings;
    readonly now: number;
  },
): number {
  const { cause, settings, now } = query;
  const { intervalMilliseconds, maxKeyShare, evenOutPart } = settings;
  const used = budget.started
    .filter(({ at }) => now - at < intervalMilliseconds)
    .reduce((sum, { keyShare }) => sum + keyShare, 0);
  const limit = cause === "even-out" ? maxKeyShare * evenOutPart : maxKeyShare;
  return Math.max(0, limit - used);
}

/** How many of these moves, each with this share of the keys, may be started. */
export function countAllowed(
  remaining: number,
  moves: { readonly count: number; readonly keyShare: number },
): number {
  const { count, keyShare } = moves;
  return Math.min(count, Math.floor(remaining / keyShare + tolerance));
}

/** Adds moves that are started now, and drops those that no longer count. */
export function recordMoves<Id>(
  budget: MoveBudget<Id>,
  change: {
    readonly moves: readonly StartedMove<Id>[];
    readonly settings: MoveBudgetSettings;
    readonly now: number;
  },
): MoveBudget<Id> {
  const { moves, settings, now } = change;
  const lifetime = Math.max(
    settings.intervalMilliseconds,
    settings.minStayMilliseconds,
  );
  const counting = budget.started.filter(({ at }) => now - at < lifetime);
  return { ...budget, started: [...counting, ...moves] };
}

/**
 * Returns a function that says whether a slice stays with its owner because it
 * has just been moved there.
 */
export function staysAfterMove<Id>(
  budget: MoveBudget<Id>,
  view: {
    readonly capacityOf: (id: Id) => number;
    readonly settings: MoveBudgetSettings;
    readonly now: number;
  },
): (slice: number, owner: Id) => boolean {
  const { capacityOf, settings, now } = view;
  const latest = new Map(budget.started.map((move) => [move.slice, move]));
  return (slice, owner) => {
    const move = latest.get(slice);
    if (move === undefined || move.destination !== owner) return false;
    return now - move.at < settings.minStayMilliseconds &&
      capacityOf(owner) >= move.capacity * minCapacityKept;
  };
}
