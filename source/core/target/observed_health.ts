/**
 * What requests have shown of a target, and the share of traffic that it gets
 * for it. The health path of a target may work while it fails part of its
 * requests, so only the ends of requests count.
 *
 * Each one changes the target's quality. The share falls with it at once, and
 * rises with successes only.
 *
 * Invariants:
 * - a share rises only with a success, and at most doubles in a second;
 * - a target of which nothing is known has its whole share.
 *
 * @module
 */

/** How a request ended at a target. */
export type RequestEnd =
  | {
    readonly kind: "answered";
    /** Its time over the usual time; 1 when left out. */
    readonly slowdown?: number;
    /** Whether it missed its objective for that; not when left out. */
    readonly late?: boolean;
  }
  | { readonly kind: "failed" };

/** How many of the recent requests ended how; older ones count half. */
export interface RecentEnds {
  readonly answered: number;
  readonly slow: number;
  readonly failed: number;
}

/** What requests have shown of a target. Times are monotonic, in milliseconds. */
export interface ObservedHealth {
  /** Moving average of what requests were worth there, 0 to 1. */
  readonly quality: number;
  /** The part of its usual traffic that the target gets. */
  readonly share: number;
  /** When a request last ended there. */
  readonly endedAt: number;
  /** Whether it is reported as avoided. */
  readonly avoided: boolean;
  readonly recent: RecentEnds;
}

/** What others must be told after a request has ended. */
export type HealthChange = "avoided" | "restored";

/** A target of which nothing is known. */
export const unknownHealth: ObservedHealth = {
  quality: 1,
  share: 1,
  endedAt: 0,
  avoided: false,
  recent: { answered: 0, slow: 0, failed: 0 },
};

/** The least share, which is that of a target that fails all requests. */
export const minShare = 1 / 32;
/**
 * A failed request costs the target so many times its part of the requests:
 * its caller often gets no other answer, while other targets have capacity.
 */
const failureFactor = 3;
/** So many failures occur at healthy targets, and cost no traffic. */
const toleratedFailures = 0.05;
/** An answer is slow from this multiple of the usual time on. */
export const toleratedSlowdown = 1.5;
/** What an answer is worth that is late because the target was slow. */
const lateValue = 0.5;
const minSmoothingFactor = 0.1;
/**
 * The least weight of a slow answer. Slow answers come in succession while other
 * workloads slow a machine down for some hundred milliseconds.
 */
const minSlowSmoothingFactor = 0.02;
/** The most that one request counts, however long ago the one before it ended. */
const maxSmoothingFactor = 0.3;
/**
 * The same at an entry, which sends a target few requests: after a pause, one
 * failure takes the target's share to the least one.
 */
export const entrySmoothingFactor = 0.5;
/** Time constant of the quality. */
const smoothingMilliseconds = 2_000;
/** The share at most doubles in this time. */
const doublingMilliseconds = 1_000;
/** Above this number of recent requests, all counts are halved. */
const maxRecentEnds = 32;
const avoidedBelow = 0.5;
const restoredFrom = 0.9;
/** A single bad request is not reported. */
const minBadEnds = 2;
/** What a request was worth: 1 for an answer in the usual time. */
function valueOf(end: RequestEnd): number {
  if (end.kind === "failed") return 0;
  if (end.late === true) return lateValue;
  const ratio = toleratedSlowdown / (end.slowdown ?? 1);
  // A target that takes twice the tolerated time deserves half of its share.
  return ratio >= 1 ? 1 : 1 - toleratedFailures - (1 - ratio) / failureFactor;
}

function isSlow(end: RequestEnd): boolean {
  return end.kind === "answered" && (end.slowdown ?? 1) > toleratedSlowdown;
}

/** Records the end of a request. */
export function recordEnd(
  health: ObservedHealth,
  end: RequestEnd,
  options: {
    readonly now: number;
    /** How much a request counts at most that follows a long pause. */
    readonly maxWeight?: number;
  },
): ObservedHealth {
  const { now, maxWeight = maxSmoothingFactor } = options;
  const age = Math.max(0, now - health.endedAt);
  const value = valueOf(end);
  const minWeight = isSlow(end) ? minSlowSmoothingFactor : minSmoothingFactor;
  const weight = Math.min(
    maxWeight,
    Math.max(minWeight, 1 - Math.exp(-age / smoothingMilliseconds)),
  );
  const quality = health.quality + (value - health.quality) * weight;
  const lost = failureFactor * Math.max(0, 1 - quality - toleratedFailures);
  const deserved = Math.max(minShare, 1 - lost);
  const highest = value >= health.quality
    ? health.share * 2 ** (age / doublingMilliseconds)
    : health.share;
  const share = Math.min(deserved, highest);
  const recent = countEnd(health.recent, end);
  return {
    quality,
    share,
    endedAt: now,
    avoided: health.avoided
      ? share < restoredFrom
      : share < avoidedBelow && recent.failed + recent.slow >= minBadEnds,
    recent,
  };
}

function countEnd(recent: RecentEnds, end: RequestEnd): RecentEnds {
  const { answered, slow, failed } = recent;
  const keep = answered + failed >= maxRecentEnds ? 0.5 : 1;
  return {
    answered: Math.floor(answered * keep) + (end.kind === "answered" ? 1 : 0),
    slow: Math.floor(slow * keep) + (isSlow(end) ? 1 : 0),
    failed: Math.floor(failed * keep) + (end.kind === "failed" ? 1 : 0),
  };
}

/** What changed for others between two states; null for nothing. */
export function healthChange(
  before: ObservedHealth,
  after: ObservedHealth,
): HealthChange | null {
  if (before.avoided === after.avoided) return null;
  return after.avoided ? "avoided" : "restored";
}

/** What a decision on a target is based on, for its log line. */
export function describeHealth(
  { share, quality, recent }: ObservedHealth,
): Readonly<Record<string, number>> {
  return {
    ...recent,
    quality: Number(quality.toFixed(3)),
    share: Number(share.toFixed(3)),
  };
}
