/**
 * Admission at a target's agent: which request runs next, which waits, and
 * which is refused before it began.
 *
 * Invariants:
 * - no more requests run than the limit;
 * - every request that arrives is started or refused, exactly once;
 * - a waiting rank that holds a share gets at least that share of the starts,
 *   and beyond the shares the most urgent rank goes first.
 *
 * @module
 */
import type { FailureReason } from "../request/outcome.ts";
import { lateWait, nextInTime, stayAway } from "./in_time_first.ts";
import {
  addOfferedWork,
  noOfferedWork,
  offeredUse,
  type OfferedWork,
} from "./offered_work.ts";
import type { Transition } from "../step.ts";
import {
  noteServiceTime,
  type ServiceTimes,
  smoothed,
} from "./service_times.ts";

/** A rank of work; ranks are listed with the most urgent first. */
export interface RankPolicy {
  readonly name: string;
  /** The part of the starts that the rank keeps in any flood, 0 to 1. */
  readonly share: number;
}

/** What admission is set to. */
export interface AdmissionSettings {
  /** Requests that the target says it runs at one time. */
  readonly slots: number;
  readonly ranks: readonly RankPolicy[];
  /** Most requests that wait, of all ranks together. */
  readonly queueLength: number;
  /** The part of its slots that an unknown target is given at first, 0 to 1. */
  readonly startShare?: number;
  /**
   * The longest wait of a request that can't be answered within its objective
   * any more; no bound but its deadline when left out.
   */
  readonly lateWaitMilliseconds?: number;
}

/** A request that waits for a slot. */
export interface Waiting {
  readonly id: number;
  /** What it is measured as; null for all work of its rank. */
  readonly work: string | null;
  readonly arrivedAt: number;
  readonly objectiveAt: number;
  readonly deadlineAt: number;
}

/** A request that the target runs. */
export interface Running {
  readonly rank: number;
  readonly work: string | null;
  readonly startedAt: number;
  readonly deadlineAt: number;
}

/** The state of one target's admission. */
export interface AdmissionState {
  readonly settings: AdmissionSettings;
  /** Requests allowed to run at one time; at most the target's slots. */
  readonly limit: number;
  readonly running: ReadonlyMap<number, Running>;
  /** For each rank its waiting requests, the nearest deadline first. */
  readonly waiting: readonly (readonly Waiting[])[];
  /** Starts that each rank is owed from its share. */
  readonly credits: readonly number[];
  /** Mean time in the target for each rank, in milliseconds. */
  readonly serviceMilliseconds: readonly number[];
  /** Mean time in the target for each kind of work. */
  readonly serviceTimes: ServiceTimes;
  /** Work that has come lately, refused or not. */
  readonly offered: OfferedWork;
  /** When the target last ended a request. */
  readonly measuredAt: number;
  readonly closed: boolean;
}

/** How a started request ended, as far as the limit is concerned. */
export type FinishKind =
  | "answered"
  | "refused"
  | "failed"
  /** It was not sent to the target after all. */
  | "unused";

/** What happens to admission. */
export type AdmissionEvent =
  | {
    readonly kind: "arrived";
    readonly id: number;
    readonly rank: number;
    /** Names requests that take alike long; all of its rank when left out. */
    readonly work?: string | null;
    /** The end of its full worth; its deadline when left out. */
    readonly objectiveAt?: number;
    readonly deadlineAt: number;
    readonly now: number;
  }
  | {
    readonly kind: "finished";
    readonly id: number;
    readonly finish: FinishKind;
    readonly now: number;
  }
  | { readonly kind: "withdrawn"; readonly id: number; readonly now: number }
  | { readonly kind: "tick"; readonly now: number }
  | { readonly kind: "settings"; readonly settings: AdmissionSettings }
  /** The target leaves: nothing more is started. */
  | { readonly kind: "close" };

/** What admission asks of its task. */
export type AdmissionEffect =
  | { readonly kind: "start"; readonly id: number }
  | {
    readonly kind: "refuse";
    readonly id: number;
    readonly reason: FailureReason;
    /** When there may be room, in milliseconds; null when not known. */
    readonly retryAfterMilliseconds: number | null;
  };

type AdmissionTransition = Transition<AdmissionState, AdmissionEffect>;

/** A target that nobody has seen at work yet starts with this part of it. */
const coldShare = 0.5;
const limitDecrease = 0.8;
/** The part of its slots that a target is given whatever it refuses. */
const leastLimitShare = 0.75;
/** Work that takes this part of the time of what runs, or less, is short. */
const shortShare = 1 / 3;
const measureLifetimeMilliseconds = 2_000;
/** Starts that a rank may be owed, so that an idle one can't hoard them. */
const mostCredit = 2;

/** Admission for a target that has just been met. */
export function beginAdmission(settings: AdmissionSettings): AdmissionState {
  return {
    settings,
    limit: startLimit(settings),
    running: new Map(),
    waiting: settings.ranks.map(() => []),
    credits: settings.ranks.map(() => 0),
    serviceMilliseconds: settings.ranks.map(() => 0),
    serviceTimes: new Map(),
    offered: noOfferedWork,
    measuredAt: 0,
    closed: false,
  };
}

function startLimit(settings: AdmissionSettings): number {
  return Math.max(1, settings.slots * (settings.startShare ?? coldShare));
}

/** Applies one event to admission. */
export function stepAdmission(
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
      return startWaiting(refuseHopeless(state, event.now), event.now);
    case "settings":
      return { state: resize(state, event.settings), effects: [] };
    case "close":
      return close(state);
  }
}

/** How many requests wait, of all ranks. */
export function countWaiting(state: AdmissionState): number {
  return state.waiting.reduce((sum, queue) => sum + queue.length, 0);
}

/** The service time of a rank that has not been seen, in milliseconds. */
const usualServiceMilliseconds = 100;

/** Requests a second that the target runs when all its slots are in use. */
export function throughput(state: AdmissionState): number {
  const known = state.serviceMilliseconds.filter((mean) => mean > 0);
  const mean = known.length === 0
    ? usualServiceMilliseconds
    : known.reduce((sum, each) => sum + each, 0) / known.length;
  return state.settings.slots * 1_000 / mean;
}

function arrive(
  before: AdmissionState,
  arrived: AdmissionEvent & { readonly kind: "arrived" },
): AdmissionTransition {
  const event = isShort(before, arrived)
    ? { ...arrived, objectiveAt: arrived.deadlineAt }
    : arrived;
  const refused = reasonToRefuse(before, event);
  const state = countOffered(before, event);
  if (refused !== null) return refuse(state, event.id, refused);
  const rank = Math.min(event.rank, state.waiting.length - 1);
  const { id, work = null, deadlineAt, objectiveAt = deadlineAt } = event;
  const entry = { id, work, arrivedAt: event.now, deadlineAt, objectiveAt };
  const queued = withQueue(
    state,
    rank,
    insert(state.waiting[rank] ?? [], entry),
  );
  const evicted = evictOverflow(queued);
  return startWaiting(evicted, event.now);
}

function countOffered(
  state: AdmissionState,
  { rank, work = null, now }: AdmissionEvent & { readonly kind: "arrived" },
): AdmissionState {
  const milliseconds = usualTime(state, { rank, work });
  const offered = addOfferedWork(state.offered, { milliseconds, now });
  return { ...state, offered };
}

/** Why a request is refused, and when it may come back. */
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
  event: AdmissionEvent & { readonly kind: "arrived" },
): Refusal | null {
  if (state.closed) return refusal("target-leaving");
  const { now, deadlineAt, objectiveAt = deadlineAt } = event;
  if (deadlineAt <= now) return refusal("deadline-passed");
  const waitMilliseconds = expectedWait(state, event);
  const { rank, work = null } = event;
  const serviceMilliseconds = isMeasureOld(state, { work, now })
    ? 0
    : usualTime(state, { rank, work });
  if (now + waitMilliseconds + serviceMilliseconds > deadlineAt) {
    const away = waitMilliseconds > 0 ? waitMilliseconds : null;
    return refusal("deadline-too-near", away);
  }
  const away = stayAway({ objectiveAt, deadlineAt }, {
    now,
    waitMilliseconds,
    serviceMilliseconds,
    lateWaitMilliseconds: state.settings.lateWaitMilliseconds ?? Infinity,
    use: offeredUse(state.offered, { slots: state.settings.slots, now }),
  });
  return away === null ? null : refusal("queue-full", away);
}

/**
 * Whether a request needs a slot for so short a time, beside what runs there,
 * that nobody gains by its refusal: it may wait until its deadline.
 */
function isShort(
  state: AdmissionState,
  { rank, work = null }: AdmissionEvent & { readonly kind: "arrived" },
): boolean {
  const running = [...state.running.values()];
  if (running.length === 0) return false;
  const sum = running.reduce((sum, other) => sum + usualTime(state, other), 0);
  const mean = sum / running.length;
  return usualTime(state, { rank, work }) <= mean * shortShare;
}

/** The usual time in the target of this work; 0 while it is not known. */
function usualTime(
  state: AdmissionState,
  { rank, work }: { readonly rank: number; readonly work: string | null },
): number {
  return work === null
    ? state.serviceMilliseconds[rank] ?? 0
    : state.serviceTimes.get(work)?.milliseconds ?? 0;
}

/**
 * Only requests that run can correct the measure: one by which all were
 * refused for a while says nothing any more.
 */
function isMeasureOld(
  state: AdmissionState,
  { work, now }: { readonly work: string | null; readonly now: number },
): boolean {
  const measuredAt = work === null
    ? state.measuredAt
    : state.serviceTimes.get(work)?.measuredAt ?? 0;
  if (now - measuredAt <= measureLifetimeMilliseconds) return false;
  const running = [...state.running.values()];
  return !running.some((other) => work === null || other.work === work);
}

/**
 * The time until a slot comes free for a newcomer: the work that goes before
 * it, slowed by the starts that other ranks' shares take.
 */
function expectedWait(
  state: AdmissionState,
  event: { readonly rank: number; readonly deadlineAt: number },
): number {
  const slots = Math.max(1, Math.floor(state.limit));
  if (state.running.size < slots) return 0;
  // The first to wait needs one of the running requests to end.
  let milliseconds = state.serviceMilliseconds[event.rank] ?? 0;
  state.waiting.forEach((queue, rank) => {
    if (rank > event.rank) return;
    for (const { work, deadlineAt } of queue) {
      if (rank === event.rank && deadlineAt > event.deadlineAt) continue;
      milliseconds += usualTime(state, { rank, work });
    }
  });
  return milliseconds / slots / rankPortion(state, event.rank);
}

/** The part of the starts that is open to a rank while the others wait too. */
function rankPortion(state: AdmissionState, rank: number): number {
  let others = 0;
  state.waiting.forEach((queue, index) => {
    if (index > rank && queue.length > 0) {
      others += state.settings.ranks[index]?.share ?? 0;
    }
  });
  return Math.max(0.1, 1 - others);
}

function insert(
  queue: readonly Waiting[],
  entry: Waiting,
): readonly Waiting[] {
  const place = queue.findIndex((other) => other.deadlineAt > entry.deadlineAt);
  return place < 0 ? [...queue, entry] : queue.toSpliced(place, 0, entry);
}

function withQueue(
  state: AdmissionState,
  rank: number,
  queue: readonly Waiting[],
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

/** A full queue turns away its least urgent request beyond its rank's part. */
function evictOverflow(state: AdmissionState): AdmissionTransition {
  if (countWaiting(state) <= state.settings.queueLength) {
    return { state, effects: [] };
  }
  const rank = rankToEvict(state);
  const queue = state.waiting[rank] ?? [];
  const last = queue[queue.length - 1];
  if (last === undefined) return { state, effects: [] };
  const next = withQueue(state, rank, queue.slice(0, -1));
  return refuse(next, last.id, refusal("queue-full"));
}

function rankToEvict(state: AdmissionState): number {
  for (let rank = state.waiting.length - 1; rank >= 0; rank -= 1) {
    const share = state.settings.ranks[rank]?.share ?? 0;
    const kept = Math.floor(share * state.settings.queueLength);
    if ((state.waiting[rank] ?? []).length > kept) return rank;
  }
  return 0;
}

/** Why a waiting request is refused now; null while it may wait on. */
function reasonToGiveUp(
  entry: Waiting,
  view: {
    readonly now: number;
    readonly serviceMilliseconds: number;
    /** Longest wait of a request that has missed its objective. */
    readonly longestLateMilliseconds: number;
  },
): FailureReason | null {
  const { now, serviceMilliseconds, longestLateMilliseconds } = view;
  if (entry.deadlineAt <= now) return "deadline-passed";
  if (entry.deadlineAt <= now + serviceMilliseconds) {
    return "deadline-too-near";
  }
  const lateSince = Math.max(
    entry.arrivedAt,
    entry.objectiveAt - serviceMilliseconds,
  );
  return now - lateSince > longestLateMilliseconds ? "queue-full" : null;
}

function refuseHopeless(
  state: AdmissionState,
  now: number,
): AdmissionTransition {
  const effects: AdmissionEffect[] = [];
  const { slots, lateWaitMilliseconds = Infinity } = state.settings;
  const use = offeredUse(state.offered, { slots, now });
  const longestLateMilliseconds = lateWait({ use, lateWaitMilliseconds });
  const waiting = state.waiting.map((queue, rank) => {
    const judged = queue.map((entry) => {
      const serviceMilliseconds = usualTime(state, { rank, work: entry.work });
      const view = { now, serviceMilliseconds, longestLateMilliseconds };
      return { entry, reason: reasonToGiveUp(entry, view) };
    });
    const hopeless = judged.filter(({ reason }) => reason !== null);
    if (hopeless.length === 0) return queue;
    for (const { entry, reason } of hopeless) {
      if (reason === null) continue;
      effects.push({ kind: "refuse", id: entry.id, ...refusal(reason) });
    }
    return judged.flatMap(({ entry, reason }) => reason === null ? entry : []);
  });
  if (effects.length === 0) return { state, effects };
  return { state: { ...state, waiting }, effects };
}

function startWaiting(
  before: AdmissionTransition,
  now: number,
): AdmissionTransition {
  let { state } = before;
  const effects = [...before.effects];
  while (state.running.size < Math.floor(state.limit)) {
    const rank = nextRank(state);
    if (rank === null) break;
    const queue = state.waiting[rank] ?? [];
    const known = state;
    const place = nextInTime(queue, {
      now,
      serviceMillisecondsOf: ({ work }) => usualTime(known, { rank, work }),
    });
    const first = queue[place];
    if (first === undefined) break;
    state = withQueue(state, rank, queue.toSpliced(place, 1));
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

/** The rank that is owed most, or else the most urgent that waits. */
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
    readonly now: number;
    readonly deadlineAt: number;
  },
): AdmissionState {
  const running = new Map(state.running).set(entry.id, {
    rank: entry.rank,
    work: entry.work,
    startedAt: entry.now,
    deadlineAt: entry.deadlineAt,
  });
  const credits = state.credits.map((credit, rank) => {
    if (rank === entry.rank) return Math.max(0, credit - 1);
    if ((state.waiting[rank] ?? []).length === 0) return 0;
    const share = state.settings.ranks[rank]?.share ?? 0;
    return Math.min(mostCredit, credit + share / (1 - share));
  });
  return { ...state, running, credits };
}

function finish(
  state: AdmissionState,
  event: AdmissionEvent & { readonly kind: "finished" },
): AdmissionTransition {
  const ended = state.running.get(event.id);
  if (ended === undefined) return { state, effects: [] };
  const running = new Map(state.running);
  running.delete(event.id);
  const learnt = learn(
    { ...state, running },
    { ended, finish: event.finish, now: event.now },
  );
  return startWaiting(refuseHopeless(learnt, event.now), event.now);
}

function learn(
  state: AdmissionState,
  event: {
    readonly ended: Running;
    readonly finish: FinishKind;
    readonly now: number;
  },
): AdmissionState {
  if (event.finish === "unused") return state;
  if (event.finish === "refused") {
    return { ...state, limit: lowered(state) };
  }
  const { rank, work, startedAt, deadlineAt } = event.ended;
  // What ends later than its deadline was held up by something else.
  const took = Math.min(event.now, deadlineAt) - startedAt;
  const next = smoothed(state.serviceMilliseconds[rank] ?? 0, took);
  const grown = event.finish === "answered" ? 1 / state.limit : 0;
  return {
    ...state,
    limit: Math.min(state.settings.slots, state.limit + grown),
    serviceMilliseconds: state.serviceMilliseconds.with(rank, next),
    serviceTimes: work === null
      ? state.serviceTimes
      : noteServiceTime(state.serviceTimes, {
        kind: work,
        milliseconds: took,
        now: event.now,
      }),
    measuredAt: event.now,
  };
}

/**
 * A target that refuses at random, or all at times, is not full: it gets no
 * less than a part of what it says it can run.
 */
function lowered({ limit, settings }: AdmissionState): number {
  const least = Math.max(1, settings.slots * leastLimitShare);
  return Math.max(Math.min(limit, least), limit * limitDecrease);
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

/** Ranks may change with the document; what waits keeps its place by index. */
function resize(
  state: AdmissionState,
  settings: AdmissionSettings,
): AdmissionState {
  const count = settings.ranks.length;
  const waiting: (readonly Waiting[])[] = settings.ranks.map((_, rank) =>
    state.waiting[rank] ?? []
  );
  for (const queue of state.waiting.slice(count)) {
    const last = waiting[count - 1] ?? [];
    waiting[count - 1] = queue.reduce(insert, last);
  }
  return {
    ...state,
    settings,
    waiting,
    limit: resizedLimit(state, settings),
    credits: settings.ranks.map((_, rank) => state.credits[rank] ?? 0),
    serviceMilliseconds: settings.ranks.map((_, rank) =>
      state.serviceMilliseconds[rank] ?? 0
    ),
  };
}

/** What was learnt of the target stands, up to the slots that it states. */
function resizedLimit(
  { limit, settings: former }: AdmissionState,
  settings: AdmissionSettings,
): number {
  return limit === startLimit(former)
    ? startLimit(settings)
    : Math.min(Math.max(1, settings.slots), limit);
}

function close(state: AdmissionState): AdmissionTransition {
  const effects = state.waiting.flat().map((entry): AdmissionEffect => ({
    kind: "refuse",
    id: entry.id,
    ...refusal("target-leaving"),
  }));
  const waiting = state.waiting.map(() => []);
  return { state: { ...state, waiting, closed: true }, effects };
}
