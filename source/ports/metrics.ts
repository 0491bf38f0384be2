/**
 * What tasks measure.
 *
 * @module
 */

/** Counters by name. */
export type CounterName =
  | "requests_entered"
  | "requests_answered"
  | "requests_not_run"
  | "requests_unknown"
  | "requests_retried"
  | "target_requests_started"
  | "target_requests_refused"
  | "region_link_bytes"
  | "store_calls"
  | "peer_calls"
  | "peer_call_faults";

/** Durations by name, in milliseconds. */
export type DurationName =
  | "request_duration"
  | "queue_duration"
  | "target_duration";

/** Labels of a measurement. */
export type Labels = Readonly<Record<string, string>>;

/** Where tasks report measurements. */
export interface Metrics {
  count(name: CounterName, labels?: Labels, amount?: number): void;
  /** Records a duration in milliseconds. */
  time(name: DurationName, milliseconds: number, labels?: Labels): void;
}
