/**
 * The rate at which a cold target is given requests.
 *
 * All requests to a target pass the agent beside it, so the rate is kept there
 * and needs no other agent. Starts are spaced evenly. A start that was not used
 * is not saved for later, apart from the lateness of a timer, so that the
 * requests of any one second stay close to the rate and far below the bound
 * that the platform allows.
 *
 * Invariant: in any one second at most `requestsPerSecond`, and two more, are
 * started, without those that were given back.
 *
 * @module
 */

/** The starts of a cold target. Times are monotonic, in milliseconds. */
export interface ColdStarts {
  readonly requestsPerSecond: number;
  /** When the rate came into force. */
  readonly since: number;
  /** When the next request may start. */
  readonly nextAt: number;
}

/**
 * How late a start may be without delaying the next one, as a part of the time
 * between two: timers fire late, and the rate would fall below the allowed one.
 */
const maxLatenessShare = 0.25;

/**
 * The starts after a change of the rate; null for a target that isn't cold. A
 * target that becomes cold has no start saved: how many requests it got just
 * before is not known after a restart of the agent.
 */
export function changeColdRate(
  starts: ColdStarts | null,
  change: { readonly requestsPerSecond: number | null; readonly now: number },
): ColdStarts | null {
  const { requestsPerSecond, now } = change;
  if (requestsPerSecond === null) return null;
  if (starts?.requestsPerSecond === requestsPerSecond) return starts;
  const nextAt = now + intervalOf(requestsPerSecond);
  return { requestsPerSecond, since: starts?.since ?? now, nextAt };
}

/** Whether a request may start now. */
export function isStartFree(starts: ColdStarts | null, now: number): boolean {
  return starts === null || now >= starts.nextAt;
}

/** Uses the free start. */
export function takeStart(starts: ColdStarts, now: number): ColdStarts {
  const interval = intervalOf(starts.requestsPerSecond);
  const from = Math.max(starts.nextAt, now - interval * maxLatenessShare);
  return { ...starts, nextAt: from + interval };
}

/** Gives back the start of a request that the target doesn't count. */
export function returnStart(
  starts: ColdStarts,
  request: { readonly startedAt: number },
): ColdStarts {
  if (request.startedAt < starts.since) return starts;
  const nextAt = starts.nextAt - intervalOf(starts.requestsPerSecond);
  return { ...starts, nextAt };
}

/** Milliseconds until a request can start that has so many ahead of it. */
export function startDelay(
  starts: ColdStarts,
  view: { readonly ahead: number; readonly now: number },
): number {
  const first = Math.max(0, starts.nextAt - view.now);
  return first + view.ahead * intervalOf(starts.requestsPerSecond);
}

/** How many slots of a target its requests can fill; a fraction if cold. */
export function usableSlots(
  starts: ColdStarts | null,
  target: { readonly slots: number; readonly milliseconds: number },
): number {
  if (starts === null) return target.slots;
  const filled = starts.requestsPerSecond * target.milliseconds / 1_000;
  return Math.min(target.slots, filled);
}

/** The time between two starts of a cold target. */
export function startInterval({ requestsPerSecond }: ColdStarts): number {
  return intervalOf(requestsPerSecond);
}

function intervalOf(requestsPerSecond: number): number {
  return 1_000 / requestsPerSecond;
}
