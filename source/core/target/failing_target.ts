/**
 * What the agent beside a target does when the target fails requests.
 *
 * All requests to the target pass this agent, so it knows of failures that no
 * single entry sees often enough. It publishes fewer slots, and gives a target
 * that fails most requests no more than its share of what it usually runs; the
 * rest is refused before it is sent, so that entries can send it elsewhere.
 *
 * Invariants:
 * - while starts are limited, they follow the target's share, which at most
 *   doubles in a second;
 * - a target that fails all requests runs one of them at a time.
 *
 * @module
 */
import {
  minShare,
  type ObservedHealth,
  recordEnd,
  type RequestEnd,
  toleratedSlowdown,
  unknownHealth,
} from "./observed_health.ts";

/** The usual time of one kind of work in the target. */
interface UsualTime {
  readonly milliseconds: number;
  readonly count: number;
  readonly measuredAt: number;
}

/** The limited starts of a failing target. */
interface LimitedStarts {
  /** Requests that may start now; a fraction of one is saved. */
  readonly free: number;
  readonly countedAt: number;
}

/** What is known of the target. Times are monotonic, in milliseconds. */
export interface FailingTargetState {
  readonly health: ObservedHealth;
  /** Requests that were sent to the target and have not ended. */
  readonly running: number;
  /** Null while starts are not limited. */
  readonly starts: LimitedStarts | null;
  readonly usual: ReadonlyMap<string, UsualTime>;
  /** Mean time of answers over all kinds. */
  readonly meanMilliseconds: number;
  /** The share that other agents were told. */
  readonly published: { readonly share: number; readonly at: number };
}

/** How a request ended in the target. */
export interface TargetEnd {
  /** The kind of work; kinds have different usual times. */
  readonly work: string;
  /**
   * `timed-out` if its deadline passed first; `unknown` for an end that shows
   * nothing of the target, such as a caller that left.
   */
  readonly kind: "answered" | "failed" | "timed-out" | "unknown";
  readonly milliseconds: number;
  /** The end of its objective. */
  readonly objectiveAt: number;
  readonly now: number;
}

/** Starts are limited once the target's share is below this. */
const limitBelowShare = 0.125;
/** Starts are no longer limited from this share on. */
const freeFromShare = 0.5;
/**
 * The slots that the others must have together, as a part of what they would
 * have if all were healthy. All targets of a service fail when its requests are
 * at fault; then refusing them loses more answers than it saves.
 */
const minOtherSlots = 0.5;
/**
 * Time constant of the usual times. It exceeds the time that a target is slow
 * for, which must not become its usual time.
 */
const usualTimeConstant = 60_000;
/** A service has few routes; beyond this number the oldest kind is dropped. */
const maxKinds = 64;
/** The assumed time of a request before any has been measured. */
const defaultMilliseconds = 100;
/** A request takes at least this long; a clock may show no time at all. */
const minMilliseconds = 1;
/** Turns of the agent itself delay an answer by up to this. */
const turnMilliseconds = 20;
/** Other agents are not told of a change more often. */
const minPublishIntervalMilliseconds = 2_000;
/**
 * A change by a smaller factor is not published, so that single failures cause no
 * messages.
 */
const minPublishFactor = 1.5;

/** A target of which nothing is known. */
export const unknownTarget: FailingTargetState = {
  health: unknownHealth,
  running: 0,
  starts: null,
  usual: new Map(),
  meanMilliseconds: defaultMilliseconds,
  published: { share: 1, at: 0 },
};

/** What a start depends on. */
export interface StartView {
  /** The slots that the target states. */
  readonly slots: number;
  /** The slots that each other target of its service publishes. */
  readonly otherSlots: readonly number[];
  readonly now: number;
}

/** Whether a request may be sent to the target now. */
export function decideStart(
  state: FailingTargetState,
  { slots, otherSlots, now }: StartView,
): { readonly state: FailingTargetState; readonly starts: boolean } {
  if (state.starts === null || !canTakeOver(otherSlots, slots)) {
    return { state, starts: true };
  }
  const { share } = state.health;
  if (share <= minShare && state.running > 0) return { state, starts: false };
  const perMillisecond = share * slots / state.meanMilliseconds;
  const elapsed = Math.max(0, now - state.starts.countedAt);
  const free = Math.min(
    Math.max(1, share * slots),
    state.starts.free + elapsed * perMillisecond,
  );
  const starts = free >= 1;
  const next = { free: starts ? free - 1 : free, countedAt: now };
  return { state: { ...state, starts: next }, starts };
}

/** Whether the others can run what a target with so many slots leaves. */
function canTakeOver(otherSlots: readonly number[], slots: number): boolean {
  const sum = otherSlots.reduce((sum, each) => sum + Math.min(each, slots), 0);
  const healthy = otherSlots.length * slots;
  return healthy > 0 && sum >= healthy * minOtherSlots;
}

/** Records that a request was sent to the target. */
export function recordSent(state: FailingTargetState): FailingTargetState {
  return { ...state, running: state.running + 1 };
}

/** Records that a request has ended in the target. */
export function recordTargetEnd(
  state: FailingTargetState,
  end: TargetEnd,
): FailingTargetState {
  const ended = { ...state, running: Math.max(0, state.running - 1) };
  const seen = observedEnd(state, end);
  if (seen === null) return ended;
  const { now } = end;
  const measured = end.kind === "answered" ? recordTime(ended, end) : ended;
  const health = recordEnd(state.health, seen, { now });
  return publish({
    ...measured,
    health,
    starts: startsAfter(state, health, now),
  }, now);
}

/** What an end shows of the target; null for nothing. */
function observedEnd(
  state: FailingTargetState,
  end: TargetEnd,
): RequestEnd | null {
  const { slowdown, late } = slownessOf(state, end);
  switch (end.kind) {
    case "unknown":
      return null;
    case "failed":
      return { kind: "failed" };
    case "timed-out":
      // A request may have been given less than the usual time.
      return slowdown > toleratedSlowdown ? { kind: "failed" } : null;
    case "answered":
      return { kind: "answered", slowdown, late };
  }
}

function startsAfter(
  { starts }: FailingTargetState,
  { share }: ObservedHealth,
  now: number,
): LimitedStarts | null {
  if (starts === null) {
    return share < limitBelowShare ? { free: 0, countedAt: now } : null;
  }
  return share >= freeFromShare ? null : starts;
}

/** How much slower an answer was than usual, and whether that made it late. */
function slownessOf(
  { usual }: FailingTargetState,
  { work, kind, milliseconds, objectiveAt, now }: TargetEnd,
): { readonly slowdown: number; readonly late: boolean } {
  const known = usual.get(work)?.milliseconds ?? defaultMilliseconds;
  const slowdown = Math.max(0, milliseconds - turnMilliseconds) / known;
  const hadTime = now - milliseconds + known <= objectiveAt;
  const late = now > objectiveAt && hadTime && slowdown > toleratedSlowdown;
  // An answer of a kind that has not been measured may usually take so long.
  const isMeasured = usual.has(work) || kind !== "answered";
  return isMeasured ? { slowdown, late } : { slowdown: 1, late: false };
}

/** A slow answer counts as little more than usual in the usual time. */
function recordTime(
  state: FailingTargetState,
  { work, milliseconds: measured, now }: TargetEnd,
): FailingTargetState {
  const milliseconds = Math.max(minMilliseconds, measured);
  const known = state.usual.get(work);
  const usual = new Map(state.usual);
  usual.delete(work);
  usual.set(work, updateUsual(known, { milliseconds, now }));
  const [oldest] = usual.keys();
  if (usual.size > maxKinds && oldest !== undefined) usual.delete(oldest);
  const mean = state.meanMilliseconds;
  const meanMilliseconds = mean + (milliseconds - mean) / meanOverRequests;
  return { ...state, usual, meanMilliseconds };
}

/** The mean time of requests is taken over about this many of them. */
const meanOverRequests = 20;

function updateUsual(
  known: UsualTime | undefined,
  { milliseconds, now }: Pick<TargetEnd, "milliseconds" | "now">,
): UsualTime {
  if (known === undefined) return { milliseconds, count: 1, measuredAt: now };
  const count = known.count + 1;
  const age = Math.max(0, now - known.measuredAt);
  const weight = Math.max(
    1 / count,
    1 - Math.exp(-age / usualTimeConstant),
  );
  const bounded = Math.min(
    milliseconds,
    known.milliseconds * toleratedSlowdown,
  );
  return {
    milliseconds: known.milliseconds +
      (bounded - known.milliseconds) * weight,
    count,
    measuredAt: now,
  };
}

/** Other agents are told of a loss at once, and of a regain by steps. */
function publish(
  state: FailingTargetState,
  now: number,
): FailingTargetState {
  const { share } = state.health;
  const { published } = state;
  const factor = share / published.share;
  const isLoss = factor <= 1 / minPublishFactor;
  const isRegain = factor >= minPublishFactor || (share === 1 && factor > 1);
  const due = now - published.at >= minPublishIntervalMilliseconds;
  return isLoss || (isRegain && due)
    ? { ...state, published: { share, at: now } }
    : state;
}

/** The slots that other agents are told, at least one. */
export function slotsByShare(slots: number, share: number): number {
  return Math.max(1, Math.round(slots * share));
}
