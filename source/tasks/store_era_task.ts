/**
 * The task that knows the era of the store: from the store's answers, and from
 * other agents. It notifies the tasks whose beliefs depend on writes that the
 * store may have lost.
 *
 * @module
 */
import {
  noteAnsweredEra,
  noteToldEra,
  type StoreEra,
  unknownEra,
} from "../core/ownership/store_era.ts";
import type { Events } from "../ports/events.ts";
import { openMailbox } from "./mailbox.ts";
import { monotonicNow } from "./time.ts";

/** The running task. */
export interface StoreEraTask {
  current(): StoreEra;
  /** Must be called with the era of each answer of the store. */
  handleAnswer(era: number): void;
  /** Must be called with an era that another agent knows to have changed. */
  handleTold(era: number): void;
  /**
   * Calls the listener after each change that this agent learns of, and when a
   * store states an era for the first time after answers without any.
   */
  onChange(listener: (era: number) => void): void;
}

type Message = {
  readonly kind: "answered" | "told";
  readonly era: number;
};

/** Starts without any known era. */
export function startStoreEra(
  options: { readonly events: Events },
): StoreEraTask {
  let state = unknownEra;
  const listeners: ((era: number) => void)[] = [];

  const mailbox = openMailbox<Message>(({ kind, era }) => {
    const former = state;
    const note = kind === "answered" ? noteAnsweredEra : noteToldEra;
    state = note(state, era, monotonicNow());
    if (state === former || !(former.known || state.changed)) return;
    if (state.changed) {
      options.events.record("store-era-changed", {
        era: state.era,
        former: former.known ? former.era : "unknown",
        learnedFrom: kind === "answered" ? "store" : "agent",
      });
    }
    for (const listener of listeners) listener(state.era);
  });

  return {
    current: () => state,
    handleAnswer: (era) => mailbox.send({ kind: "answered", era }),
    handleTold: (era) => mailbox.send({ kind: "told", era }),
    onChange: (listener) => void listeners.push(listener),
  };
}
