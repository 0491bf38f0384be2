/**
 * Decides, during a planned stop of the agent, which requests may still start.
 * Owns the state of the stop.
 *
 * @module
 */
import { mayStart, type PlannedStop } from "../core/request/planned_stop.ts";
import { monotonicNow } from "./time.ts";

/** Whether a request with this deadline may still start. */
export type MayBegin = (request: { readonly deadlineAt: number }) => boolean;

/** The stop gate of one agent. */
export interface StopGate {
  readonly mayBegin: MayBegin;
  /** Starts to apply a planned stop. */
  begin(stop: PlannedStop): void;
}

/** Creates a gate without a stop, which lets every request start. */
export function startStopGate(): StopGate {
  let stop: PlannedStop | null = null;
  return {
    mayBegin: (request) => mayStart(request, { stop, now: monotonicNow() }),
    begin(planned) {
      stop = planned;
    },
  };
}
