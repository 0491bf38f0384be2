/**
 * The keys of a stand-in target that learns them from the answers to its
 * heartbeats. It notes each answer that breaks the protocol.
 *
 * @module
 */
import {
  type KeySpan,
  overlaps,
  withinSpans,
  withoutSpans,
} from "../source/core/ownership/key_spans.ts";

type Row<Last> = readonly [number, number, Last];

/** The part of a heartbeat that concerns keys. */
export interface KeyLists {
  readonly holds: readonly Row<number>[];
  readonly freed: readonly Row<string>[];
}

/** The part of an answer that concerns keys; no `holds` renews nothing. */
export interface KeyAnswer {
  readonly holds?: readonly (readonly [number, number, number, string])[];
  readonly hold_time?: string;
}

/** A heartbeat that is answered, and when. Times are in milliseconds. */
export interface AnsweredHeartbeat {
  readonly sequence: number;
  readonly sentAt: number;
  readonly now: number;
}

/** The keys of one process of a target. */
export interface HeartbeatKeys {
  /** What the heartbeat with this sequence says. */
  report(sequence: number, now: number): KeyLists;
  apply(answer: KeyAnswer, heartbeat: AnsweredHeartbeat): void;
  holds(key: number, now: number): boolean;
  begin(key: number): void;
  finish(key: number): void;
  /** Whether keys are being released, or their release is not acknowledged. */
  releasing(): boolean;
  /** What answers have broken the protocol. */
  violations(): readonly string[];
}

interface Hold extends KeySpan {
  readonly fence: number;
  readonly until: number;
}

interface Freed extends KeySpan {
  readonly handover: string;
  /** The first heartbeat that tells it; null before. */
  readonly toldIn: number | null;
}

function isSameRow(left: Hold, right: Hold): boolean {
  return left.first === right.first && left.last === right.last &&
    left.fence === right.fence;
}

/** Starts with no keys; `name` marks what the target hands over. */
export function startHeartbeatKeys(name: string): HeartbeatKeys {
  let held: readonly Hold[] = [];
  /** Released keys on which requests still run. */
  let ending: readonly Hold[] = [];
  let freed: readonly Freed[] = [];
  let fences: readonly Hold[] = [];
  /** Running requests, with the row under which each began. */
  let running: readonly (KeySpan & { readonly row: Hold })[] = [];
  let lastApplied = 0;
  let violations: readonly string[] = [];

  function expire(now: number): void {
    held = held.filter(({ until }) => until > now);
    ending = ending.filter(({ until }) => until > now);
  }

  function completeReleases(): void {
    const over = withoutSpans(ending, running);
    ending = withinSpans(ending, running);
    freed = [
      ...freed,
      ...over.map(({ first, last }) => ({
        first,
        last,
        handover: `${name}-${first}`,
        toldIn: null,
      })),
    ];
  }

  function mayTake(row: Hold): boolean {
    const refused = fences.some((seen) =>
      overlaps(seen, row) && seen.fence > row.fence
    );
    if (refused) {
      violations = [...violations, `${row.first}-${row.last}: the number fell`];
    }
    return !refused;
  }

  return {
    report(sequence, now) {
      expire(now);
      freed = freed.map((entry) => ({
        ...entry,
        toldIn: entry.toldIn ?? sequence,
      }));
      const replaced = running.map(({ row }) => row)
        .filter((row) => !held.some((other) => isSameRow(row, other)));
      return {
        holds: [...held, ...ending, ...new Set(replaced)].map((
          { first, last, fence },
        ) => [first, last, fence]),
        freed: freed.map((
          { first, last, handover },
        ) => [first, last, handover]),
      };
    },
    apply(answer, { sequence, sentAt, now }) {
      if (sequence <= lastApplied) return;
      lastApplied = sequence;
      freed = freed.filter(({ toldIn }) =>
        toldIn === null || toldIn > sequence
      );
      if (answer.holds === undefined) return;
      expire(now);
      const until = sentAt + parseFloat(answer.hold_time ?? "0");
      const rows = answer.holds
        .map(([first, last, fence]) => ({ first, last, fence, until }))
        .filter((row) => until > now && mayTake(row));
      ending = [...withoutSpans(ending, rows), ...withoutSpans(held, rows)];
      held = rows;
      fences = [...withoutSpans(fences, rows), ...rows];
      completeReleases();
    },
    holds: (key, now) =>
      held.some(({ first, last, until }) =>
        first <= key && last >= key && until > now
      ),
    begin(key) {
      const row = held.find(({ first, last }) => first <= key && last >= key);
      if (row === undefined) throw new Error(`key ${key} is not held`);
      running = [...running, { first: key, last: key, row }];
    },
    finish(key) {
      const index = running.findIndex(({ first }) => first === key);
      running = running.toSpliced(index, 1);
      completeReleases();
    },
    releasing: () => ending.length + freed.length > 0,
    violations: () => violations,
  };
}
