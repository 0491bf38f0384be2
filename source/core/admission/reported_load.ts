/**
 * How many requests may run in the target, by the agent's own limit and by the
 * load that the target reports.
 *
 * @module
 */
import {
  limitByReport,
  recordReport,
  type ReportedCapacity,
} from "../load/reported_capacity.ts";
import { expectedServiceTime } from "./estimates.ts";
import type { EventOf } from "./events.ts";
import type { AdmissionState, RunningRequest } from "./state.ts";

/** The most requests that may run now. */
export function startLimit(state: AdmissionState, now: number): number {
  const { limit, reported } = state;
  return Math.floor(limitByReport(reported, { limit, now }));
}

/** What the target has room for by its report, after a request has ended. */
export function reportedAfter(
  state: AdmissionState,
  ended: RunningRequest,
  { reported = null, now }: EventOf<"finished">,
): ReportedCapacity | null {
  if (state.settings.limitsByReport === false) return null;
  return recordReport(state.reported, reported, {
    slots: state.settings.slots,
    // The request that has ended is still among those of the state.
    running: Math.max(0, state.running.size - 1),
    milliseconds: now - ended.startedAt,
    usualMilliseconds: expectedServiceTime(state, ended),
    now,
  });
}

/**
 * The slots that the target lacks by its report. Other agents are told them as
 * load.
 */
export function missingSlots(state: AdmissionState, now: number): number {
  const { slots } = state.settings;
  const limit = limitByReport(state.reported, { limit: slots, now });
  return slots - limit;
}
