/**
 * Lets work begin only on what is known now. A process that has not run for a
 * while finds requests and the word that they are void in the same sockets, in
 * this order: one turn of the event loop reads each socket once, and what lies
 * behind a request, its caller's end too, is read in the turn after.
 *
 * @module
 */
import type { ReadPendingInput } from "../../ports/input.ts";

/** Where the work of a process waits until it may begin. */
export interface PendingInputGate {
  /**
   * Resolves when new work may begin: at once in a process that keeps up, or
   * else in the order in which it came, once what came behind it is read.
   */
  enter(): Promise<void>;
  /** The same for work that was begun already; it waits for no other. */
  readonly readPending: ReadPendingInput;
  /**
   * For how many milliseconds what is read now has lain unread, as far as that
   * can be told: half of the time for which nothing was read.
   */
  unreadMilliseconds(): number;
}

/** The turn in which work came, and the one that reads what is behind it. */
const turnsUntilRead = 2;
/** Work begins in one turn for so long, before sockets are read again. */
const turnMilliseconds = 10;
/** Work is begun on what is known if that is not older. */
const lateMilliseconds = 100;
/** A process looks this often whether it still reads. */
const lookMilliseconds = 100;

interface Waiting {
  readonly enteredInTurn: number;
  readonly begin: () => void;
}

/** Starts with a process that may be late. */
export function startPendingInputGate(): PendingInputGate {
  const waiting: Waiting[] = [];
  let turn = 0;
  let turning = false;
  /** When the work in this turn began; null before the first. */
  let beganAt: number | null = null;
  /** The beginning of the last turn with work, before which sockets were read. */
  let workedAt = -Infinity;
  /** When sockets had last been read, as far as that was looked at. */
  let readAt = performance.now();
  let late = true;
  let unread = 0;

  /** Judges, with the first work of a turn, how late this process is. */
  function beginTurn(now: number): number {
    if (beganAt !== null) return beganAt;
    late = now - workedAt >= lateMilliseconds;
    const gap = now - readAt;
    unread = gap >= lookMilliseconds + lateMilliseconds ? gap / 2 : 0;
    beganAt = now;
    if (!turning) nextTurn();
    return now;
  }

  /** Whether sockets were read a moment ago, and will be in a moment. */
  function keepsUp(): boolean {
    const now = performance.now();
    const worked = now - beginTurn(now);
    return !late && worked < turnMilliseconds;
  }

  function nextTurn(): void {
    turning = true;
    setImmediate(() => void takeTurn());
  }

  async function takeTurn(): Promise<void> {
    turn += 1;
    workedAt = beganAt ?? performance.now();
    readAt = workedAt;
    await beginReady();
    beganAt = null;
    turning = false;
    if (waiting.length > 0) nextTurn();
  }

  async function beginReady(): Promise<void> {
    const endAt = performance.now() + turnMilliseconds;
    do {
      const ready = takeReady();
      if (ready === null) return;
      ready.begin();
      // What has begun does its first steps meanwhile.
      await Promise.resolve();
    } while (performance.now() < endAt);
  }

  /** The first that has waited long enough; null for none. */
  function takeReady(): Waiting | null {
    const [first] = waiting;
    if (first === undefined) return null;
    if (turn - first.enteredInTurn < turnsUntilRead) return null;
    waiting.shift();
    return first;
  }

  /** A timer comes before the sockets are read, and this after it. */
  const look = () =>
    setImmediate(() => {
      if (beganAt === null) readAt = performance.now();
    });
  setInterval(look, lookMilliseconds).unref();

  return {
    enter() {
      if (keepsUp() && waiting.length === 0) return Promise.resolve();
      return new Promise((begin) => {
        waiting.push({ enteredInTurn: turn, begin });
        if (!turning) nextTurn();
      });
    },
    readPending: () =>
      keepsUp()
        ? Promise.resolve()
        : new Promise((resolve) => afterTurns(turnsUntilRead, resolve)),
    unreadMilliseconds() {
      beginTurn(performance.now());
      return unread;
    },
  };
}

function afterTurns(turns: number, then: () => void): void {
  setImmediate(() => turns > 1 ? afterTurns(turns - 1, then) : then());
}
