/**
 * The registration of the target of an agent, by the target's own reports:
 * which process it is, and whether it accepts new requests.
 *
 * Invariants:
 * - a delayed report never replaces a later one, nor one of a process that
 *   started later;
 * - a target that has reported that it leaves never accepts new requests again;
 * - a report that names another service changes nothing: its writer is not the
 *   target, which may run on.
 *
 * @module
 */
import type { RecordedDeparture } from "./departures.ts";

/** A report of a target about itself. */
export interface TargetReport {
  readonly id: string;
  /** When the process started, in milliseconds since 1970, on its own clock. */
  readonly startedAt: number;
  /** Increases with each report of a process. */
  readonly sequence: number;
  readonly phase: "serving" | "leaving";
  readonly service: string;
  readonly slots: number;
  /** How much longer the target is cold, as of this report. */
  readonly coldMilliseconds: number;
}

/**
 * What a report is: the target's newest, one that arrived after a newer one, or
 * not one of the target.
 */
export type ReportRank = "newest" | "outdated" | "foreign";

/** The target as of its last report. */
export interface RegisteredTarget extends TargetReport {
  readonly reportedAt: number;
  /** When it first reported that it leaves; null while it serves. */
  readonly leavingSince: number | null;
  /** Whether a connection has been refused since its last report. */
  readonly refused: boolean;
}

/** The state of a registration. Times are monotonic, in milliseconds. */
export interface RegistrationState {
  /** The service of the target; a report that names another is not its own. */
  readonly service: string;
  /** A target that has not reported for so long counts as not running. */
  readonly silenceMilliseconds: number;
  readonly target: RegisteredTarget | null;
  /** Departures of processes other than the target, the latest last. */
  readonly departures: readonly TargetDeparture[];
}

/** The final notice of a target that it leaves. */
export interface DepartureNotice {
  readonly id: string;
  /**
   * When the process started, in milliseconds since 1970, on its own clock;
   * null when the notice does not say so.
   */
  readonly startedAt: number | null;
}

/**
 * The departure of a process whose reports went to a former process of this
 * agent. A report that it sent before may still arrive.
 */
interface TargetDeparture extends RecordedDeparture {
  readonly now: number;
}

/** An event that changes a registration. */
export type RegistrationEvent =
  | {
    readonly kind: "reported";
    readonly report: TargetReport;
    readonly now: number;
  }
  /** A target has said that it leaves. */
  | {
    readonly kind: "left";
    readonly notice: DepartureNotice;
    readonly now: number;
    /** Milliseconds since 1970. */
    readonly wallNow: number;
  }
  /** A connection to the target was refused. */
  | { readonly kind: "refused" };

/** What an event has changed. */
export type RegistrationChange = "none" | "begun" | "replaced" | "updated";

/** No report is delayed for longer. */
const maxReportDelayMilliseconds = 30_000;
/** Other writers may send any number of notices. */
const maxDepartures = 16;

/** A registration without a target. */
export function createRegistration(
  options: Pick<RegistrationState, "service" | "silenceMilliseconds">,
): RegistrationState {
  return { ...options, target: null, departures: [] };
}

/** Applies one event, and returns what it has changed. */
export function stepRegistration(
  state: RegistrationState,
  event: RegistrationEvent,
): { readonly state: RegistrationState; readonly change: RegistrationChange } {
  const { target } = state;
  switch (event.kind) {
    case "reported":
      return applyReport(state, event);
    case "left":
      return applyDeparture(state, event);
    case "refused":
      if (target === null || target.refused) return unchanged(state);
      return updated(state, { ...target, refused: true });
  }
}

/**
 * What has been acknowledged of processes that leave, which the next process of
 * this agent has to know before it believes a report.
 */
export function acknowledgedDepartures(
  { target, departures }: RegistrationState,
  now: number,
): readonly RecordedDeparture[] {
  const others = departures
    .filter((departure) => now - departure.now < maxReportDelayMilliseconds)
    .map(({ id, startedBy }) => ({ id, startedBy }));
  if (target === null || target.leavingSince === null) return others;
  return [...others, { id: target.id, startedBy: target.startedAt }];
}

/** Whether a report is by another writer than the target. */
export function isForeign(
  state: RegistrationState,
  report: TargetReport,
): boolean {
  return report.service !== state.service;
}

/** Whether the target accepts new requests. */
export function serves(state: RegistrationState, now: number): boolean {
  const { target } = state;
  if (target === null || target.leavingSince !== null) return false;
  return isAlive(state, now);
}

/** Whether the process of the target is assumed to run. */
export function isAlive(state: RegistrationState, now: number): boolean {
  const { target } = state;
  if (target === null || target.refused) return false;
  return now - target.reportedAt < state.silenceMilliseconds;
}

function applyReport(
  state: RegistrationState,
  event: RegistrationEvent & { readonly kind: "reported" },
) {
  const { target } = state;
  const { report, now } = event;
  if (isForeign(state, report)) return unchanged(state);
  if (target === null) return register(state, { report, now, change: "begun" });
  if (report.startedAt < target.startedAt) return unchanged(state);
  const sameProcess = report.id === target.id &&
    report.startedAt === target.startedAt;
  if (!sameProcess) return register(state, { report, now, change: "replaced" });
  if (report.sequence <= target.sequence) return unchanged(state);
  const next: RegisteredTarget = {
    ...target,
    ...report,
    reportedAt: now,
    refused: false,
  };
  const leaves = report.phase === "leaving" || target.leavingSince !== null;
  return updated(state, leaves ? asLeaving(next, now) : next);
}

function applyDeparture(
  state: RegistrationState,
  event: RegistrationEvent & { readonly kind: "left" },
) {
  const { target } = state;
  const { notice, now, wallNow } = event;
  if (target === null || target.id !== notice.id) {
    const startedBy = notice.startedAt ?? wallNow;
    const departure = { id: notice.id, now, startedBy };
    const departures = [...state.departures, departure].slice(-maxDepartures);
    return unchanged({ ...state, departures });
  }
  const isOfFormerLife = notice.startedAt !== null &&
    notice.startedAt < target.startedAt;
  return isOfFormerLife
    ? unchanged(state)
    : updated(state, asLeaving(target, now));
}

function register(
  state: RegistrationState,
  options: {
    readonly report: TargetReport;
    readonly now: number;
    readonly change: RegistrationChange;
  },
) {
  const { report, now, change } = options;
  const target: RegisteredTarget = {
    ...report,
    reportedAt: now,
    leavingSince: null,
    refused: false,
  };
  const leaves = report.phase === "leaving" ||
    isBeforeDeparture(state, report, now);
  const registered = leaves ? asLeaving(target, now) : target;
  return { state: { ...state, target: registered }, change };
}

/** Whether the report was sent before a known departure of its process. */
function isBeforeDeparture(
  { departures }: RegistrationState,
  report: TargetReport,
  now: number,
): boolean {
  return departures.some((departure) =>
    departure.id === report.id && report.startedAt <= departure.startedBy &&
    now - departure.now < maxReportDelayMilliseconds
  );
}

function asLeaving(target: RegisteredTarget, now: number): RegisteredTarget {
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
