/**
 * Admission control at the agent of a target: which request runs next, which
 * waits, and which is refused before it starts.
 *
 * Invariants:
 * - no more requests run than the limit;
 * - every request that arrives is started or refused, exactly once;
 * - a waiting rank that holds a share gets at least that share of the work,
 *   and beyond the shares the most urgent rank goes first.
 *
 * @module
 */
import {
  expectedWithSlowness,
  recordSlowness,
  type Slowness,
} from "../load/target_load.ts";
import type { FailureReason } from "../request/outcome.ts";
import {
  changeColdRate,
  type ColdStarts,
  isStartFree,
  returnStart,
  startDelay,
  takeStart,
  usableSlots,
} from "./cold_start.ts";
import { type Competing, isContested, workBefore } from "./competition.ts";
import {
  type Client,
  type FairShares,
  firstInTurn,
  lastOfLargest,
  noUse,
  recordUse,
  unknownClient,
} from "./fair_shares.ts";
import {
  maxLateWait,
  nextToStart,
  retryDelay,
  type TimedRequest,
} from "./objective_first.ts";
import {
  addOfferedWork,
  noOfferedWork,
  offeredUtilization,
  type OfferedWork,
} from "./offered_work.ts";
import {
  type BookReturn,
  bookReturn,
  noReturns,
  recordArrival,
  type ReturnSchedule,
} from "./return_schedule.ts";
import {
  bookRefusals,
  type RefusedRequest,
  type RefuseEffect,
} from "./shortage.ts";
import type { Transition } from "../step.ts";
import {
  recordServiceTime,
  type ServiceTimes,
  updateMean,
} from "./service_times.ts";

/** A rank of requests; ranks are listed with the most urgent first. */
export interface RankPolicy {
  readonly name: string;
  /** The part of the work guaranteed to the rank under overload, 0 to 1. */
  readonly share: number;
}

/** The settings of admission. */
export interface AdmissionSettings {
  /** How many requests the target states that it runs concurrently. */
  readonly slots: number;
  readonly ranks: readonly RankPolicy[];
  /** The maximum number of waiting requests, over all ranks. */
  readonly queueLength: number;
  /** The part of its slots that a new target is given at first, 0 to 1. */
  readonly initialShare?: number;
  /**
   * The longest wait of a request that can no longer meet its objective; only
   * its deadline bounds it when left out.
   */
  readonly maxLateWaitMilliseconds?: number;
}

/** A request that waits for a slot. */
export interface WaitingRequest {
  readonly id: number;
  /** The kind of work that it is measured as; null for its whole rank. */
  readonly work: string | null;
  readonly keyed: boolean;
  readonly client: Client;
  readonly arrivedAt: number;
  /** When its objective ends, by which requests of a rank are ordered. */
  readonly orderAt: number;
  /** Until when its start is worth waiting for; later for short work. */
  readonly objectiveAt: number;
  readonly deadlineAt: number;
}

/** A request that is running in the target. */
export interface RunningRequest {
  readonly rank: number;
  readonly work: string | null;
  readonly keyed: boolean;
  readonly startedAt: number;
  readonly deadlineAt: number;
}

/** The state of one target's admission. */
export interface AdmissionState {
  readonly settings: AdmissionSettings;
  /** How many requests may run concurrently; at most the target's slots. */
  readonly limit: number;
  readonly running: ReadonlyMap<number, RunningRequest>;
  /** The waiting requests of each rank, the nearest objective first. */
  readonly waiting: readonly (readonly WaitingRequest[])[];
  /** How many starts each rank is owed by its share. */
  readonly credits: readonly number[];
  /** Mean time in the target for each rank; 0 until measured. */
  readonly serviceMilliseconds: readonly number[];
  /** Mean time in the target of requests with a key; a default at first. */
  readonly keyedMilliseconds: number;
  /** Mean time in the target of all requests; a default at first. */
  readonly meanMilliseconds: number;
  /** Mean time in the target for each kind of work. */
  readonly serviceTimes: ServiceTimes;
  /** The starts of a cold target; null for one that isn't cold. */
  readonly coldStarts: ColdStarts | null;
  /** How slow its machine is, by its own reports; null without any. */
  readonly slowness: Slowness | null;
  /** The recent offered load of each rank, whether refused or not. */
  readonly offered: readonly OfferedWork[];
  /** When refused callers return. */
  readonly returns: ReturnSchedule;
  /** The recent use of each rank by clients. */
  readonly use: readonly FairShares[];
  /** When a request last ended in the target. */
  readonly measuredAt: number;
  readonly closed: boolean;
}

/** How a started request ended, as it affects the limit. */
export type FinishKind =
  | "answered"
  | "refused"
  /** Refused by the target as not meant for it, which it doesn't count. */
  | "misdirected"
  | "failed"
  /** It was not sent to the target. */
  | "unused";

/** An event that admission reacts to. Times are monotonic milliseconds. */
export type AdmissionEvent =
  | {
    readonly kind: "arrived";
    readonly id: number;
    readonly rank: number;
    /** The kind of work, with its own service time; by rank when left out. */
    readonly work?: string | null;
    /** Whether it has a key; false when left out. */
    readonly keyed?: boolean;
    /** Whom it comes from; not known when left out. */
    readonly client?: Client;
    /** The end of its objective; its deadline when left out. */
    readonly objectiveAt?: number;
    readonly deadlineAt: number;
    readonly now: number;
  }
  | {
    readonly kind: "finished";
    readonly id: number;
    readonly finish: FinishKind;
    /** How slow the target reported to be; null or left out without that. */
    readonly slowness?: number | null;
    readonly now: number;
  }
  | { readonly kind: "withdrawn"; readonly id: number; readonly now: number }
  | { readonly kind: "tick"; readonly now: number }
  | { readonly kind: "settings"; readonly settings: AdmissionSettings }
  /** The target became cold, or warm again: then the rate is null. */
  | {
    readonly kind: "coldRate";
    readonly requestsPerSecond: number | null;
    readonly now: number;
  }
  /** The target is leaving: all waiting requests are refused. */
  | { readonly kind: "refuseWaiting" }
  /** The agent ends: all waiting and all further requests are refused. */
  | { readonly kind: "close" };

/** What the task that runs admission has to carry out. */
export type AdmissionEffect =
  | { readonly kind: "start"; readonly id: number }
  | RefuseEffect;

type AdmissionTransition = Transition<AdmissionState, AdmissionEffect>;

/** The part of its slots that a target gets before any request has ended. */
const defaultInitialShare = 0.5;
/** The limit is multiplied by this after each refusal by the target. */
const limitDecreaseFactor = 0.8;
/** The limit never falls below this part of the slots. */
const minLimitShare = 0.75;
/** Work is short up to this part of the mean expected time of what runs. */
const shortWorkShare = 1 / 3;
/** After this time without a measurement, a service time is stale. */
const measurementLifetimeMilliseconds = 2_000;
/** The most starts that a rank may be owed, so that they don't pile up. */
const maxCredit = 2;

/**
 * The mean time in the target of requests with a key that the first of them
 * adds to. A mean of that one alone could make the target seem ten times as fast
 * as it is.
 */
const defaultServiceMilliseconds = 100;

/** The state of admission for a target that has run nothing yet. */
export function createAdmission(settings: AdmissionSettings): AdmissionState {
  return {
    settings,
    limit: initialLimit(settings),
    running: new Map(),
    waiting: settings.ranks.map(() => []),
    credits: settings.ranks.map(() => 0),
    serviceMilliseconds: settings.ranks.map(() => 0),
    keyedMilliseconds: defaultServiceMilliseconds,
    meanMilliseconds: defaultServiceMilliseconds,
    serviceTimes: new Map(),
    coldStarts: null,
    slowness: null,
    offered: settings.ranks.map(() => noOfferedWork),
    returns: noReturns,
    use: settings.ranks.map(() => noUse),
    measuredAt: 0,
    closed: false,
  };
}

function initialLimit(settings: AdmissionSettings): number {
  return Math.max(
    1,
    settings.slots * (settings.initialShare ?? defaultInitialShare),
  );
}

/** Applies one event to admission. */
export function stepAdmission(
  state: AdmissionState,
  event: AdmissionEvent,
  book: BookReturn = bookReturn,
): AdmissionTransition {
  const next = decide(state, event);
  return "now" in event
    ? bookRefused(next, { before: state, event, book })
    : next;
}

/** Tells each caller that is refused for lack of capacity when to return. */
function bookRefused(
  { state, effects }: AdmissionTransition,
  { before, event, book }: {
    readonly before: AdmissionState;
    readonly event: AdmissionEvent & { readonly now: number };
    readonly book: BookReturn;
  },
): AdmissionTransition {
  const shares = state.settings.ranks.map(({ share }) => share);
  const booked = bookRefusals(effects, {
    returns: state.returns,
    capacity: { slots: slotsInUse(state), shares },
    use: state.use,
    requestOf: (id) => refusedRequest(id, { before, event }),
    book,
    now: event.now,
  });
  return {
    state: { ...state, returns: booked.returns },
    effects: booked.effects,
  };
}

function refusedRequest(
  id: number,
  { before, event }: {
    readonly before: AdmissionState;
    readonly event: AdmissionEvent;
  },
): RefusedRequest | null {
  if (event.kind === "arrived" && event.id === id) {
    const { work = null, deadlineAt, client = unknownClient } = event;
    const rank = Math.min(event.rank, before.waiting.length - 1);
    const milliseconds = expectedServiceTime(before, { rank, work });
    return { rank, milliseconds, deadlineAt, client };
  }
  for (const [rank, queue] of before.waiting.entries()) {
    const entry = queue.find((entry) => entry.id === id);
    if (entry === undefined) continue;
    const { work, deadlineAt, client } = entry;
    const milliseconds = expectedServiceTime(before, { rank, work });
    return { rank, milliseconds, deadlineAt, client };
  }
  return null;
}

function decide(
  state: AdmissionState,
  event: AdmissionEvent,
): AdmissionTransition {
  switch (event.kind) {
    case "arrived":
      return arrive(state, event);
    case "finished":
      return finish(state, event);
    case "withdrawn":
      return withdraw(state, event);
    case "tick":
      return startQueued(refuseOverdue(state, event.now), event.now);
    case "settings":
      return { state: applySettings(state, event.settings), effects: [] };
    case "coldRate":
      return applyColdRate(state, event);
    case "refuseWaiting":
      return refuseWaiting(state);
    case "close":
      return refuseWaiting({ ...state, closed: true });
  }
}

/** The number of waiting requests of all ranks. */
export function countWaiting(state: AdmissionState): number {
  return state.waiting.reduce((sum, queue) => sum + queue.length, 0);
}

/**
 * Requests with a key per second that the target runs when all its slots are in
 * use. Other requests, such as a few short ones, don't tell how long those take.
 */
export function throughput(state: AdmissionState): number {
  return state.settings.slots * 1_000 / state.keyedMilliseconds;
}

/** Milliseconds until a cold target may be given its next request. */
export function nextStartDelay(state: AdmissionState, now: number): number {
  const { coldStarts } = state;
  return coldStarts === null ? 0 : startDelay(coldStarts, { ahead: 0, now });
}

/** Whether requests wait for a start of a cold target, not for a slot. */
export function waitsForColdStart(state: AdmissionState, now: number): boolean {
  return state.running.size < Math.floor(state.limit) &&
    countWaiting(state) > 0 && !isStartFree(state.coldStarts, now);
}

function arrive(
  before: AdmissionState,
  arrived: AdmissionEvent & { readonly kind: "arrived" },
): AdmissionTransition {
  const event = isShortWork(before, arrived)
    ? { ...arrived, objectiveAt: arrived.deadlineAt }
    : arrived;
  const orderAt = arrived.objectiveAt ?? arrived.deadlineAt;
  const refused = reasonToRefuse(before, { ...event, orderAt });
  const state = recordOffered(before, event);
  if (refused !== null) return refuse(state, event.id, refused);
  const rank = Math.min(event.rank, state.waiting.length - 1);
  const { id, work = null, keyed = false, client = unknownClient } = event;
  const { deadlineAt, objectiveAt = deadlineAt } = event;
  const entry = {
    id,
    work,
    keyed,
    client,
    arrivedAt: event.now,
    orderAt,
    deadlineAt,
    objectiveAt,
  };
  const queued = withQueue(
    state,
    rank,
    insertByObjective(state.waiting[rank] ?? [], entry),
  );
  const evicted = evictOverflow(queued, event.now);
  const timely = refuseOfLargest(evicted, rank, event.now);
  return startQueued(timely, event.now);
}

/** The last request of the client that has most; null without competition. */
function largestOf(
  state: AdmissionState,
  rank: number,
  now: number,
): WaitingRequest | null {
  const queue = state.waiting[rank] ?? [];
  if (!isContested(queue, utilizationFor(state, rank, now))) return null;
  const waiting = queue.map((entry) => {
    const { client, work } = entry;
    const milliseconds = expectedServiceTime(state, { rank, work });
    return { client, milliseconds, entry };
  });
  const use = state.use[rank] ?? noUse;
  return lastOfLargest(waiting, use, now)?.entry ?? null;
}

/**
 * Refuses the last request of the client that has most, if its wait has become
 * too long since one of a client that has less goes before it.
 */
function refuseOfLargest(
  before: AdmissionTransition,
  rank: number,
  now: number,
): AdmissionTransition {
  const { state } = before;
  const entry = largestOf(state, rank, now);
  if (entry === null) return before;
  const queue = state.waiting[rank] ?? [];
  const others = withQueue(state, rank, queue.filter((one) => one !== entry));
  const refused = reasonToRefuse(others, {
    ...entry,
    kind: "arrived",
    rank,
    now,
  });
  if (refused === null) return before;
  const effects = [
    ...before.effects,
    ...refuse(state, entry.id, refused).effects,
  ];
  return { state: others, effects };
}

function recordOffered(
  state: AdmissionState,
  event: AdmissionEvent & { readonly kind: "arrived" },
): AdmissionState {
  const { work = null, now } = event;
  const rank = Math.min(event.rank, state.waiting.length - 1);
  const milliseconds = expectedServiceTime(state, { rank, work });
  const offered = state.offered.with(
    rank,
    addOfferedWork(state.offered[rank] ?? noOfferedWork, { milliseconds, now }),
  );
  const returns = recordArrival(state.returns, { rank, milliseconds, now });
  return { ...state, offered, returns };
}

/** Why a request is refused, and when it may be retried. */
interface Refusal {
  readonly reason: FailureReason;
  readonly retryAfterMilliseconds: number | null;
}

function refusal(
  reason: FailureReason,
  retryAfterMilliseconds: number | null = null,
): Refusal {
  return { reason, retryAfterMilliseconds };
}

function reasonToRefuse(
  state: AdmissionState,
  event: AdmissionEvent & {
    readonly kind: "arrived";
    readonly orderAt: number;
  },
): Refusal | null {
  if (state.closed) return refusal("target-leaving");
  const { now, deadlineAt, objectiveAt = deadlineAt } = event;
  if (deadlineAt <= now) return refusal("deadline-passed");
  const { rank, work = null, orderAt, client = unknownClient } = event;
  const waitMilliseconds = expectedWait(state, {
    rank,
    work,
    client,
    orderAt,
    objectiveAt,
    deadlineAt,
    now,
  });
  const serviceMilliseconds = isMeasurementStale(state, { work, now })
    ? 0
    : expectedWithSlowness(state.slowness, {
      milliseconds: expectedServiceTime(state, { rank, work }),
      now,
    });
  if (now + waitMilliseconds + serviceMilliseconds > deadlineAt) {
    const retry = waitMilliseconds > 0 ? waitMilliseconds : null;
    return refusal("deadline-too-near", retry);
  }
  const delay = retryDelay({ objectiveAt, deadlineAt }, {
    now,
    waitMilliseconds,
    serviceMilliseconds,
    maxLateWaitMilliseconds: state.settings.maxLateWaitMilliseconds ?? Infinity,
    utilization: utilizationFor(state, rank, now),
  });
  return delay === null ? null : refusal("queue-full", delay);
}

/** Offered load of a rank and all that go before it over what can run. */
function utilizationFor(
  state: AdmissionState,
  rank: number,
  now: number,
): number {
  const slots = slotsInUse(state);
  return state.offered.slice(0, rank + 1).reduce(
    (sum, work) => sum + offeredUtilization(work, { slots, now }),
    0,
  );
}

/** The slots that requests can fill; a fraction of them in a cold target. */
function slotsInUse(state: AdmissionState): number {
  return usableSlots(state.coldStarts, {
    slots: state.settings.slots,
    milliseconds: state.meanMilliseconds,
  });
}

/**
 * Whether a request needs a slot for so short a time, compared with what runs,
 * that refusing it saves nothing: it may wait until its deadline.
 */
function isShortWork(
  state: AdmissionState,
  { rank, work = null }: AdmissionEvent & { readonly kind: "arrived" },
): boolean {
  // A short request uses as much of a cold target's rate as a long one.
  if (state.coldStarts !== null) return false;
  const running = [...state.running.values()];
  if (running.length === 0) return false;
  const sum = running.reduce(
    (sum, other) => sum + expectedServiceTime(state, other),
    0,
  );
  const mean = sum / running.length;
  return expectedServiceTime(state, { rank, work }) <= mean * shortWorkShare;
}

/** The expected time of this work in the target; 0 until measured. */
function expectedServiceTime(
  state: AdmissionState,
  { rank, work }: { readonly rank: number; readonly work: string | null },
): number {
  return work === null
    ? state.serviceMilliseconds[rank] ?? 0
    : state.serviceTimes.get(work)?.milliseconds ?? 0;
}

/**
 * Whether a service time is too old to refuse requests by. Only requests that
 * run can correct it, so that one by which all are refused would stay wrong.
 */
function isMeasurementStale(
  state: AdmissionState,
  { work, now }: { readonly work: string | null; readonly now: number },
): boolean {
  const measuredAt = work === null
    ? state.measuredAt
    : state.serviceTimes.get(work)?.measuredAt ?? 0;
  if (now - measuredAt <= measurementLifetimeMilliseconds) return false;
  const running = [...state.running.values()];
  return !running.some((other) => work === null || other.work === work);
}

/** An arriving request, in the order of its rank. */
interface Arriving extends TimedRequest {
  readonly rank: number;
  readonly work: string | null;
  readonly client: Client;
  readonly orderAt: number;
  readonly now: number;
}

/** The time until an arriving request can start. */
function expectedWait(state: AdmissionState, event: Arriving): number {
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
 * requests of its rank count, also those with a later objective: starts are too
 * few for it to go ahead of them without making them late.
 */
function expectedStartWait(
  state: AdmissionState,
  { rank, now }: Arriving,
): number {
  if (state.coldStarts === null) return 0;
  const waiting = state.waiting.slice(0, rank + 1).flat().length;
  const ahead = waiting / availableShare(state, rank);
  return startDelay(state.coldStarts, { ahead, now });
}

/**
 * The time until a slot is free for an arriving request: that of the work ahead
 * of it, lengthened by the starts that go to the shares of other ranks.
 */
function expectedSlotWait(state: AdmissionState, event: Arriving): number {
  const slots = Math.max(1, Math.floor(state.limit));
  if (state.running.size < slots) return 0;
  // The first in a queue waits for one of the running requests to end.
  let milliseconds = state.serviceMilliseconds[event.rank] ?? 0;
  state.waiting.forEach((queue, rank) => {
    if (rank > event.rank || queue.length === 0) return;
    const waiting = queue.map((entry) => inQueue(state, entry, rank));
    milliseconds += rank === event.rank
      ? workBefore(waiting, inQueue(state, event, rank), {
        now: event.now,
        utilization: utilizationFor(state, rank, event.now),
        use: state.use[rank] ?? noUse,
      })
      : waiting.reduce((sum, other) => sum + other.serviceMilliseconds, 0);
  });
  return milliseconds / slots / availableShare(state, event.rank);
}

function inQueue(
  state: AdmissionState,
  request: Omit<Arriving, "rank" | "now">,
  rank: number,
): Competing {
  const { client, work, orderAt, objectiveAt, deadlineAt } = request;
  const serviceMilliseconds = expectedServiceTime(state, { rank, work });
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
  return Math.max(0.1, 1 - others);
}

/**
 * Inserts by objective and not by deadline: callers that return have less time
 * left than new ones. Ordered by deadline, they kept new requests waiting until
 * those had to be refused too, and nearly all requests were refused twice.
 */
function insertByObjective(
  queue: readonly WaitingRequest[],
  entry: WaitingRequest,
): readonly WaitingRequest[] {
  const index = queue.findIndex((other) => other.orderAt > entry.orderAt);
  return index < 0 ? [...queue, entry] : queue.toSpliced(index, 0, entry);
}

function withQueue(
  state: AdmissionState,
  rank: number,
  queue: readonly WaitingRequest[],
): AdmissionState {
  return { ...state, waiting: state.waiting.with(rank, queue) };
}

function refuse(
  state: AdmissionState,
  id: number,
  refused: Refusal,
): AdmissionTransition {
  return { state, effects: [{ kind: "refuse", id, ...refused }] };
}

/**
 * Refuses a request when the queue is full: the last one of the least urgent
 * rank that has more waiting than its share of the queue. If clients compete,
 * it is the last one of the client that has most.
 */
function evictOverflow(
  state: AdmissionState,
  now: number,
): AdmissionTransition {
  if (countWaiting(state) <= state.settings.queueLength) {
    return { state, effects: [] };
  }
  const rank = rankToEvict(state);
  const queue = state.waiting[rank] ?? [];
  const last = largestOf(state, rank, now) ?? queue.at(-1);
  if (last === undefined) return { state, effects: [] };
  const next = withQueue(state, rank, queue.filter((one) => one !== last));
  return refuse(
    next,
    last.id,
    refusal("queue-full", coldRetryDelay(next, now)),
  );
}

/** When a cold target has a start that no waiting request will use. */
function coldRetryDelay(state: AdmissionState, now: number): number | null {
  if (state.coldStarts === null) return null;
  return startDelay(state.coldStarts, { ahead: countWaiting(state), now });
}

function rankToEvict(state: AdmissionState): number {
  for (let rank = state.waiting.length - 1; rank >= 0; rank -= 1) {
    const share = state.settings.ranks[rank]?.share ?? 0;
    const reserved = Math.floor(share * state.settings.queueLength);
    if ((state.waiting[rank] ?? []).length > reserved) return rank;
  }
  return 0;
}

/** Why a waiting request is refused now; null while it may go on waiting. */
function reasonToGiveUp(
  entry: WaitingRequest,
  view: {
    readonly now: number;
    readonly serviceMilliseconds: number;
    /** The longest wait of a request that can no longer meet its objective. */
    readonly maxLateMilliseconds: number;
  },
): FailureReason | null {
  const { now, serviceMilliseconds, maxLateMilliseconds } = view;
  if (entry.deadlineAt <= now) return "deadline-passed";
  if (entry.deadlineAt <= now + serviceMilliseconds) {
    return "deadline-too-near";
  }
  const lateSince = Math.max(
    entry.arrivedAt,
    entry.objectiveAt - serviceMilliseconds,
  );
  return now - lateSince > maxLateMilliseconds ? "queue-full" : null;
}

function refuseOverdue(
  state: AdmissionState,
  now: number,
): AdmissionTransition {
  const effects: AdmissionEffect[] = [];
  const { maxLateWaitMilliseconds = Infinity } = state.settings;
  const waiting = state.waiting.map((queue, rank) => {
    if (queue.length === 0) return queue;
    const maxLateMilliseconds = maxLateWait({
      utilization: utilizationFor(state, rank, now),
      maxLateWaitMilliseconds,
    });
    const evaluated = queue.map((entry) => {
      const serviceMilliseconds = expectedServiceTime(state, {
        rank,
        work: entry.work,
      });
      const view = { now, serviceMilliseconds, maxLateMilliseconds };
      return { entry, reason: reasonToGiveUp(entry, view) };
    });
    const overdue = evaluated.filter(({ reason }) => reason !== null);
    if (overdue.length === 0) return queue;
    for (const { entry, reason } of overdue) {
      if (reason === null) continue;
      const refused = refusal(reason, coldRetryDelay(state, now));
      effects.push({ kind: "refuse", id: entry.id, ...refused });
    }
    return evaluated.flatMap(({ entry, reason }) =>
      reason === null ? entry : []
    );
  });
  if (effects.length === 0) return { state, effects };
  return { state: { ...state, waiting }, effects };
}

function startQueued(
  before: AdmissionTransition,
  now: number,
): AdmissionTransition {
  let { state } = before;
  const effects = [...before.effects];
  while (
    state.running.size < Math.floor(state.limit) &&
    isStartFree(state.coldStarts, now)
  ) {
    const rank = nextRank(state);
    if (rank === null) break;
    const queue = state.waiting[rank] ?? [];
    const current = state;
    const index = nextToStart(queue, {
      now,
      serviceMillisecondsOf: ({ work }) =>
        expectedServiceTime(current, { rank, work }),
      ...(isContested(queue, utilizationFor(current, rank, now))
        ? {
          choose: (requests) =>
            firstInTurn(requests, current.use[rank] ?? noUse, now),
        }
        : {}),
    });
    const first = queue[index];
    if (first === undefined) break;
    state = withQueue(state, rank, queue.toSpliced(index, 1));
    if (first.deadlineAt <= now) {
      const refused = refusal("deadline-passed");
      effects.push({ kind: "refuse", id: first.id, ...refused });
      continue;
    }
    state = start(state, { ...first, rank, now });
    effects.push({ kind: "start", id: first.id });
  }
  return { state, effects };
}

/** The rank that is owed the most starts, or else the most urgent waiting. */
function nextRank(state: AdmissionState): number | null {
  let owed: number | null = null;
  let urgent: number | null = null;
  state.waiting.forEach((queue, rank) => {
    if (queue.length === 0) return;
    urgent ??= rank;
    const credit = state.credits[rank] ?? 0;
    if (credit >= 1 && (owed === null || credit > (state.credits[owed] ?? 0))) {
      owed = rank;
    }
  });
  return owed ?? urgent;
}

function start(
  state: AdmissionState,
  entry: {
    readonly id: number;
    readonly rank: number;
    readonly work: string | null;
    readonly keyed: boolean;
    readonly client: Client;
    readonly now: number;
    readonly deadlineAt: number;
  },
): AdmissionState {
  const running = new Map(state.running).set(entry.id, {
    rank: entry.rank,
    work: entry.work,
    keyed: entry.keyed,
    startedAt: entry.now,
    deadlineAt: entry.deadlineAt,
  });
  const credits = state.credits.map((credit, rank) => {
    if (rank === entry.rank) return Math.max(0, credit - 1);
    if ((state.waiting[rank] ?? []).length === 0) return 0;
    const share = state.settings.ranks[rank]?.share ?? 0;
    const earned = share / (1 - share) * relativeWork(state, entry, rank);
    return Math.min(maxCredit, credit + earned);
  });
  const coldStarts = state.coldStarts === null
    ? null
    : takeStart(state.coldStarts, entry.now);
  const used = {
    milliseconds: expectedServiceTime(state, entry) ||
      defaultServiceMilliseconds,
    now: entry.now,
  };
  const use = state.use.with(
    entry.rank,
    recordUse(state.use[entry.rank] ?? noUse, entry.client, used),
  );
  return { ...state, running, credits, use, coldStarts };
}

/**
 * How many requests of a rank are as much work as this one. Shares are parts of
 * the work: a twentieth of the starts would be a third of the work if requests
 * of that rank took ten times as long.
 */
function relativeWork(
  state: AdmissionState,
  started: { readonly rank: number; readonly work: string | null },
  rank: number,
): number {
  const typical = state.serviceMilliseconds[rank] ?? 0;
  const milliseconds = expectedServiceTime(state, started);
  return typical > 0 && milliseconds > 0 ? milliseconds / typical : 1;
}

function finish(
  state: AdmissionState,
  event: AdmissionEvent & { readonly kind: "finished" },
): AdmissionTransition {
  const ended = state.running.get(event.id);
  if (ended === undefined) return { state, effects: [] };
  const running = new Map(state.running);
  running.delete(event.id);
  const uncounted = event.finish === "unused" || event.finish === "misdirected";
  const coldStarts = state.coldStarts !== null && uncounted
    ? returnStart(state.coldStarts, ended)
    : state.coldStarts;
  const updated = updateEstimates(
    {
      ...state,
      running,
      coldStarts,
      slowness: recordSlowness(state.slowness, {
        slowness: event.slowness ?? null,
        now: event.now,
      }),
    },
    { ended, finish: event.finish, now: event.now },
  );
  return startQueued(refuseOverdue(updated, event.now), event.now);
}

function updateEstimates(
  state: AdmissionState,
  event: {
    readonly ended: RunningRequest;
    readonly finish: FinishKind;
    readonly now: number;
  },
): AdmissionState {
  if (event.finish === "unused") return state;
  if (event.finish === "refused" || event.finish === "misdirected") {
    return { ...state, limit: decreasedLimit(state) };
  }
  const { rank, work, keyed, startedAt, deadlineAt } = event.ended;
  // What ends after its deadline was delayed by something else, such as a
  // suspension of the host.
  const milliseconds = Math.min(event.now, deadlineAt) - startedAt;
  const next = updateMean(state.serviceMilliseconds[rank] ?? 0, milliseconds);
  const increase = event.finish === "answered" ? 1 / state.limit : 0;
  return {
    ...state,
    limit: Math.min(state.settings.slots, state.limit + increase),
    serviceMilliseconds: state.serviceMilliseconds.with(rank, next),
    keyedMilliseconds: keyed
      ? updateMean(state.keyedMilliseconds, milliseconds)
      : state.keyedMilliseconds,
    meanMilliseconds: updateMean(state.meanMilliseconds, milliseconds),
    serviceTimes: work === null
      ? state.serviceTimes
      : recordServiceTime(state.serviceTimes, {
        kind: work,
        milliseconds,
        now: event.now,
      }),
    measuredAt: event.now,
  };
}

/**
 * A target that refuses at random, or everything at times, is not full: the
 * limit stays above a part of the slots that it states.
 */
function decreasedLimit({ limit, settings }: AdmissionState): number {
  const minLimit = Math.max(1, settings.slots * minLimitShare);
  return Math.max(Math.min(limit, minLimit), limit * limitDecreaseFactor);
}

function withdraw(
  state: AdmissionState,
  event: AdmissionEvent & { readonly kind: "withdrawn" },
): AdmissionTransition {
  const waiting = state.waiting.map((queue) =>
    queue.some((entry) => entry.id === event.id)
      ? queue.filter((entry) => entry.id !== event.id)
      : queue
  );
  return { state: { ...state, waiting }, effects: [] };
}

/**
 * Ranks may change with the configuration. Waiting requests keep the index of
 * their rank; those of removed ranks move to the last one.
 */
function applySettings(
  state: AdmissionState,
  settings: AdmissionSettings,
): AdmissionState {
  const count = settings.ranks.length;
  const waiting: (readonly WaitingRequest[])[] = settings.ranks.map((_, rank) =>
    state.waiting[rank] ?? []
  );
  for (const queue of state.waiting.slice(count)) {
    const last = waiting[count - 1] ?? [];
    waiting[count - 1] = queue.reduce(insertByObjective, last);
  }
  return {
    ...state,
    settings,
    waiting,
    limit: resizedLimit(state, settings),
    offered: settings.ranks.map((_, rank) =>
      state.offered[rank] ?? noOfferedWork
    ),
    use: settings.ranks.map((_, rank) => state.use[rank] ?? noUse),
    credits: settings.ranks.map((_, rank) => state.credits[rank] ?? 0),
    serviceMilliseconds: settings.ranks.map((_, rank) =>
      state.serviceMilliseconds[rank] ?? 0
    ),
  };
}

/** Keeps a limit that has been measured, up to the slots that are stated. */
function resizedLimit(
  { limit, settings: former }: AdmissionState,
  settings: AdmissionSettings,
): number {
  return limit === initialLimit(former)
    ? initialLimit(settings)
    : Math.min(Math.max(1, settings.slots), limit);
}

/** Refuses the waiting requests that a target that became cold can't start. */
function applyColdRate(
  state: AdmissionState,
  event: AdmissionEvent & { readonly kind: "coldRate" },
): AdmissionTransition {
  const coldStarts = changeColdRate(state.coldStarts, event);
  const changed = { ...state, coldStarts };
  const { now } = event;
  return coldStarts === null || coldStarts === state.coldStarts
    ? startQueued({ state: changed, effects: [] }, now)
    : startQueued(queueAgain(changed, now), now);
}

/** Queues the waiting requests again, as if they arrived now. */
function queueAgain(before: AdmissionState, now: number): AdmissionTransition {
  const effects: AdmissionEffect[] = [];
  let state: AdmissionState = {
    ...before,
    waiting: before.waiting.map(() => []),
  };
  before.waiting.forEach((queue, rank) => {
    for (const entry of queue) {
      const arrived = { kind: "arrived", ...entry, rank, now } as const;
      const refused = reasonToRefuse(state, arrived);
      if (refused === null) {
        const queued = [...state.waiting[rank] ?? [], entry];
        state = withQueue(state, rank, queued);
      } else {
        effects.push({ kind: "refuse", id: entry.id, ...refused });
      }
    }
  });
  return { state, effects };
}

function refuseWaiting(state: AdmissionState): AdmissionTransition {
  const effects = state.waiting.flat().map((entry): AdmissionEffect => ({
    kind: "refuse",
    id: entry.id,
    ...refusal("target-leaving"),
  }));
  const waiting = state.waiting.map(() => []);
  return { state: { ...state, waiting }, effects };
}
