/**
 * Measurements that tasks report.
 *
 * @module
 */

/** Names of the counters. */
export type CounterName =
  | "requests_entered"
  | "requests_answered"
  | "requests_not_run"
  | "requests_unknown"
  | "requests_retried"
  | "retries_borrowed"
  | "target_requests_started"
  | "target_requests_refused"
  | "cold_starts_delayed"
  | "requests_avoided_failing"
  | "load_reports_ignored"
  | "slices_moved"
  | "moves_deferred"
  | "early_returns"
  | "caller_connections_closed"
  | "caller_reads_stopped"
  | "caller_requests_refused"
  | "region_link_bytes"
  | "store_calls"
  | "peer_calls"
  | "peer_call_faults";

/** Names of the durations, which are in milliseconds. */
export type DurationName =
  | "request_duration"
  | "queue_duration"
  | "target_duration";

/** Label values of a measurement, by label name. */
export type Labels = Readonly<Record<string, string>>;

/** Port through which tasks report measurements. */
export interface Metrics {
  /** Adds `amount`, 1 by default, to a counter. */
  count(name: CounterName, labels?: Labels, amount?: number): void;
  /** Records one duration. */
  time(name: DurationName, milliseconds: number, labels?: Labels): void;
}
