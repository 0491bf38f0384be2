/**
 * How many log lines are written in one second: a bound for each class of
 * events, so that a flood of one class leaves room for the others.
 *
 * @module
 */

/** What an event says, as far as its line's worth is concerned. */
export type LineClass =
  /** A step of a request that goes as it should. */
  | "progress"
  /** A request that failed, was refused or is sent again. */
  | "failure"
  /** A change of what the process believes. */
  | "change";

/** Lines of each class in one second at most. */
export type LineBounds = Readonly<Record<LineClass, number>>;

/** Lines of the current second, by class. */
export interface LineCount {
  /** The second's start on the monotonic clock, in milliseconds. */
  readonly since: number;
  readonly lines: Readonly<Record<LineClass, number>>;
}

/** What becomes of one event's line. */
export interface LineDecision {
  readonly count: LineCount;
  readonly written: boolean;
  /** Lines left out in the second that has ended; null for none. */
  readonly leftOut: Readonly<Record<LineClass, number>> | null;
}

const none: Readonly<Record<LineClass, number>> = {
  progress: 0,
  failure: 0,
  change: 0,
};

const secondMilliseconds = 1_000;

/** Nothing written yet. */
export function beginLineCount(now: number): LineCount {
  return { since: now, lines: none };
}

/** Counts an event's line, and says whether it is written. */
export function decideLine(
  former: LineCount,
  event: { readonly lineClass: LineClass; readonly now: number },
  bounds: LineBounds,
): LineDecision {
  const { lineClass, now } = event;
  const over = now - former.since >= secondMilliseconds;
  const count = over ? beginLineCount(now) : former;
  const lines = count.lines[lineClass] + 1;
  return {
    count: { ...count, lines: { ...count.lines, [lineClass]: lines } },
    written: lines <= bounds[lineClass],
    leftOut: over ? linesLeftOut(former, bounds) : null,
  };
}

/** Lines beyond the bounds; null when there were none. */
export function linesLeftOut(
  { lines }: LineCount,
  bounds: LineBounds,
): Readonly<Record<LineClass, number>> | null {
  const beyond = (name: LineClass) => Math.max(0, lines[name] - bounds[name]);
  const left = {
    progress: beyond("progress"),
    failure: beyond("failure"),
    change: beyond("change"),
  };
  return left.progress + left.failure + left.change > 0 ? left : null;
}
