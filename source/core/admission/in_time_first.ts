/**
 * The answer to a burst of one rank above what its target can run, of requests
 * that lose most of their worth once their objective has passed.
 *
 * In order of arrival such a burst makes every request late: each waits just
 * too long. Here requests that can still be in time go first, and of the
 * others only a few wait; the rest is refused at once and told when to return.
 *
 * @module
 */

/** A request as far as its urgency within its rank is concerned. */
export interface TimedRequest {
  /** The end of the time within which an answer has its full worth. */
  readonly objectiveAt: number;
  readonly deadlineAt: number;
}

/** What a newcomer of a rank would meet. */
export interface Outlook {
  readonly now: number;
  /** Until a slot would be free for it, in milliseconds. */
  readonly waitMilliseconds: number;
  /** The usual time in the target, in milliseconds. */
  readonly serviceMilliseconds: number;
  /** A request that will be late anyway waits no longer than this. */
  readonly lateWaitMilliseconds: number;
}

/** Times in the target vary: half of the usual one is still likely. */
const likelyShare = 0.5;
/** A newcomer is let in only if a long time in the target is in time too. */
const longShare = 1.8;

/** Whether a request that starts now can be answered within its objective. */
export function canBeInTime(
  request: TimedRequest,
  view: { readonly now: number; readonly serviceMilliseconds: number },
): boolean {
  const shortest = view.serviceMilliseconds * likelyShare;
  return view.now + shortest <= request.objectiveAt;
}

/** The place in a queue of the request to start next; -1 for an empty one. */
export function nextInTime(
  queue: readonly TimedRequest[],
  view: { readonly now: number; readonly serviceMilliseconds: number },
): number {
  const inTime = queue.findIndex((request) => canBeInTime(request, view));
  return inTime < 0 && queue.length > 0 ? 0 : inTime;
}

/**
 * How long a newcomer should stay away, in milliseconds, before it comes back;
 * null when it may wait here.
 */
export function stayAway(
  request: TimedRequest,
  outlook: Outlook,
): number | null {
  const { now, waitMilliseconds, serviceMilliseconds } = outlook;
  const slack = request.objectiveAt - now - serviceMilliseconds * longShare;
  const tolerated = Math.max(slack, outlook.lateWaitMilliseconds);
  if (waitMilliseconds <= tolerated) return null;
  return waitMilliseconds - Math.max(0, outlook.lateWaitMilliseconds);
}
