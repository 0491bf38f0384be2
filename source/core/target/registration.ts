/**
 * What is known of the target beside an agent, from its own reports: which
 * process it is, and whether it takes new work.
 *
 * Invariants:
 * - a report that was delayed never takes the place of a later one, and never
 *   that of a process that started later;
 * - a target that has said that it leaves takes no new work again.
 *
 * @module
 */

/** A target's report of itself. */
export interface TargetReport {
  readonly id: string;
  /** When the process started, in milliseconds since 1970 on its own clock. */
  readonly startedAt: number;
  /** Grows with each report of one process. */
  readonly sequence: number;
  readonly phase: "serving" | "leaving";
  readonly service: string;
  readonly slots: number;
}

/** The target as it last reported itself. */
export interface RegisteredTarget extends TargetReport {
  readonly reportedAt: number;
  /** When it first said that it leaves; null while it serves. */
  readonly leavingSince: number | null;
  /** Nothing listened at its address since its last report. */
  readonly refused: boolean;
}

/** What an agent knows of its target. */
export interface RegistrationState {
  /** A target that has not reported for so long counts as silent. */
  readonly silenceMilliseconds: number;
  readonly target: RegisteredTarget | null;
  /** The last word of a target that had not reported here; null for none. */
  readonly farewell: Farewell | null;
}

/**
 * A target has gone whose reports went to an agent before this one: a report
 * that it sent before may still come.
 */
interface Farewell {
  readonly id: string;
  readonly now: number;
  /** By the clock that targets state their starts by. */
  readonly wallNow: number;
}

/** What happens to a registration. */
export type RegistrationEvent =
  | {
    readonly kind: "reported";
    readonly report: TargetReport;
    readonly now: number;
  }
  /** The target says for the last time that it goes. */
  | {
    readonly kind: "left";
    readonly id: string;
    readonly now: number;
    /** Milliseconds since 1970. */
    readonly wallNow: number;
  }
  /** A connection to the target was refused. */
  | { readonly kind: "refused" };

/** What a report changed. */
export type RegistrationChange = "none" | "begun" | "replaced" | "updated";

/** No report comes so late. */
const farewellMilliseconds = 30_000;

/** Nothing has reported yet. */
export function beginRegistration(
  silenceMilliseconds: number,
): RegistrationState {
  return { silenceMilliseconds, target: null, farewell: null };
}

/** Applies one event; says what it changed. */
export function stepRegistration(
  state: RegistrationState,
  event: RegistrationEvent,
): { readonly state: RegistrationState; readonly change: RegistrationChange } {
  const { target } = state;
  switch (event.kind) {
    case "reported":
      return take(state, event);
    case "left":
      if (target === null || target.id !== event.id) {
        const { id, now, wallNow } = event;
        return unchanged({ ...state, farewell: { id, now, wallNow } });
      }
      return updated(state, leaving(target, event.now));
    case "refused":
      if (target === null || target.refused) return unchanged(state);
      return updated(state, { ...target, refused: true });
  }
}

/** Whether the target takes new work. */
export function serves(state: RegistrationState, now: number): boolean {
  const { target } = state;
  if (target === null || target.leavingSince !== null) return false;
  return isAlive(state, now);
}

/** Whether the target's process is believed to run. */
export function isAlive(state: RegistrationState, now: number): boolean {
  const { target } = state;
  if (target === null || target.refused) return false;
  return now - target.reportedAt < state.silenceMilliseconds;
}

function take(
  state: RegistrationState,
  event: RegistrationEvent & { readonly kind: "reported" },
) {
  const { target } = state;
  const { report, now } = event;
  if (target === null) return begin(state, { report, now, change: "begun" });
  if (report.startedAt < target.startedAt) return unchanged(state);
  const sameProcess = report.id === target.id &&
    report.startedAt === target.startedAt;
  if (!sameProcess) return begin(state, { report, now, change: "replaced" });
  if (report.sequence <= target.sequence) return unchanged(state);
  const next: RegisteredTarget = {
    ...target,
    ...report,
    reportedAt: now,
    refused: false,
  };
  const leaves = report.phase === "leaving" || target.leavingSince !== null;
  return updated(state, leaves ? leaving(next, now) : next);
}

function begin(
  state: RegistrationState,
  beginning: {
    readonly report: TargetReport;
    readonly now: number;
    readonly change: RegistrationChange;
  },
) {
  const { report, now, change } = beginning;
  const target: RegisteredTarget = {
    ...report,
    reportedAt: now,
    leavingSince: null,
    refused: false,
  };
  const leaves = report.phase === "leaving" ||
    isBeforeFarewell(state, report, now);
  const begun = leaves ? leaving(target, now) : target;
  return { state: { ...state, target: begun }, change };
}

/** Whether the report is of a process that has said its last word since. */
function isBeforeFarewell(
  { farewell }: RegistrationState,
  report: TargetReport,
  now: number,
): boolean {
  return farewell !== null && farewell.id === report.id &&
    report.startedAt <= farewell.wallNow &&
    now - farewell.now < farewellMilliseconds;
}

function leaving(target: RegisteredTarget, now: number): RegisteredTarget {
  return {
    ...target,
    phase: "leaving",
    leavingSince: target.leavingSince ?? now,
  };
}

function updated(state: RegistrationState, target: RegisteredTarget) {
  return { state: { ...state, target }, change: "updated" as const };
}

function unchanged(state: RegistrationState) {
  return { state, change: "none" as const };
}
