/**
 * Queueing within one rank by objective: the time after which an answer loses
 * most of its worth.
 *
 * Served in order of arrival, a burst above the capacity of the target makes
 * every request miss its objective, because each waits slightly too long. So
 * requests that can still meet their objective start first, and few others may
 * wait; the rest are refused at once with a time after which to retry. While
 * the target can run all requests that arrive, a queue soon drains, and more
 * requests may wait in it.
 *
 * @module
 */

/** The times of a request that decide its order within its rank. */
export interface TimedRequest {
  /** The end of the time within which an answer has its full worth. */
  readonly objectiveAt: number;
  readonly deadlineAt: number;
}

/** What an arriving request of a rank can expect. */
export interface QueueEstimate {
  readonly now: number;
  /** Time until a slot is free for it. */
  readonly waitMilliseconds: number;
  /** Expected time in the target. */
  readonly serviceMilliseconds: number;
  /** The longest wait of a request that will miss its objective. */
  readonly maxLateWaitMilliseconds: number;
  /** Offered load over the capacity of the target; 1 at full capacity. */
  readonly utilization: number;
}

/** Service times vary: half of the expected one is still likely. */
const minServiceTimeFactor = 0.5;
/**
 * A request may queue if it still meets its objective when it takes this
 * multiple of its expected time.
 */
const serviceTimeMargin = 1.4;
/** The same from full utilization on. */
const overloadServiceTimeMargin = 1.8;
/** From here on all slots are needed for requests that meet their objective. */
const fullUtilization = 0.9;

/** Whether all slots are needed, so that requests compete for them. */
export function isFullyUtilized(utilization: number): boolean {
  return utilization >= fullUtilization;
}

/** The longest wait of a request that will miss its objective. */
export function maxLateWait(
  view: Pick<QueueEstimate, "utilization" | "maxLateWaitMilliseconds">,
): number {
  const bounded = Number.isFinite(view.maxLateWaitMilliseconds);
  return bounded && isFullyUtilized(view.utilization)
    ? 0
    : view.maxLateWaitMilliseconds;
}

/** Whether a request can still meet its objective if it starts now. */
export function canMeetObjective(
  request: TimedRequest,
  view: { readonly now: number; readonly serviceMilliseconds: number },
): boolean {
  const shortest = view.serviceMilliseconds * minServiceTimeFactor;
  return view.now + shortest <= request.objectiveAt;
}

/** A request that waits in a queue, or arrives at it. */
export interface QueuedRequest extends TimedRequest {
  /** The time by which the requests of its rank are ordered. */
  readonly orderAt: number;
  /** Its expected time in the target. */
  readonly serviceMilliseconds: number;
}

/**
 * Whether a waiting request starts before one that arrives. One that is late
 * doesn't, if the other can still meet its objective.
 */
export function startsBefore(
  waiting: QueuedRequest,
  arriving: QueuedRequest,
  now: number,
): boolean {
  const timely = isTimely(waiting, now);
  return timely === isTimely(arriving, now)
    ? waiting.orderAt <= arriving.orderAt
    : timely;
}

/** Whether a waiting request may start before one that arrives, in any order. */
export function competesWith(
  waiting: QueuedRequest,
  arriving: QueuedRequest,
  now: number,
): boolean {
  return isTimely(waiting, now) || !isTimely(arriving, now);
}

function isTimely(request: QueuedRequest, now: number): boolean {
  const { serviceMilliseconds } = request;
  return canMeetObjective(request, { now, serviceMilliseconds });
}

/**
 * The index in a queue of the request to start next: the first that can meet
 * its objective, or else the first. -1 for an empty queue.
 */
export function nextToStart<Request extends TimedRequest>(
  queue: readonly Request[],
  view: {
    readonly now: number;
    /** The expected time of a request in the target, in milliseconds. */
    readonly serviceMillisecondsOf: (request: Request) => number;
    /** Chooses one of those that can meet it; the first when left out. */
    readonly choose?: (requests: readonly Request[]) => Request | undefined;
  },
): number {
  const { now, serviceMillisecondsOf, choose = firstOf } = view;
  const timely = queue.filter((request) =>
    canMeetObjective(request, {
      now,
      serviceMilliseconds: serviceMillisecondsOf(request),
    })
  );
  const chosen = choose(timely.length > 0 ? timely : queue);
  return chosen === undefined ? -1 : queue.indexOf(chosen);
}

function firstOf<Request>(requests: readonly Request[]): Request | undefined {
  return requests[0];
}

/**
 * After how many milliseconds an arriving request should be sent again; null
 * when it may wait in this queue.
 */
export function retryDelay(
  request: TimedRequest,
  estimate: QueueEstimate,
): number | null {
  const { now, waitMilliseconds, serviceMilliseconds } = estimate;
  const margin = estimate.utilization >= fullUtilization
    ? overloadServiceTimeMargin
    : serviceTimeMargin;
  const maxLate = maxLateWait(estimate);
  const slack = request.objectiveAt - now - serviceMilliseconds * margin;
  if (waitMilliseconds <= Math.max(slack, maxLate)) return null;
  return waitMilliseconds - maxLate;
}
