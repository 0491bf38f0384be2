/**
 * Logs events with bunyan, one line of key=value pairs each.
 *
 * @module
 */
import { Writable } from "node:stream";
import bunyan from "bunyan";
import {
  createLineCount,
  decideLogLine,
  type LogLineClass,
  type LogLineLimits,
} from "../../core/timeline/log_line_limit.ts";
import type { EventDetail, EventKind } from "../../ports/events.ts";

/** Lines per second by class; a line has about 200 bytes. */
const lineBounds: LogLineLimits = { progress: 50, failure: 50, change: 100 };
/** Longer values are truncated. */
const maxValueLength = 400;

/** The least severe level that is logged. */
export type LogLevel = "debug" | "info" | "warn" | "error";

/** Logs one event. */
export type LogEvent = (kind: EventKind, detail: EventDetail) => void;

const progressKinds: ReadonlySet<EventKind> = new Set([
  "request-entered",
  "request-routed",
  "request-admitted",
  "request-answered",
  "slice-granted",
]);

const failureKinds: ReadonlySet<EventKind> = new Set([
  "request-failed",
  "request-target-failed",
  "request-given-up",
  "request-abandoned",
  "request-retried",
  "request-refused",
  "caller-connection-closed",
  "caller-request-refused",
  "target-answer-spoilt",
  "target-grant-failed",
  "connection-silent",
  "copy-received",
  "request-held-up",
]);

const warningKinds: ReadonlySet<EventKind> = new Set([
  "store-unavailable",
  "lease-ended",
  "holder-lapsed",
  "agent-lost",
  "section-refused",
  "configuration-stale",
  "connection-silent",
]);

/**
 * Opens a log, which passes each line to `write`. Lines beyond the bounds per
 * second are omitted and counted in a `log-lines-omitted` line.
 */
export function openLog(options: {
  readonly agent: string;
  readonly level: LogLevel;
  /** The monotonic clock, in milliseconds. */
  readonly now: () => number;
  readonly write: (line: string) => void;
}): LogEvent {
  const logger = bunyan.createLogger({
    name: "geraniumledge",
    agent: options.agent,
    streams: [{
      type: "raw",
      level: options.level,
      stream: lineWriter(options.write),
    }],
  });
  const { now } = options;
  const omitsProgress = options.level !== "debug";
  let count = createLineCount(now());

  function write(kind: EventKind, detail: EventDetail): void {
    const record = { event: kind, detail };
    if (progressKinds.has(kind)) logger.debug(record);
    else if (warningKinds.has(kind)) logger.warn(record);
    else logger.info(record);
  }

  return (kind, detail) => {
    if (omitsProgress && progressKinds.has(kind)) return;
    const event = { lineClass: classOf(kind), now: now() };
    const decision = decideLogLine(count, event, lineBounds);
    count = decision.count;
    if (decision.omitted !== null) write("log-lines-omitted", decision.omitted);
    if (decision.written) write(kind, detail);
  };
}

function classOf(kind: EventKind): LogLineClass {
  if (progressKinds.has(kind)) return "progress";
  return failureKinds.has(kind) ? "failure" : "change";
}

interface LogRecord {
  readonly time: Date;
  readonly level: number;
  readonly agent: string;
  readonly event: string;
  readonly detail: EventDetail;
}

function lineWriter(write: (line: string) => void): Writable {
  return new Writable({
    objectMode: true,
    write(record: LogRecord, _encoding, done) {
      write(formatLine(record));
      done();
    },
  });
}

function formatLine(record: LogRecord): string {
  const pairs = [
    ["time", record.time.toISOString()],
    ["level", bunyan.nameFromLevel[record.level] ?? "info"],
    ["agent", record.agent],
    ["event", record.event],
    ...Object.entries(record.detail),
  ];
  return pairs.map(([name, value]) =>
    `${name}=${quote(String(value).slice(0, maxValueLength))}`
  )
    .join(" ");
}

function quote(text: string): string {
  return /^[^\s"=]+$/.test(text) ? text : JSON.stringify(text);
}
