/**
 * How long an arriving request is expected to wait: for a slot, and for a start
 * of a cold target. Whichever takes longer decides.
 *
 * @module
 */
import { expectedWithSlowness } from "../load/target_load.ts";
import { isStartFree, startDelay } from "./cold_start.ts";
import { type Competing, isContested, workBefore } from "./competition.ts";
import {
  competingUtilization,
  expectedServiceTime,
  occupiedMilliseconds,
  orderFor,
  utilizationFor,
} from "./estimates.ts";
import { type Client, noUse, workAhead } from "./fair_shares.ts";
import { isFullyUtilized, type TimedRequest } from "./objective_first.ts";
import { countWaiting, type OrderOf, queueOf } from "./queue.ts";
import { startLimit } from "./reported_load.ts";
import type { AdmissionState } from "./state.ts";

/** A request that waits, or would have to. */
export interface Queued extends TimedRequest {
  readonly work: string | null;
  readonly client: Client;
  readonly statedObjectiveAt: number;
}

/** An arriving request, in the order of its rank. */
export interface Arriving extends Queued {
  readonly rank: number;
  readonly now: number;
}

/** A rank is expected to be left at least this part of the starts. */
const minAvailableShare = 0.1;

/** The time until an arriving request can start. */
export function expectedWait(state: AdmissionState, event: Arriving): number {
  return Math.max(
    expectedWithSlowness(state.slowness, {
      milliseconds: expectedSlotWait(state, event),
      now: event.now,
    }),
    expectedStartWait(state, event),
  );
}

/**
 * The time until a cold target may be given an arriving request. All waiting
 * requests of the ranks above count, and those of its own that start before it;
 * while the ranks above need all starts, those until its rank is owed one.
 */
function expectedStartWait(state: AdmissionState, event: Arriving): number {
  const { rank, now } = event;
  if (state.coldStarts === null) return 0;
  const above = state.waiting.slice(0, rank).flat().length;
  const own = startsBeforeInRank(state, event);
  const ahead = aheadOrByShare(state, event, {
    inOrder: (above + own) / availableShare(state, rank),
    byShare: (left) => Math.max(0, own + 1 - (state.credits[rank] ?? 0)) / left,
  });
  return startDelay(state.coldStarts, { ahead, now });
}

/**
 * The starts of a cold target that go to its rank before an arriving request.
 * All waiting requests count, also those with a later objective: starts are too
 * few for it to go ahead of them without making them late. While clients compete,
 * they count by turn.
 */
function startsBeforeInRank(state: AdmissionState, event: Arriving): number {
  const { rank, client, now } = event;
  const queue = queueOf(state, rank);
  const utilization = competingUtilization(state, rank, now);
  if (!isContested(queue, utilization, client)) {
    return queue.length;
  }
  const waiting = queue.map(({ client, work }) => ({
    client,
    milliseconds: occupiedMilliseconds(state, { rank, work }),
    first: true,
  }));
  const shares = state.use[rank] ?? noUse;
  return workAhead(waiting, client, { shares, now }) /
    occupiedMilliseconds(state, event);
}

/**
 * The time until a slot is free for an arriving request: that of the work ahead
 * of it or, while more valuable ranks need all slots, until its rank is owed a
 * start for it.
 */
function expectedSlotWait(state: AdmissionState, event: Arriving): number {
  const slots = Math.max(1, startLimit(state, event.now));
  if (state.running.size < slots) return 0;
  return aheadOrByShare(state, event, {
    inOrder: waitInOrder(state, event, slots),
    byShare: (left) => waitForShare(state, event, { slots, left }),
  });
}

/**
 * What an arriving request waits for: all that is ahead of it in the order of
 * ranks, or less where its rank is owed a start earlier. While the ranks above
 * need everything, it can only wait for its share.
 */
function aheadOrByShare(
  state: AdmissionState,
  { rank, now }: Arriving,
  { inOrder, byShare }: {
    readonly inOrder: number;
    /** The wait, by the part of the capacity that is left to the rank. */
    readonly byShare: (left: number) => number;
  },
): number {
  const share = state.settings.ranks[rank]?.share ?? 0;
  if (rank === 0 || share === 0) return inOrder;
  const utilization = utilizationFor(state, rank - 1, now);
  const owed = byShare(Math.max(share, 1 - utilization));
  return isFullyUtilized(utilization) ? owed : Math.min(inOrder, owed);
}

/** The time until the rank of an arriving request is owed a start for it. */
function waitForShare(
  state: AdmissionState,
  event: Arriving,
  { slots, left }: { readonly slots: number; readonly left: number },
): number {
  const typical = state.serviceMilliseconds[event.rank] ?? 0;
  const owed = (state.credits[event.rank] ?? 0) * typical;
  const missing = workBeforeInRank(state, event) + typical - owed;
  const firstEnd = state.meanMilliseconds / slots;
  return firstEnd + Math.max(0, missing) / slots / left;
}

/**
 * The time that the work ahead of an arriving request takes, lengthened by the
 * starts that go to the shares of other ranks.
 */
function waitInOrder(
  state: AdmissionState,
  event: Arriving,
  slots: number,
): number {
  // The first in a queue waits for one of the running requests to end.
  let milliseconds = state.serviceMilliseconds[event.rank] ?? 0;
  state.waiting.forEach((queue, rank) => {
    if (rank > event.rank || queue.length === 0) return;
    milliseconds += rank === event.rank
      ? workBeforeInRank(state, event)
      : queue.reduce(
        (sum, { work }) => sum + expectedServiceTime(state, { rank, work }),
        0,
      );
  });
  return milliseconds / slots / availableShare(state, event.rank);
}

/** The waiting work of its rank that starts before an arriving request. */
function workBeforeInRank(state: AdmissionState, event: Arriving): number {
  const { rank, now } = event;
  const { discountsLate = true } = state.settings;
  const order = { rank, orderOf: orderFor(state, rank, now) };
  const waiting = queueOf(state, rank).map((entry) =>
    inQueue(state, entry, order)
  );
  return workBefore(waiting, inQueue(state, event, order), {
    now,
    utilization: competingUtilization(state, rank, now),
    use: state.use[rank] ?? noUse,
    countsLate: !discountsLate,
  });
}

function inQueue(
  state: AdmissionState,
  request: Queued,
  { rank, orderOf }: { readonly rank: number; readonly orderOf: OrderOf },
): Competing {
  const { client, work, objectiveAt, deadlineAt } = request;
  const serviceMilliseconds = expectedServiceTime(state, { rank, work });
  const orderAt = orderOf(request);
  return { client, serviceMilliseconds, orderAt, objectiveAt, deadlineAt };
}

/** The part of the starts that is left to a rank while lower ranks wait. */
function availableShare(state: AdmissionState, rank: number): number {
  let others = 0;
  state.waiting.forEach((queue, index) => {
    if (index > rank && queue.length > 0) {
      others += state.settings.ranks[index]?.share ?? 0;
    }
  });
  return Math.max(minAvailableShare, 1 - others);
}

/** When a cold target has a start that no waiting request will use. */
export function coldRetryDelay(
  state: AdmissionState,
  now: number,
): number | null {
  if (state.coldStarts === null) return null;
  return startDelay(state.coldStarts, { ahead: countWaiting(state), now });
}

/** Milliseconds until a cold target may be given its next request. */
export function nextStartDelay(state: AdmissionState, now: number): number {
  const { coldStarts } = state;
  return coldStarts === null ? 0 : startDelay(coldStarts, { ahead: 0, now });
}

/** Whether requests wait for a start of a cold target, not for a slot. */
export function waitsForColdStart(state: AdmissionState, now: number): boolean {
  return state.running.size < startLimit(state, now) &&
    countWaiting(state) > 0 && !isStartFree(state.coldStarts, now);
}
