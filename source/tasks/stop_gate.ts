/**
 * The gate that requests pass while their agent stops as planned: owns what is
 * known of the stop.
 *
 * @module
 */
import { mayStart, type PlannedStop } from "../core/request/planned_stop.ts";
import { monotonicNow } from "./time.ts";

/** Whether a request may be passed on now. */
export type MayBegin = (request: { readonly deadlineAt: number }) => boolean;

/** The gate of one agent. */
export interface StopGate {
  readonly mayBegin: MayBegin;
  /** A planned stop begins. */
  begin(stop: PlannedStop): void;
}

/** Starts without a stop: everything may begin. */
export function startStopGate(): StopGate {
  let stop: PlannedStop | null = null;
  return {
    mayBegin: (request) => mayStart(request, { stop, now: monotonicNow() }),
    begin(planned) {
      stop = planned;
    },
  };
}
