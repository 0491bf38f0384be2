/**
 * Why a request is refused before it starts: as it arrives, or while it waits.
 * A request is refused as soon as its wait can't end in time.
 *
 * @module
 */
import { expectedWithSlowness } from "../load/target_load.ts";
import type { FailureReason } from "../request/outcome.ts";
import {
  expectedServiceTime,
  isMeasurementStale,
  utilizationFor,
} from "./estimates.ts";
import { type Arriving, expectedWait, type Queued } from "./expected_waits.ts";
import { retryDelay } from "./objective_first.ts";
import type { RefuseEffect } from "./shortage.ts";
import type { AdmissionState, WaitingRequest } from "./state.ts";

/** Why a request is refused, and when it may be retried. */
export interface Refusal {
  readonly reason: FailureReason;
  readonly retryAfterMilliseconds: number | null;
}

/** A refusal; without a time, it is not known when a retry is admitted. */
export function refusal(
  reason: FailureReason,
  retryAfterMilliseconds: number | null = null,
): Refusal {
  return { reason, retryAfterMilliseconds };
}

/** The effect that refuses a request. */
export function refuse(
  { id }: { readonly id: number },
  refused: Refusal,
): RefuseEffect {
  return { kind: "refuse", id, ...refused };
}

/** Why a request is refused as it arrives; null if it may wait. */
export function reasonToRefuse(
  state: AdmissionState,
  request: Queued,
  { rank, now }: { readonly rank: number; readonly now: number },
): Refusal | null {
  if (state.closed) return refusal("target-leaving");
  const { work, client, statedObjectiveAt, objectiveAt, deadlineAt } = request;
  if (deadlineAt <= now) return refusal("deadline-passed");
  const times = { statedObjectiveAt, objectiveAt, deadlineAt };
  const arriving = { rank, work, client, ...times, now };
  const waitMilliseconds = expectedWait(state, arriving);
  const serviceMilliseconds = serviceTimeToRefuseBy(state, arriving);
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

/** The expected time of a request in the target; 0 if that isn't known. */
function serviceTimeToRefuseBy(
  state: AdmissionState,
  { rank, work, now }: Pick<Arriving, "rank" | "work" | "now">,
): number {
  if (isMeasurementStale(state, { work, now })) return 0;
  return expectedWithSlowness(state.slowness, {
    milliseconds: expectedServiceTime(state, { rank, work }),
    now,
  });
}

/** Why a waiting request is refused now; null while it may go on waiting. */
export function reasonToGiveUp(
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
