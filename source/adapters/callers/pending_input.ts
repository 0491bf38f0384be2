/**
 * Delays new work until pending socket input has been read. When a process has
 * not run for a while, its sockets may hold requests followed by their
 * cancellation or the end of their connection. One turn of the event loop reads
 * each socket once, so what follows a request is only read in the next turn.
 *
 * @module
 */
import type { ReadPendingInput } from "../../ports/input.ts";

/** Delays the work of a process until pending socket input has been read. */
export interface PendingInputGate {
  /**
   * Resolves when new work may start: at once in a process that keeps up with
   * its input. Otherwise work starts in the order of its arrival, once the
   * input behind it has been read.
   */
  enter(): Promise<void>;
  /** The same for work that has already started; it does not queue. */
  readonly readPending: ReadPendingInput;
  /**
   * Estimates for how many milliseconds the input that is read now was pending:
   * half of the time for which no input was read, 0 for a short time.
   */
  unreadMilliseconds(): number;
}

/** The turn in which work arrives, and the one that reads what follows it. */
const turnsUntilRead = 2;
/** Work is started for this long in one turn before sockets are read again. */
const maxTurnMilliseconds = 10;
/** A process without a turn of work for this long counts as delayed. */
const delayedAfterMilliseconds = 100;
/** Interval at which an idle process records that it still reads input. */
const readCheckMilliseconds = 100;

interface QueuedWork {
  readonly enteredInTurn: number;
  readonly start: () => void;
}

/** Starts with a process that counts as delayed. */
export function startPendingInputGate(): PendingInputGate {
  const queue: QueuedWork[] = [];
  let turn = 0;
  let turnScheduled = false;
  /** When the first work of this turn arrived; null if none has. */
  let turnStartedAt: number | null = null;
  /** When the last turn with work started; sockets were read before it. */
  let lastTurnAt = -Infinity;
  /** When sockets were last known to have been read. */
  let lastReadAt = performance.now();
  let delayed = true;
  let unreadForMilliseconds = 0;

  /** Determines, at the first work of a turn, how delayed this process is. */
  function startTurn(now: number): number {
    if (turnStartedAt !== null) return turnStartedAt;
    delayed = now - lastTurnAt >= delayedAfterMilliseconds;
    const gap = now - lastReadAt;
    unreadForMilliseconds =
      gap >= readCheckMilliseconds + delayedAfterMilliseconds ? gap / 2 : 0;
    turnStartedAt = now;
    if (!turnScheduled) scheduleTurn();
    return now;
  }

  /** Whether sockets were read recently and will be read again soon. */
  function keepsUp(): boolean {
    const now = performance.now();
    const turnAge = now - startTurn(now);
    return !delayed && turnAge < maxTurnMilliseconds;
  }

  function scheduleTurn(): void {
    turnScheduled = true;
    setImmediate(() => void runTurn());
  }

  async function runTurn(): Promise<void> {
    turn += 1;
    lastTurnAt = turnStartedAt ?? performance.now();
    lastReadAt = lastTurnAt;
    await startReadyWork();
    turnStartedAt = null;
    turnScheduled = false;
    if (queue.length > 0) scheduleTurn();
  }

  async function startReadyWork(): Promise<void> {
    const endAt = performance.now() + maxTurnMilliseconds;
    do {
      const ready = dequeueReady();
      if (ready === null) return;
      ready.start();
      // Lets the started work run its first steps.
      await Promise.resolve();
    } while (performance.now() < endAt);
  }

  /** Removes the first work if it has waited long enough; null if not. */
  function dequeueReady(): QueuedWork | null {
    const [first] = queue;
    if (first === undefined) return null;
    if (turn - first.enteredInTurn < turnsUntilRead) return null;
    queue.shift();
    return first;
  }

  /** Timers run before sockets are read, `setImmediate` callbacks after. */
  const recordRead = () =>
    setImmediate(() => {
      if (turnStartedAt === null) lastReadAt = performance.now();
    });
  setInterval(recordRead, readCheckMilliseconds).unref();

  return {
    enter() {
      if (keepsUp() && queue.length === 0) return Promise.resolve();
      return new Promise((start) => {
        queue.push({ enteredInTurn: turn, start });
        if (!turnScheduled) scheduleTurn();
      });
    },
    readPending: () =>
      keepsUp()
        ? Promise.resolve()
        : new Promise((resolve) => afterTurns(turnsUntilRead, resolve)),
    unreadMilliseconds() {
      startTurn(performance.now());
      return unreadForMilliseconds;
    },
  };
}

function afterTurns(turns: number, then: () => void): void {
  setImmediate(() => turns > 1 ? afterTurns(turns - 1, then) : then());
}
