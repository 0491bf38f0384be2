/**
 * Turns of the event loop, for work that must not begin before what came with
 * it has been read. One turn reads each socket once: what a socket holds behind
 * a request, its end too, is read in the turn after.
 *
 * @module
 */
import type { ReadPendingInput } from "../ports/input.ts";

/** This turn and the next one, which reads each socket once more. */
const turnsUntilRead = 2;

/** Reads what lies in the sockets of this process. */
export const readPendingInput: ReadPendingInput = () =>
  new Promise((resolve) => afterTurns(turnsUntilRead, resolve));

function afterTurns(turns: number, then: () => void): void {
  setImmediate(() => turns > 1 ? afterTurns(turns - 1, then) : then());
}

/** Where work waits until it may begin. */
export interface Intake {
  /** Resolves when this work may begin. */
  enter(): Promise<void>;
}

interface Waiting {
  readonly enteredInTurn: number;
  readonly begin: () => void;
}

/**
 * Lets work begin in the order in which it came, one piece in each turn, and
 * none before its sender's word that came with it has been read. So a burst
 * that takes long keeps this process from reading for one piece at most.
 */
export function startIntake(): Intake {
  const waiting: Waiting[] = [];
  let turn = 0;
  let turning = false;

  function turnOnce(): void {
    turn += 1;
    const [first] = waiting;
    if (first !== undefined && turn - first.enteredInTurn >= turnsUntilRead) {
      waiting.shift();
      first.begin();
    }
    turning = waiting.length > 0;
    if (turning) setImmediate(turnOnce);
  }

  return {
    enter: () =>
      new Promise((begin) => {
        waiting.push({ enteredInTurn: turn, begin });
        if (turning) return;
        turning = true;
        setImmediate(turnOnce);
      }),
  };
}
