/**
 * Logs by bunyan: one line of key=value pairs for each event.
 *
 * @module
 */
import { Writable } from "node:stream";
import bunyan from "bunyan";
import type { EventDetail, EventKind } from "../ports/events.ts";

/** How much is logged. */
export type LogLevel = "debug" | "info" | "warn" | "error";

/** Writes one event. */
export type LogEvent = (kind: EventKind, detail: EventDetail) => void;

const quietKinds: ReadonlySet<EventKind> = new Set([
  "request-entered",
  "request-routed",
  "request-admitted",
  "request-answered",
  "request-retried",
  "request-refused",
  "slice-granted",
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
  return (kind, detail) => {
    const record = { event: kind, detail };
    if (quietKinds.has(kind)) logger.debug(record);
    else if (gravestKinds.has(kind)) logger.warn(record);
    else logger.info(record);
  };
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
  return pairs.map(([name, value]) => `${name}=${quote(String(value))}`)
    .join(" ");
}

function quote(text: string): string {
  return /^[^\s"=]+$/.test(text) ? text : JSON.stringify(text);
}
