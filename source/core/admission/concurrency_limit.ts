/**
 * How many requests may run in a target concurrently. The limit starts below
 * the slots that the target states, rises with each answer and falls with each
 * refusal by the target.
 *
 * Invariant: for a target that states at least one slot, the limit is between 1
 * and its slots.
 *
 * @module
 */
import type { AdmissionSettings } from "./settings.ts";

/** How a started request ended, as it affects the limit. */
export type FinishKind =
  | "answered"
  | "refused"
  /** Refused by the target as not meant for it, which it doesn't count. */
  | "misdirected"
  | "failed"
  /** It was not sent to the target. */
  | "unused";

/** The limit, with the settings that it was made for. */
interface Limited {
  readonly limit: number;
  readonly settings: AdmissionSettings;
}

/** The part of its slots that a target gets before any request has ended. */
const defaultInitialShare = 0.5;
/** The limit is multiplied by this after each refusal by the target. */
const limitDecreaseFactor = 0.8;
/** The limit never falls below this part of the slots. */
const minLimitShare = 0.75;

/** The limit before any request has ended. */
export function initialLimit(settings: AdmissionSettings): number {
  return Math.max(
    1,
    settings.slots * (settings.initialShare ?? defaultInitialShare),
  );
}

/** The limit after a request has ended. */
export function limitAfter(limited: Limited, finish: FinishKind): number {
  const { limit, settings } = limited;
  switch (finish) {
    case "unused":
      return limit;
    case "refused":
    case "misdirected":
      return decreasedLimit(limited);
    case "failed":
      return Math.min(settings.slots, limit);
    case "answered":
      return Math.min(settings.slots, limit + 1 / limit);
  }
}

/**
 * A target that refuses at random, or everything at times, is not full: the
 * limit stays above a part of the slots that it states.
 */
function decreasedLimit({ limit, settings }: Limited): number {
  const minLimit = Math.max(1, settings.slots * minLimitShare);
  return Math.max(Math.min(limit, minLimit), limit * limitDecreaseFactor);
}

/** Keeps a limit that has been measured, up to the slots that are stated. */
export function resizedLimit(
  { limit, settings: former }: Limited,
  settings: AdmissionSettings,
): number {
  return limit === initialLimit(former)
    ? initialLimit(settings)
    : Math.min(Math.max(1, settings.slots), limit);
}
