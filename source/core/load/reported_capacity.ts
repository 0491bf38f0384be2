/**
 * How many requests a target has room for by its own report.
 *
 * All its requests pass through the agent beside it, whose own count is newer. A
 * report of far more requests, or of fewer slots, means that something runs there
 * that the agent doesn't count, such as requests that it has given up.
 *
 * Invariants:
 * - a report never raises what the agent starts by its own count;
 * - a target that reports to be full is still given one request at a time;
 * - a report has no effect once it is half a second old.
 *
 * @module
 */
import { reportLifetimeMilliseconds, type TargetLoad } from "./target_load.ts";

/** What a target has room for by its last report. Times are monotonic. */
export interface ReportedCapacity {
  /** The most requests of this agent that may run in it. */
  readonly slots: number;
  readonly reportedAt: number;
  /** Answers in succession that the reported requests did not delay. */
  readonly contradictions: number;
}

/** What the agent knows by itself as a report arrives with an answer. */
export interface OwnCount {
  /** The slots that the agent takes the target to have. */
  readonly slots: number;
  /** Its requests that run in the target, without the one that has ended. */
  readonly running: number;
  /** How long that one took in the target. */
  readonly milliseconds: number;
  /** How long it usually takes; 0 if that is not known. */
  readonly usualMilliseconds: number;
  readonly now: number;
}

/**
 * Requests that the target may report beyond the agent's count: the one that it
 * answers, and some that have ended since, whose answers were read earlier.
 */
const minTolerance = 3;
/** The same as a part of the slots, since more end with more slots. */
const toleranceShare = 0.25;
/** A request that took longer was delayed by others. */
const delayedFactor = 1.5;
/**
 * After this number of contradictions the reported requests are not believed.
 * Answers vary, so a few quick ones prove nothing.
 */
const maxContradictions = 8;

/** Records a report; without one, the last report holds until it is old. */
export function recordReport(
  former: ReportedCapacity | null,
  report: TargetLoad | null,
  own: OwnCount,
): ReportedCapacity | null {
  if (report === null) return former;
  const excess = unknownRequests(report, own);
  const contradictions = excess === 0
    ? former?.contradictions ?? 0
    : countContradiction(former, own);
  const taken = contradictions >= maxContradictions ? 0 : excess;
  const slots = Math.max(1, Math.min(own.slots, report.slots) - taken);
  return { slots, reportedAt: own.now, contradictions };
}

/** The most requests that may run now by the report and by the own limit. */
export function limitByReport(
  reported: ReportedCapacity | null,
  { limit, now }: { readonly limit: number; readonly now: number },
): number {
  if (reported === null) return limit;
  const old = now - reported.reportedAt >= reportLifetimeMilliseconds;
  return old ? limit : Math.min(limit, reported.slots);
}

/** The requests in the target that this agent doesn't count; 0 for a few. */
function unknownRequests(
  { running, waiting }: TargetLoad,
  own: OwnCount,
): number {
  const excess = running + waiting - own.running;
  const tolerance = Math.max(minTolerance, own.slots * toleranceShare);
  return excess > tolerance ? excess : 0;
}

/** Requests that wait in the target delay those of this agent, too. */
function countContradiction(
  former: ReportedCapacity | null,
  { milliseconds, usualMilliseconds }: OwnCount,
): number {
  const count = former?.contradictions ?? 0;
  if (usualMilliseconds === 0) return count;
  const delayed = milliseconds > usualMilliseconds * delayedFactor;
  return delayed ? 0 : Math.min(maxContradictions, count + 1);
}

/** The report as an input of a decision, for its log line. */
export function describeCapacity(
  reported: ReportedCapacity | null,
  now: number,
): Readonly<Record<string, number>> {
  if (reported === null) return {};
  return {
    reportedSlots: reported.slots,
    reportAgeMilliseconds: Math.round(now - reported.reportedAt),
  };
}
