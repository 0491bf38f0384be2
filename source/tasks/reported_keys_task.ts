/**
 * The task for a target that learns its keys from the answers to its
 * heartbeats: it answers each report with all keys that the holder's lease
 * covers, and takes keys back by leaving them out.
 *
 * @module
 */
import { type Clocks, definitelyBefore } from "../core/clocks.ts";
import {
  type KeyPartitioning,
  type NumberedKeys,
  rangesOfGrant,
} from "../core/ownership/key_ranges.ts";
import {
  areWithin,
  formatSpans,
  type KeySpan,
  withoutSpans,
} from "../core/ownership/key_spans.ts";
import type { Grant } from "../core/ownership/renewal.ts";
import {
  areFree,
  type AssignedKeys,
  assignKeys,
  createReportedKeys,
  handoverOfSpans,
  type KeyReport,
  recordAssignment,
  recordReport,
  type ReportedKeys,
} from "../core/ownership/reported_keys.ts";
import type { OwnershipTable } from "../core/ownership/table.ts";
import { holdMillisecondsWithin } from "../core/ownership/target_hold.ts";
import { fencingNumber } from "../core/ownership/token.ts";
import type { Events } from "../ports/events.ts";
import type { AnswerKeyReport, KeyAssignment } from "../ports/key_reports.ts";
import type { HeldView, KeyGrantsTask } from "./key_grants.ts";
import { monotonicNow, readClocks } from "./time.ts";

/** The running task. */
export interface ReportedKeysTask extends KeyGrantsTask {
  /**
   * Must be called with the report of each heartbeat, in the order in which the
   * target has sent them; a repeated or older heartbeat must be left out.
   */
  readonly answer: AnswerKeyReport;
}

/** Settings of the task. */
export interface ReportedKeysSettings {
  /** Longest time for which one answer lets the target hold keys. */
  readonly maxHoldMilliseconds: number;
  /** Maximum share by which the target's clock may run slow. */
  readonly maxClockSlowShare: number;
  /** A target does not apply an answer that comes later after its heartbeat. */
  readonly answerMilliseconds: number;
  /** How often releases are checked while the target does not report. */
  readonly checkMilliseconds: number;
}

/** A slice that the target is to release. */
interface Surrender {
  readonly spans: readonly KeySpan[];
  /** Whether an answer has left the slice out. */
  readonly told: boolean;
  readonly resolve: (given: { readonly handover: string | undefined }) => void;
}

/** The keys of one grant. */
interface GrantedKeys {
  readonly slice: number;
  readonly keys: readonly AssignedKeys[];
}

/** A hold shorter than this is not worth an answer. */
const minHoldMilliseconds = 50;
/**
 * A slice that the target still doesn't hold after this many answers is given
 * back: it may have seen a newer fencing number, or the answer is full.
 */
const maxUntakenAnswers = 4;
/** Maximum number of spans in one log line. */
const maxLoggedSpans = 8;

/** Starts the task for a target whose keys are not known. */
export function startReportedKeys(options: {
  readonly keys: NumberedKeys;
  readonly settings: ReportedKeysSettings;
  /** Whether an answer with these rows is short enough for the target. */
  readonly fits: (rows: readonly AssignedKeys[]) => boolean;
  readonly events: Events;
  /** Called when the target does not take this slice. */
  readonly onSuperseded: (slice: number) => void;
}): ReportedKeysTask {
  const { settings, events } = options;
  const clockFactor = 1 + settings.maxClockSlowShare;
  const startedAt = monotonicNow();
  /** Answers of a former agent may have let the target hold any key. */
  let known: ReportedKeys = createReportedKeys(
    [{ first: 0, last: options.keys.count - 1 }],
    startedAt + settings.maxHoldMilliseconds * clockFactor,
  );
  let view: HeldView | null = null;
  let surrenders: ReadonlyMap<number, Surrender> = new Map();
  let confirmedUntil: ReadonlyMap<number, number> = new Map();
  /** For slices that the target doesn't hold, how many answers named them. */
  let untaken: ReadonlyMap<number, number> = new Map();
  /** The wait for a target that is to release everything. */
  let emptying:
    | { readonly told: boolean; readonly resolve: () => void }
    | null = null;
  let checkTimer: ReturnType<typeof setTimeout> | null = null;

  function answer(report: KeyReport): KeyAssignment | null {
    const now = readClocks();
    recordChange(report);
    known = recordReport(known, report, now.monotonic);
    completeSurrenders();
    completeEmptyingByReport();
    const assignment = emptying === null ? assign(now) : releaseAll();
    if (assignment !== null) recordAnswer(assignment, now.monotonic);
    return assignment;
  }

  /** Logs what the target has begun and ceased to hold, if anything. */
  function recordChange(report: KeyReport): void {
    const gained = withoutSpans(report.holds, known.shown);
    const ended = withoutSpans(known.shown, report.holds);
    if (gained.length === 0 && ended.length === 0) return;
    const expired = withoutSpans(ended, report.freed);
    events.record("target-keys-changed", {
      gained: formatSpans(gained, maxLoggedSpans),
      released: formatSpans(withoutSpans(ended, expired), maxLoggedSpans),
      expired: formatSpans(expired, maxLoggedSpans),
      rows: report.holds.length,
    });
  }

  /** The answer under the current lease; null if there is none yet. */
  function assign(now: Clocks): KeyAssignment | null {
    if (view === null) return null;
    if (!definitelyBefore(now, view.leaseEndsAt)) return releaseAll();
    const holdMilliseconds = holdMillisecondsWithin(view.leaseEndsAt, {
      ...settings,
      now,
    });
    if (holdMilliseconds < minHoldMilliseconds) return null;
    const granted = grantedKeys(view);
    const rows = assignKeys(
      known,
      granted.flatMap(({ keys }) => keys),
      options.fits,
    );
    confirm(granted, { rows, until: now.monotonic + holdMilliseconds });
    return { rows, holdMilliseconds };
  }

  function releaseAll(): KeyAssignment {
    confirmedUntil = new Map();
    if (emptying !== null) emptying = { ...emptying, told: true };
    return { rows: [], holdMilliseconds: minHoldMilliseconds };
  }

  function grantedKeys({ grants, table }: HeldView): readonly GrantedKeys[] {
    const partitioning = { table, keys: options.keys };
    return grants.map((grant) => ({
      slice: grant.slice,
      keys: assignedKeysOf(grant, partitioning),
    }));
  }

  /**
   * A slice that the answer names counts as held at once. If the target has not
   * taken it by then, it counts once a report shows it.
   */
  function confirm(
    granted: readonly GrantedKeys[],
    answered: { readonly rows: readonly KeySpan[]; readonly until: number },
  ): void {
    const nextUntaken = new Map<number, number>();
    const nextConfirmed = new Map<number, number>();
    for (const { slice, keys } of granted) {
      const isShown = areWithin(keys, known.shown);
      const answers = isShown ? 0 : (untaken.get(slice) ?? 0) + 1;
      if (!isShown) nextUntaken.set(slice, answers);
      if (answers <= 1 && areWithin(keys, answered.rows)) {
        nextConfirmed.set(slice, answered.until);
      }
    }
    untaken = nextUntaken;
    confirmedUntil = nextConfirmed;
    const refused = [...untaken].filter(([, answers]) =>
      answers > maxUntakenAnswers
    );
    for (const [slice] of refused) options.onSuperseded(slice);
  }

  function recordAnswer(
    { rows, holdMilliseconds }: KeyAssignment,
    now: number,
  ): void {
    known = recordAssignment(known, rows, now + holdMilliseconds * clockFactor);
    surrenders = new Map(
      [...surrenders].map((
        [slice, entry],
      ) => [slice, { ...entry, told: true }]),
    );
  }

  /**
   * Resolves the surrenders of slices that the target holds no longer. That its
   * address refuses connections proves nothing: it may only be full.
   */
  function completeSurrenders(): void {
    const now = monotonicNow();
    const done = [...surrenders].filter(([, { spans }]) =>
      areFree(known, spans, now)
    );
    if (done.length === 0) return;
    surrenders = withoutEntries(surrenders, done.map(([slice]) => slice));
    for (const [, { spans, resolve }] of done) {
      resolve({ handover: handoverOfSpans(known, spans) ?? undefined });
    }
  }

  /** Ends the wait if the latest report shows that everything is released. */
  function completeEmptyingByReport(): void {
    const formerApplies =
      monotonicNow() - startedAt < settings.answerMilliseconds;
    if (emptying?.told !== true || formerApplies) return;
    if (known.shown.length === 0) completeEmptying();
  }

  /** A target that has ended sends no report. */
  function completeEmptyingByTime(): void {
    if (monotonicNow() >= known.holdsEndAt) completeEmptying();
  }

  function completeEmptying(): void {
    emptying?.resolve();
    emptying = null;
  }

  /** Releases also end by time, when the target does not report any more. */
  function scheduleCheck(): void {
    if (checkTimer !== null) return;
    if (surrenders.size === 0 && emptying === null) return;
    checkTimer = setTimeout(() => {
      checkTimer = null;
      completeSurrenders();
      completeEmptyingByTime();
      scheduleCheck();
    }, settings.checkMilliseconds);
  }

  /** Makes sure that no further answer names the slice. */
  function dropFromView(slice: number, table: OwnershipTable): void {
    if (view === null) return;
    const grants = view.grants.filter((grant) => grant.slice !== slice);
    view = { ...view, grants, table };
  }

  function surrender(
    grant: Grant,
    table: OwnershipTable,
  ): Promise<{ readonly handover: string | undefined }> {
    const spans = rangesOfGrant(grant, { table, keys: options.keys });
    dropFromView(grant.slice, table);
    return new Promise((resolve) => {
      const entry = { spans, told: false, resolve };
      surrenders = new Map(surrenders).set(grant.slice, entry);
      completeSurrenders();
      scheduleCheck();
    });
  }

  return {
    answer,
    hold(next) {
      view = next;
    },
    surrender,
    emptyTarget: () =>
      new Promise((resolve) => {
        emptying = { told: false, resolve: () => resolve(true) };
        scheduleCheck();
      }),
    isConfirmed: (slice) => (confirmedUntil.get(slice) ?? 0) > monotonicNow(),
    isServedUntilReleased: (slice) =>
      surrenders.get(slice)?.told === false &&
      (confirmedUntil.get(slice) ?? 0) > monotonicNow(),
    // The new process has reported by itself which keys it holds.
    replaceTarget() {
      known = createReportedKeys([], monotonicNow());
      view = null;
      confirmedUntil = new Map();
      untaken = new Map();
      completeSurrenders();
      completeEmptying();
      return Promise.resolve();
    },
  };
}

function assignedKeysOf(
  grant: Grant,
  partitioning: KeyPartitioning,
): readonly AssignedKeys[] {
  return rangesOfGrant(grant, partitioning).map(({ first, last, token }) => ({
    first,
    last,
    fence: fencingNumber(token, "grant"),
    handover: grant.handover ?? null,
  }));
}

function withoutEntries<Value>(
  map: ReadonlyMap<number, Value>,
  removed: readonly number[],
): ReadonlyMap<number, Value> {
  const next = new Map(map);
  for (const key of removed) next.delete(key);
  return next;
}
