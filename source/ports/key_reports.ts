/**
 * Heartbeats by which a target reports the keys that it holds, and whose
 * answers tell it which keys to hold.
 *
 * @module
 */
import type {
  AssignedKeys,
  KeyReport,
} from "../core/ownership/reported_keys.ts";

/** All keys that a target is to hold from now on, and for how long. */
export interface KeyAssignment {
  readonly rows: readonly AssignedKeys[];
  /** Counted from the time at which the target sent its heartbeat. */
  readonly holdMilliseconds: number;
}

/**
 * The answer to a heartbeat's report. Null renews nothing and takes nothing
 * back: what the target holds ends by itself.
 */
export type AnswerKeyReport = (report: KeyReport) => KeyAssignment | null;
