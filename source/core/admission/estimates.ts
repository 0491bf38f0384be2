/**
 * What admission expects of the target by what it has measured: how long work
 * takes, how many slots requests can fill, and how much of them is asked for.
 *
 * Invariant: only requests that have run in the target are measured. A service
 * time that no running request can correct is stale after a while, and refuses
 * nothing then.
 *
 * @module
 */
import { startInterval, usableSlots } from "./cold_start.ts";
import {
  afterArrival,
  afterShortage,
  isContested,
  noCompetition,
  type RankUse,
  recordAsked,
} from "./competition.ts";
import { type Client, noUse } from "./fair_shares.ts";
import { isFullyUtilized } from "./objective_first.ts";
import {
  addOfferedWork,
  noOfferedWork,
  offeredUtilization,
} from "./offered_work.ts";
import { byDeadline, byObjective, type OrderOf } from "./queue.ts";
import { recordArrival } from "./return_schedule.ts";
import { recordServiceTime, updateMean } from "./service_times.ts";
import type { AdmissionState, RunningRequest } from "./state.ts";

/** A request, as its service time is measured. */
export interface Work {
  readonly rank: number;
  readonly work: string | null;
}

/** Work is short up to this part of the mean expected time of what runs. */
const shortWorkShare = 1 / 3;
/** After this time without a measurement, a service time is stale. */
const measurementLifetimeMilliseconds = 2_000;

/** The expected time of this work in the target; 0 until measured. */
export function expectedServiceTime(
  state: AdmissionState,
  { rank, work }: Work,
): number {
  return work === null
    ? state.serviceMilliseconds[rank] ?? 0
    : state.serviceTimes.get(work)?.milliseconds ?? 0;
}

/**
 * What a request takes of the target, as time in a slot. A cold target is limited
 * by its starts, of which a short request uses as much as a long one.
 */
export function occupiedMilliseconds(
  state: AdmissionState,
  work: Work,
): number {
  return state.coldStarts === null
    ? expectedServiceTime(state, work)
    : startInterval(state.coldStarts);
}

/**
 * Whether a service time is too old to refuse requests by. Only requests that
 * run can correct it, so that one by which all are refused would stay wrong.
 */
export function isMeasurementStale(
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

/**
 * Whether a request needs a slot for so short a time, compared with what runs,
 * that refusing it saves nothing: it may wait until its deadline.
 */
export function isShortWork(state: AdmissionState, work: Work): boolean {
  // A short request uses as much of a cold target's rate as a long one.
  if (state.coldStarts !== null) return false;
  const running = [...state.running.values()];
  if (running.length === 0) return false;
  const sum = running.reduce(
    (sum, other) => sum + expectedServiceTime(state, other),
    0,
  );
  const mean = sum / running.length;
  return expectedServiceTime(state, work) <= mean * shortWorkShare;
}

/** Offered load of a rank and all that go before it over what can run. */
export function utilizationFor(
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

/** The utilization by which clients compete; 0 while they don't. */
export function competingUtilization(
  state: AdmissionState,
  rank: number,
  now: number,
): number {
  const { fairShares = true } = state.settings;
  return fairShares && state.competition[rank]?.isCompeting === true
    ? utilizationFor(state, rank, now)
    : 0;
}

/** Whether fair shares decide in a rank. */
export function hasFairShares(
  state: AdmissionState,
  rank: number,
  now: number,
): boolean {
  return isFullyUtilized(competingUtilization(state, rank, now));
}

/** Takes note that a client of a rank that needs nearly all slots got too little. */
export function recordShortage(
  state: AdmissionState,
  client: Client,
  { rank, now }: { readonly rank: number; readonly now: number },
): AdmissionState {
  if (!isFullyUtilized(utilizationFor(state, rank, now))) return state;
  const former = state.competition[rank] ?? noCompetition;
  const next = afterShortage(former, client, rankUse(state, rank, now));
  return next === former
    ? state
    : { ...state, competition: state.competition.with(rank, next) };
}

function rankUse(state: AdmissionState, rank: number, now: number): RankUse {
  return {
    use: state.use[rank] ?? noUse,
    typicalMilliseconds: typicalMilliseconds(state, rank),
    now,
  };
}

/**
 * In which order the requests of a rank wait: of their objectives while the rank
 * needs nearly all slots.
 */
export function orderFor(
  state: AdmissionState,
  rank: number,
  now: number,
): OrderOf {
  const { objectiveOrder = true } = state.settings;
  return objectiveOrder && isFullyUtilized(utilizationFor(state, rank, now))
    ? byObjective
    : byDeadline;
}

/** Whether the clients of the waiting requests of a rank compete. */
export function isRankContested(
  state: AdmissionState,
  rank: number,
  now: number,
): boolean {
  const queue = state.waiting[rank] ?? [];
  return isContested(queue, competingUtilization(state, rank, now));
}

/**
 * The slots that requests can fill, in the measure of `occupiedMilliseconds`: at
 * most one in a cold target, which its starts fill.
 */
export function slotsInUse(state: AdmissionState): number {
  const { coldStarts, meanMilliseconds } = state;
  const { slots } = state.settings;
  if (coldStarts === null) return slots;
  const usable = usableSlots(coldStarts, {
    slots,
    milliseconds: meanMilliseconds,
  });
  return usable * startInterval(coldStarts) / meanMilliseconds;
}

/** What a typical request of a rank takes, as time in a slot. */
export function typicalMilliseconds(
  state: AdmissionState,
  rank: number,
): number {
  return occupiedMilliseconds(state, { rank, work: null }) ||
    state.meanMilliseconds;
}

/**
 * Requests with a key per second that the target runs when all its slots are in
 * use. Other requests, such as a few short ones, don't tell how long those take.
 */
export function throughput(state: AdmissionState): number {
  return state.settings.slots * 1_000 / state.keyedMilliseconds;
}

/** Records the work that arrives, whether it is refused or not. */
export function recordOffered(
  state: AdmissionState,
  request: Work & { readonly client: Client; readonly now: number },
): AdmissionState {
  const { rank, work, client, now } = request;
  const milliseconds = occupiedMilliseconds(state, { rank, work });
  const offered = state.offered.with(
    rank,
    addOfferedWork(state.offered[rank] ?? noOfferedWork, { milliseconds, now }),
  );
  const returns = recordArrival(state.returns, { rank, milliseconds, now });
  const former = state.competition[rank] ?? noCompetition;
  const asked = recordAsked(former, client, { milliseconds, now });
  const competing = afterArrival(asked, rankUse(state, rank, now));
  const competition = state.competition.with(rank, competing);
  return { ...state, offered, returns, competition };
}

/** Measures a request that the target has run. */
export function recordMeasurement(
  state: AdmissionState,
  ended: RunningRequest,
  now: number,
): AdmissionState {
  const { rank, work, keyed, startedAt, deadlineAt } = ended;
  // What ends after its deadline was delayed by something else, such as a
  // suspension of the host.
  const milliseconds = Math.min(now, deadlineAt) - startedAt;
  const next = updateMean(state.serviceMilliseconds[rank] ?? 0, milliseconds);
  return {
    ...state,
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
        now,
      }),
    measuredAt: now,
  };
}
