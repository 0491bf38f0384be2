/**
 * A rate limit for log lines: each class of events has its own limit per
 * second, so that many lines of one class don't displace those of another.
 *
 * @module
 */

/** The class of an event, which decides the limit of its line. */
export type LogLineClass =
  /** A step of a request without failures. */
  | "progress"
  /** A request that failed, was refused or is retried. */
  | "failure"
  /** A change of the state of the process. */
  | "change";

/** The maximum number of lines per second for each class. */
export type LogLineLimits = Readonly<Record<LogLineClass, number>>;

/** The number of lines in the current second, by class. */
export interface LogLineCount {
  /** The start of the second on the monotonic clock, in milliseconds. */
  readonly since: number;
  readonly lines: Readonly<Record<LogLineClass, number>>;
}

/** The decision on the line of one event. */
export interface LogLineDecision {
  readonly count: LogLineCount;
  readonly written: boolean;
  /** Lines omitted in the second that has ended; null for none. */
  readonly omitted: Readonly<Record<LogLineClass, number>> | null;
}

const noLines: Readonly<Record<LogLineClass, number>> = {
  progress: 0,
  failure: 0,
  change: 0,
};

const windowMilliseconds = 1_000;

/** A count of no lines, for a second that starts now. */
export function createLineCount(now: number): LogLineCount {
  return { since: now, lines: noLines };
}

/** Counts the line of an event, and decides whether it is written. */
export function decideLogLine(
  previous: LogLineCount,
  event: { readonly lineClass: LogLineClass; readonly now: number },
  limits: LogLineLimits,
): LogLineDecision {
  const { lineClass, now } = event;
  const ended = now - previous.since >= windowMilliseconds;
  const count = ended ? createLineCount(now) : previous;
  const lines = count.lines[lineClass] + 1;
  return {
    count: { ...count, lines: { ...count.lines, [lineClass]: lines } },
    written: lines <= limits[lineClass],
    omitted: ended ? omittedLines(previous, limits) : null,
  };
}

/** The number of lines above the limits, by class; null for none. */
export function omittedLines(
  { lines }: LogLineCount,
  limits: LogLineLimits,
): Readonly<Record<LogLineClass, number>> | null {
  const above = (name: LogLineClass) => Math.max(0, lines[name] - limits[name]);
  const omitted = {
    progress: above("progress"),
    failure: above("failure"),
    change: above("change"),
  };
  return omitted.progress + omitted.failure + omitted.change > 0
    ? omitted
    : null;
}
