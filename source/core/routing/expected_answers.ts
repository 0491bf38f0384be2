/**
 * When a target is expected to answer a request, by what an entry has seen of
 * it, its distance and the size of the body.
 *
 * @module
 */
import type { Agent } from "../agent.ts";
import { expectedWithSlowness } from "../load/target_load.ts";
import { defaultMilliseconds, type TargetView } from "./target_views.ts";

/** The request that a target is considered for. */
export interface Consideration {
  readonly rank: number;
  readonly bodyBytes: number;
  readonly now: number;
  readonly tier: 0 | 1 | 2;
  /** Regions whose targets are left to requests that are restricted to them. */
  readonly avoidedRegions: ReadonlySet<string>;
}

/** Added to the time of a target that is left to restricted requests. */
const restrictedMilliseconds = 100;
/** What distance adds to the time to an answer, by how links are billed. */
const distanceMilliseconds = [0, 8, 80] as const;
/** What each kilobyte of the request adds to that. */
const kilobyteMilliseconds = [0, 6, 30] as const;
/** An average that is older than this is stale. */
const measurementLifetimeMilliseconds = 3_000;
/** A newly seen target gets its full share after this time. */
const warmUpMilliseconds = 5_000;
/** The load that an older reply carried is ignored. */
const replyLoadLifetimeMilliseconds = 1_000;

/** A target and its expected time to an answer. */
export interface Candidate {
  readonly agent: Agent;
  readonly milliseconds: number;
  /** Load at the target over its slots. */
  readonly utilization: number;
}

/** Load over slots as lately reported; null without a recent report. */
export function reportedUtilization(
  view: TargetView | undefined,
  { slots, now }: { readonly slots: number; readonly now: number },
): number | null {
  if (view === undefined) return null;
  if (now - view.reportedAt >= replyLoadLifetimeMilliseconds) return null;
  return view.reportedLoad / slots;
}

/** Estimates a target; without a view it has not been used yet. */
export function evaluateTarget(
  agent: Agent,
  view: TargetView | undefined,
  asked: Consideration,
): Candidate {
  const { tier, bodyBytes, now } = asked;
  const distance = distanceMilliseconds[tier] +
    kilobyteMilliseconds[tier] * bodyBytes / 1_000 +
    (asked.avoidedRegions.has(agent.place.region) ? restrictedMilliseconds : 0);
  if (view === undefined) {
    return {
      agent,
      utilization: 0,
      milliseconds: defaultMilliseconds + distance,
    };
  }
  const utilization = targetUtilization(view, { slots: agent.slots, now });
  const expected = expectedWithSlowness(view.slowness, {
    milliseconds: expectedTime(view, asked),
    now,
  });
  return {
    agent,
    utilization,
    milliseconds: expected * (1 + utilization) + distance,
  };
}

/**
 * A target that is avoided gives no answers, so its average must expire. Only
 * one request at a time then tries it again.
 */
function expectedTime(view: TargetView, asked: Consideration): number {
  const stale = asked.now - view.measuredAt > measurementLifetimeMilliseconds;
  if (stale && view.inFlight === 0) return defaultMilliseconds;
  return view.typicalMilliseconds.get(asked.rank) ?? defaultMilliseconds;
}

function targetUtilization(
  view: TargetView,
  options: { readonly slots: number; readonly now: number },
): number {
  const { slots, now } = options;
  const fresh = now - view.reportedAt < replyLoadLifetimeMilliseconds;
  const load = Math.max(view.inFlight, fresh ? view.reportedLoad : 0);
  const warmUpShare = Math.min(
    1,
    0.2 + (now - view.firstSeenAt) / warmUpMilliseconds,
  );
  return (load + view.inFlight / 2) / (slots * warmUpShare);
}
