/**
 * Whether the local target is cold, the rate that then holds for its starts,
 * and the slots that other agents are told.
 *
 * Invariants:
 * - a target whose state is not known counts as cold: one that may have been
 *   started again since its last report;
 * - without a bound for its service, nothing changes.
 *
 * @module
 */
import type { ColdStart } from "../document/document.ts";
import { slotsByShare } from "./failing_target.ts";
import type { RegisteredTarget } from "./registration.ts";

/**
 * Why a target counts as cold: it says so, or it has refused a connection or
 * missed heartbeats since its last report.
 */
export type ColdCause = "reported" | "refused" | "silent";

/** What is known of the target at one time. */
export interface ColdTargetView {
  /** A monotonic time, in milliseconds. */
  readonly now: number;
  readonly target: RegisteredTarget | null;
  /** What its service tolerates; null without a bound. */
  readonly coldStart: ColdStart | null;
  /** Mean time of a request in the target. */
  readonly usualMilliseconds: number;
  readonly heartbeatMilliseconds: number;
  /** The part of its slots that its requests leave it; all when left out. */
  readonly share?: number;
}

/** The state of the local target's coldness. Times are monotonic. */
export interface ColdTargetState {
  readonly cold: { readonly cause: ColdCause; readonly since: number } | null;
  /** When the target became warm again; null if it did not. */
  readonly warmSince: number | null;
  /** The rate in force; null for none. */
  readonly requestsPerSecond: number | null;
  /** The slots that other agents were told; null if none. */
  readonly published: PublishedSlots | null;
}

/** The slots that other agents were told. */
interface PublishedSlots {
  readonly slots: number;
  readonly at: number;
  /** Whether the target was cold. */
  readonly cold: boolean;
}

/** What the task has to carry out. */
export type ColdTargetEffect =
  | { readonly kind: "limit"; readonly requestsPerSecond: number | null }
  | { readonly kind: "publish"; readonly slots: number }
  | {
    readonly kind: "becameCold";
    readonly cause: ColdCause;
    readonly requestsPerSecond: number;
  }
  | { readonly kind: "becameWarm"; readonly coldMilliseconds: number };

/** Heartbeats that a target may miss before it counts as silent. */
const maxMissedHeartbeats = 2;
/** How late a heartbeat may be, as a part of the interval. */
const heartbeatLateness = 0.25;
/** Other agents are told more slots only after the target was warm so long. */
const warmBeforePublishMilliseconds = 500;
/** While a target is cold, its slots are not published more often. */
const minPublishIntervalMilliseconds = 2_000;
/** Nor if they differ by a smaller factor. */
const minPublishFactor = 1.5;

/** The state before the target is known. */
export const unknownColdness: ColdTargetState = {
  cold: null,
  warmSince: null,
  requestsPerSecond: null,
  published: null,
};

/** Why the target counts as cold; null when it is warm or not known. */
export function coldCause(
  { target, now, heartbeatMilliseconds }: Omit<
    ColdTargetView,
    "coldStart" | "usualMilliseconds"
  >,
): ColdCause | null {
  if (target === null) return null;
  if (target.refused) return "refused";
  const age = now - target.reportedAt;
  const silence = heartbeatMilliseconds *
    (maxMissedHeartbeats + heartbeatLateness);
  if (age >= silence) return "silent";
  return age < target.coldMilliseconds ? "reported" : null;
}

/** The slots that a target is given work for. */
export function effectiveSlots(
  view: Pick<ColdTargetView, "usualMilliseconds"> & {
    readonly slots: number;
    readonly requestsPerSecond: number | null;
  },
): number {
  const { slots, requestsPerSecond, usualMilliseconds } = view;
  if (requestsPerSecond === null) return slots;
  const filled = Math.round(requestsPerSecond * usualMilliseconds / 1_000);
  return Math.max(1, Math.min(slots, filled));
}

/** Updates the state by what is known now. */
export function stepColdTarget(
  state: ColdTargetState,
  view: ColdTargetView,
): {
  readonly state: ColdTargetState;
  readonly effects: readonly ColdTargetEffect[];
} {
  const { now, target, coldStart } = view;
  if (target === null) return { state, effects: [] };
  const cause = coldStart === null ? null : coldCause(view);
  const requestsPerSecond = cause === null
    ? null
    : coldStart?.maxRequestsPerSecond ?? null;
  const effects: ColdTargetEffect[] = [];
  if (requestsPerSecond !== state.requestsPerSecond) {
    effects.push({ kind: "limit", requestsPerSecond });
  }
  if (cause !== null && requestsPerSecond !== null && state.cold === null) {
    effects.push({ kind: "becameCold", cause, requestsPerSecond });
  }
  if (cause === null && state.cold !== null) {
    const coldMilliseconds = now - state.cold.since;
    effects.push({ kind: "becameWarm", coldMilliseconds });
  }
  const next: ColdTargetState = {
    cold: cause === null ? null : { cause, since: state.cold?.since ?? now },
    warmSince: cause === null && state.cold !== null ? now : state.warmSince,
    requestsPerSecond,
    published: state.published,
  };
  const slots = slotsToPublish(next, { ...view, target });
  if (slots === null) return { state: next, effects };
  return {
    state: { ...next, published: { slots, at: now, cold: cause !== null } },
    effects: [...effects, { kind: "publish", slots }],
  };
}

/** The slots to tell other agents; null when what they know is close enough. */
function slotsToPublish(
  state: ColdTargetState,
  view: ColdTargetView & { readonly target: RegisteredTarget },
): number | null {
  const { now } = view;
  const { published, warmSince, requestsPerSecond } = state;
  const slots = effectiveSlots({
    slots: slotsByShare(view.target.slots, view.share ?? 1),
    requestsPerSecond,
    usualMilliseconds: view.usualMilliseconds,
  });
  if (published === null) return slots;
  if (published.slots === slots) return null;
  if (requestsPerSecond === null) {
    const warmLongEnough = warmSince === null ||
      now - warmSince >= warmBeforePublishMilliseconds;
    return warmLongEnough ? slots : null;
  }
  if (!published.cold) return slots;
  const factor = Math.max(slots, published.slots) /
    Math.min(slots, published.slots);
  const due = now - published.at >= minPublishIntervalMilliseconds;
  return due && factor >= minPublishFactor ? slots : null;
}
