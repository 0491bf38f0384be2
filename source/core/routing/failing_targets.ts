/**
 * Targets that lose traffic by what requests saw of them, and regain it by
 * degrees.
 *
 * The health path of a target may work while it fails part of its requests, so
 * only requests count. Each one moves the target's quality; the target's share
 * of traffic follows down at once, and up with each success. While it has less
 * than its whole share, a part of the requests leaves it out of their choice,
 * and the choice among the others divides them as usual. A target without a
 * share is tried with one request at a time, at growing distances.
 *
 * Invariants:
 * - a share rises only with a success, and at most doubles in a second;
 * - a target of which nothing is known has its whole share;
 * - a target is left out only while another one can be chosen.
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

/** What requests saw of a target. Times are monotonic, in milliseconds. */
export interface TargetHealth {
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
export const unknownHealth: TargetHealth = {
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
 * Of slow answers, which come in succession while other workloads slow a machine
 * down for some hundred milliseconds.
 */
const minSlowSmoothingFactor = 0.02;
/** One request never decides alone, however long the former one is ago. */
const maxSmoothingFactor = 0.3;
/** Of an entry that sends a target few requests, each one counts for more. */
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
/** The time between two trials of a target, over the share that it has left. */
const trialMilliseconds = 1_000;
/**
 * The longest time between two trials: an entry that sends a target no other
 * request must learn that it has recovered.
 */
const maxTrialMilliseconds = 8_000;

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
  health: TargetHealth,
  end: RequestEnd,
  options: {
    readonly now: number;
    /** How much a request counts at most that follows a long pause. */
    readonly maxWeight?: number;
  },
): TargetHealth {
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
  before: TargetHealth,
  after: TargetHealth,
): HealthChange | null {
  if (before.avoided === after.avoided) return null;
  return after.avoided ? "avoided" : "restored";
}

/** What a decision on a target is based on, for its log line. */
export function describeHealth(
  { share, quality, recent }: TargetHealth,
): Readonly<Record<string, number>> {
  return {
    ...recent,
    quality: Number(quality.toFixed(3)),
    share: Number(share.toFixed(3)),
  };
}

/** What the choice knows of a target. */
export interface ConsideredTarget {
  readonly health: TargetHealth;
  /** The mean share of all targets that the choice is made from. */
  readonly meanShare: number;
  /** Requests to it that have not ended. */
  readonly inFlight: number;
  readonly now: number;
}

/**
 * Whether a request leaves a target out of its choice. `random` returns a number
 * from 0 up to but not including 1.
 */
export type LeavesOut = (
  target: ConsideredTarget,
  random: () => number,
) => boolean;

/** Leaves out none, and draws no random number. */
export const leaveOutNone: LeavesOut = () => false;

/**
 * Leaves out failing targets for the part of their share that they lost. Where
 * all fail alike, the requests are at fault or something that all depend on, and
 * near targets are as good as far ones.
 */
export const leaveOutFailing: LeavesOut = (target, random) => {
  const { health, meanShare } = target;
  return health.share < meanShare && !isTrialDue(target) &&
    random() >= health.share / meanShare;
};

/** Whether a target may be tried again, which nothing else would show. */
export function isTrialDue(
  { health, inFlight, now }: Omit<ConsideredTarget, "meanShare">,
): boolean {
  if (inFlight > 0) return false;
  const distance = Math.min(
    maxTrialMilliseconds,
    trialMilliseconds / health.share,
  );
  return now - health.endedAt >= distance;
}
