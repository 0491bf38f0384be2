/**
 * The load that a target reports of itself: how much longer its requests take
 * while its machine is slow, and how many requests it has room for.
 *
 * A target may report false values. They are compared with what it usually
 * reports, since the measured times of its requests contain that already, and
 * they only lengthen the expected time, within a bound. So no report makes a
 * target seem faster than its requests were, and one that looks slow is tried
 * again once the report is old. In the same way its counts only lower what its
 * agent takes it to have room for.
 *
 * @module
 */

/** What a target reports with an answer. */
export interface TargetLoad {
  readonly running: number;
  readonly waiting: number;
  readonly slots: number;
  /** How long work takes at this moment, 1 being usual; null if not known. */
  readonly slowness: number | null;
}

/** What is known of a target's slowness. Times are monotonic. */
export interface Slowness {
  /** As last reported. */
  readonly current: number;
  readonly reportedAt: number;
  /** Moving average over the same time as that of the measured times. */
  readonly mean: number;
}

/** Time constant of the moving average. */
const smoothingMilliseconds = 2_000;
/** The load changes many times a second, so an older report is ignored. */
export const reportLifetimeMilliseconds = 500;
/** Work takes at most this much longer than usual, whatever is reported. */
const maxFactor = 3;

/** A machine counts as slow at this moment from this factor on. */
const minSlowFactor = 1.5;

/** Records a report; one without a slowness changes nothing. */
export function recordSlowness(
  former: Slowness | null,
  report: { readonly slowness: number | null; readonly now: number },
): Slowness | null {
  const { slowness, now } = report;
  if (slowness === null) return former;
  if (former === null) {
    return { current: slowness, reportedAt: now, mean: slowness };
  }
  const age = Math.max(0, now - former.reportedAt);
  const share = 1 - Math.exp(-age / smoothingMilliseconds);
  const mean = former.mean + (slowness - former.mean) * share;
  return { current: slowness, reportedAt: now, mean };
}

/**
 * The expected time of work that usually takes so long. The last report holds
 * for its lifetime at most and counts less the older it is.
 */
export function expectedWithSlowness(
  slowness: Slowness | null,
  work: { readonly milliseconds: number; readonly now: number },
): number {
  const { milliseconds, now } = work;
  if (slowness === null) return milliseconds;
  const age = Math.max(0, now - slowness.reportedAt);
  const trust = Math.max(0, 1 - age / reportLifetimeMilliseconds);
  const affected = Math.min(milliseconds, reportLifetimeMilliseconds);
  return milliseconds + affected * trust * (boundedFactor(slowness) - 1);
}

/**
 * How much longer than usual work takes at this moment: 1 unless a report that
 * is still valid says that the machine is clearly slow.
 */
export function momentarySlowness(
  slowness: Slowness | null,
  now: number,
): number {
  if (slowness === null) return 1;
  if (now - slowness.reportedAt >= reportLifetimeMilliseconds) return 1;
  const factor = boundedFactor(slowness);
  return factor >= minSlowFactor ? factor : 1;
}

/** A target's slowness as an input of a decision, for its log line. */
export function describeSlowness(
  slowness: Slowness | null,
  now: number,
): Readonly<Record<string, number>> {
  if (slowness === null) return {};
  return {
    slowness: Number(slowness.current.toFixed(2)),
    usualSlowness: Number(slowness.mean.toFixed(2)),
    slownessAgeMilliseconds: Math.round(now - slowness.reportedAt),
  };
}

function boundedFactor({ current, mean }: Slowness): number {
  return Math.max(1, Math.min(maxFactor, current / mean));
}
