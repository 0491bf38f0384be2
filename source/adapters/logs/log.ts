/**
 * Logs by bunyan: one line of key=value pairs for each event.
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

/** Lines in one second, of some 200 bytes each. */
const lineBounds: LogLineLimits = { progress: 50, failure: 50, change: 100 };
/** Longer values are cut. */
const longestValue = 400;

/** How much is logged. */
export type LogLevel = "debug" | "info" | "warn" | "error";

/** Writes one event. */
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
  "target-answer-spoilt",
  "target-grant-failed",
  "connection-silent",
  "copy-received",
  "request-held-up",
]);

const gravestKinds: ReadonlySet<EventKind> = new Set([
  "store-unavailable",
  "lease-ended",
  "holder-lapsed",
  "agent-lost",
  "section-refused",
  "configuration-stale",
  "connection-silent",
]);

/** Opens a log that writes lines to a stream. */
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
  const quiet = options.level !== "debug";
  let count = createLineCount(now());

  function write(kind: EventKind, detail: EventDetail): void {
    const record = { event: kind, detail };
    if (progressKinds.has(kind)) logger.debug(record);
    else if (gravestKinds.has(kind)) logger.warn(record);
    else logger.info(record);
  }

  return (kind, detail) => {
    if (quiet && progressKinds.has(kind)) return;
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
    `${name}=${quote(String(value).slice(0, longestValue))}`
  )
    .join(" ");
}

function quote(text: string): string {
  return /^[^\s"=]+$/.test(text) ? text : JSON.stringify(text);
}
