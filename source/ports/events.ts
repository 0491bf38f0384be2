/**
 * Events that an agent reports about itself, for its time line and its log.
 *
 * @module
 */

/** The kinds of event that a time line can hold. */
export type EventKind =
  | "agent-started"
  | "agent-stopping"
  | "agent-stopped"
  | "agent-lost"
  | "agent-refuted-loss"
  | "target-left"
  | "target-phase"
  | "target-cold"
  | "target-warm"
  | "target-avoided"
  | "target-restored"
  | "epoch-claimed"
  | "takeover-declined"
  | "epoch-accepted"
  | "grantor-begun"
  | "grantor-stopped"
  | "earlier-grantors-ended"
  | "earlier-grantor-sealed"
  | "departed-agents-noted"
  | "replaced-agent-noted"
  | "departure-untold"
  | "evacuation-begun"
  | "evacuation-ended"
  | "evacuations-unread"
  | "departures-not-kept"
  | "departures-loaded"
  | "grantor-located"
  | "holder-lapsed"
  | "renewal-late"
  | "renewal-failed"
  | "lease-ended"
  | "lease-restored"
  | "slice-granted"
  | "move-started"
  | "slices-rebalanced"
  | "key-region-changed"
  | "key-isolated"
  | "checkpoint-written"
  | "revision-accepted"
  | "section-refused"
  | "revision-applied"
  | "configuration-stale"
  | "configuration-fresh"
  | "store-unavailable"
  | "store-available"
  | "store-era-changed"
  | "delegation-restored"
  | "entries-restored"
  | "store-watch-silent"
  | "store-watch-taken-over"
  | "store-watch-returned"
  | "request-entered"
  | "request-routed"
  | "request-admitted"
  | "request-refused"
  | "request-retried"
  | "retries-borrowed"
  | "request-given-up"
  | "request-abandoned"
  | "request-failed"
  | "request-target-failed"
  | "request-answered"
  | "caller-connection-closed"
  | "caller-request-refused"
  | "connection-silent"
  | "copy-received"
  | "request-held-up"
  | "target-registered"
  | "target-answer-spoilt"
  | "target-emptied"
  | "target-keys-changed"
  | "target-replaced"
  | "target-heartbeat-refused"
  | "target-grant-failed"
  | "target-release-failed"
  | "target-handover-dropped"
  | "settings-reloaded"
  | "settings-refused"
  | "desired-state-refused"
  | "member-refused"
  | "peer-message-refused"
  | "event-loop-stalled"
  | "log-lines-omitted";

/** The details of an event, by field name. */
export type EventDetail = Readonly<Record<string, string | number | boolean>>;

/** One event as it is stored in the time line. */
export interface TimelineEvent {
  readonly agent: string;
  /**
   * A logical clock that advances with every message between agents, so that an
   * effect never sorts before its cause.
   */
  readonly logicalTime: number;
  /** Milliseconds since 1970 on the agent's wall clock. */
  readonly wallTime: number;
  readonly kind: EventKind;
  readonly detail: EventDetail;
}

/** Port through which tasks report events. */
export interface Events {
  record(kind: EventKind, detail?: EventDetail): void;
}
