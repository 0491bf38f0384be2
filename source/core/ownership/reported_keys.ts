/**
 * The keys of a target that reports with each heartbeat which keys it holds,
 * and learns from the answer which keys it is to hold from then on. A key is
 * taken back by leaving it out of an answer.
 *
 * Invariants:
 * - a key counts as free only once a report has shown that the target, told to
 *   release it, no longer holds it, or once every hold must have ended by time;
 * - an assignment whose effect no report has shown may still take effect;
 * - no key is assigned with a fencing number below one that the target has seen
 *   for it.
 *
 * It relies on a target that ignores the answer to a heartbeat once it has
 * applied the answer to a later one. Times are in milliseconds of the agent's
 * monotonic clock.
 *
 * @module
 */
import {
  includesSpan,
  type KeySpan,
  mergeAdjacent,
  overlaps,
  withinSpans,
  withoutSpans,
} from "./key_spans.ts";

/** Keys that a target holds under one fencing number. */
export interface HeldKeys extends KeySpan {
  readonly fence: number;
}

/** Keys that a target has released, with its state for their next holder. */
export interface FreedKeys extends KeySpan {
  readonly handover: string;
}

/** Keys that a target is to hold; the handover is null for none. */
export interface AssignedKeys extends HeldKeys {
  readonly handover: string | null;
}

/** What a target says about its keys in one heartbeat. */
export interface KeyReport {
  /** Keys that it holds, or on which it still runs requests. */
  readonly holds: readonly HeldKeys[];
  /** Keys released since its last acknowledged heartbeat. */
  readonly freed: readonly FreedKeys[];
}

/** Keys assigned by an answer whose effect no report has shown. */
interface UnseenKeys extends KeySpan {
  readonly mayHoldUntil: number;
}

/** The most released spans whose handover is kept, the latest ones. */
const maxFreedSpans = 1_024;

/** What is known of the keys of one process of a target. */
export interface ReportedKeys {
  /**
   * Keys held according to the last report, each under its highest fencing
   * number: a row that was replaced is reported too while requests run on it.
   */
  readonly shown: readonly HeldKeys[];
  readonly unseen: readonly UnseenKeys[];
  /** Keys that the process has released and not held since. */
  readonly freed: readonly FreedKeys[];
  /** The highest fencing number that the target has seen, by key. */
  readonly fences: readonly HeldKeys[];
  /** Every hold has ended by then, unless another answer is given. */
  readonly holdsEndAt: number;
}

/**
 * The state of a process that has been given no answer, or only answers that
 * are unknown: by these it may hold the keys `unseen` until `holdsEndAt`.
 */
export function createReportedKeys(
  unseen: readonly KeySpan[],
  holdsEndAt: number,
): ReportedKeys {
  return {
    shown: [],
    unseen: unseen.map((span) => ({ ...span, mayHoldUntil: holdsEndAt })),
    freed: [],
    fences: [],
    holdsEndAt,
  };
}

/** Applies a report of the target. */
export function recordReport(
  state: ReportedKeys,
  report: KeyReport,
  now: number,
): ReportedKeys {
  const { holds, freed } = report;
  const pending = state.unseen.filter(({ mayHoldUntil }) => mayHoldUntil > now);
  return {
    ...state,
    shown: raiseFences([], holds),
    unseen: withoutSpans(pending, holds),
    freed: [...withoutSpans(state.freed, [...holds, ...freed]), ...freed]
      .slice(-maxFreedSpans),
    fences: raiseFences(state.fences, holds),
  };
}

/** Records the answer to a report. */
export function recordAssignment(
  state: ReportedKeys,
  rows: readonly AssignedKeys[],
  mayHoldUntil: number,
): ReportedKeys {
  const longer = state.unseen.filter((entry) =>
    entry.mayHoldUntil > mayHoldUntil
  );
  const shorter = state.unseen.filter((entry) => !longer.includes(entry));
  const unseen = rows.map(({ first, last }) => ({ first, last, mayHoldUntil }));
  return {
    ...state,
    unseen: [...longer, ...withoutSpans(shorter, rows), ...unseen],
    fences: raiseFences(state.fences, rows),
    holdsEndAt: Math.max(state.holdsEndAt, mayHoldUntil),
  };
}

/** Whether the target holds none of the keys, and no answer can change that. */
export function areFree(
  state: ReportedKeys,
  spans: readonly KeySpan[],
  now: number,
): boolean {
  if (now >= state.holdsEndAt) return true;
  const pending = state.unseen.filter(({ mayHoldUntil }) => mayHoldUntil > now);
  return spans.every((span) =>
    ![...state.shown, ...pending].some((other) => overlaps(span, other))
  );
}

/** What the target has handed over with keys of the spans; null for nothing. */
export function handoverOfSpans(
  { freed }: ReportedKeys,
  spans: readonly KeySpan[],
): string | null {
  return freed.find((entry) => spans.some((span) => overlaps(entry, span)))
    ?.handover ?? null;
}

/**
 * The answer that makes the target hold the wanted keys, as far as `fits` lets
 * it. Keys that it holds keep their fencing number and need no handover. Where
 * the answer is too long, adjacent keys are merged first, then keys are left
 * out: those that the target doesn't hold yet before those that it does.
 */
export function assignKeys(
  state: ReportedKeys,
  wanted: readonly AssignedKeys[],
  fits: (rows: readonly AssignedKeys[]) => boolean,
): readonly AssignedKeys[] {
  const kept = withinSpans(state.shown, wanted)
    .map((keys): AssignedKeys => ({ ...keys, handover: null }));
  const gained = withoutSpans(wanted, state.shown)
    .map((keys) => withKnownState(state, keys));
  const rows = [
    ...mergeAdjacent<AssignedKeys>(kept, mergeEqualFences),
    ...mergeAdjacent(gained, mergeEqualHandovers),
  ].sort((left, right) => left.first - right.first);
  if (fits(rows)) return rows;
  const merged = mergeAdjacent(rows, mergeEqualHandovers);
  return shortenToFit(merged, {
    isKept: (row) => overlapsAny(row, kept),
    fits,
  });
}

/** Adds the fencing number and the handover that the target requires. */
function withKnownState(
  state: ReportedKeys,
  keys: AssignedKeys,
): AssignedKeys {
  const seen = state.fences.filter((other) => overlaps(keys, other))
    .map(({ fence }) => fence);
  const own = state.freed.find((entry) => includesSpan(entry, keys));
  return {
    ...keys,
    fence: Math.max(keys.fence, ...seen),
    handover: keys.handover ?? own?.handover ?? null,
  };
}

function mergeEqualFences<Keys extends HeldKeys>(
  left: Keys,
  right: Keys,
): Keys | null {
  return left.fence === right.fence ? { ...left, last: right.last } : null;
}

function mergeEqualHandovers(
  left: AssignedKeys,
  right: AssignedKeys,
): AssignedKeys | null {
  if (left.handover !== right.handover) return null;
  const fence = Math.max(left.fence, right.fence);
  return { ...left, last: right.last, fence };
}

function overlapsAny(span: KeySpan, others: readonly KeySpan[]): boolean {
  return others.some((other) => overlaps(span, other));
}

/** Leaves rows out until the others fit, those with fewest keys first. */
function shortenToFit(
  rows: readonly AssignedKeys[],
  options: {
    readonly isKept: (row: AssignedKeys) => boolean;
    readonly fits: (rows: readonly AssignedKeys[]) => boolean;
  },
): readonly AssignedKeys[] {
  const bySize = rows.toSorted((left, right) =>
    (left.last - left.first) - (right.last - right.first)
  );
  const order = [
    ...bySize.filter((row) => !options.isKept(row)),
    ...bySize.filter(options.isKept),
  ];
  const left = new Set(rows);
  for (const row of order) {
    if (options.fits([...left])) break;
    left.delete(row);
  }
  return [...left];
}

/** Raises the fencing numbers of keys to those of `rows` where these are higher. */
function raiseFences(
  fences: readonly HeldKeys[],
  rows: readonly HeldKeys[],
): readonly HeldKeys[] {
  const raised = rows.reduce<readonly HeldKeys[]>(
    (known, { first, last, fence }) => {
      const higher = known.filter((other) => other.fence >= fence);
      const parts = withoutSpans([{ first, last, fence }], higher);
      return [...withoutSpans(known, parts), ...parts];
    },
    fences,
  );
  return mergeAdjacent(raised, mergeEqualFences);
}
