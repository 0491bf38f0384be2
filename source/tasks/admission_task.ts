/**
 * The task that owns the target's slots and queue.
 *
 * @module
 */
import { Result } from "true-myth";
import {
  type AdmissionEffect,
  type AdmissionEvent,
  type AdmissionSettings,
  beginAdmission,
  countWaiting,
  type FinishKind,
  stepAdmission,
  throughput,
} from "../core/admission/admission.ts";
import { type Failure, notRun } from "../core/request/outcome.ts";
import { openMailbox } from "./mailbox.ts";
import { monotonicNow } from "./time.ts";

/** The right to use one of the target's slots. */
export interface AdmissionSlot {
  /** To be called once, when the target is done with the request. */
  finish(kind: FinishKind): void;
}

/** A running admission. */
export interface AdmissionTask {
  /** Waits for a slot; fails with proof that nothing began. */
  enter(entry: {
    readonly rank: number;
    /** Names requests that take alike long; null for all of its rank. */
    readonly work: string | null;
    /** The end of its full worth; null for its deadline. */
    readonly objectiveAt: number | null;
    readonly deadlineAt: number;
    readonly signal: AbortSignal;
  }): Promise<Result<AdmissionSlot, Failure>>;
  /** Requests running and waiting. */
  load(): number;
  /** Requests that the target can run in a second, as last measured. */
  throughput(): number;
  configure(settings: AdmissionSettings): void;
  /** Refuses what waits and all that comes. */
  close(): void;
  stop(): void;
}

type Settle = (result: Result<AdmissionSlot, Failure>) => void;

/** Starts with these settings. */
export function startAdmission(options: {
  readonly settings: AdmissionSettings;
  readonly tickMilliseconds: number;
}): AdmissionTask {
  let state = beginAdmission(options.settings);
  let nextId = 1;
  const settles = new Map<number, Settle>();

  const mailbox = openMailbox<AdmissionEvent>((event) => {
    const next = stepAdmission(state, event);
    state = next.state;
    for (const effect of next.effects) perform(effect);
    tickWhileWaiting();
  });

  function perform(effect: AdmissionEffect): void {
    const settle = settles.get(effect.id);
    settles.delete(effect.id);
    if (effect.kind === "refuse") {
      const { reason, retryAfterMilliseconds } = effect;
      settle?.(Result.err(notRun(reason, retryAfterMilliseconds)));
    } else {
      settle?.(Result.ok(slotOf(effect.id)));
    }
  }

  function slotOf(id: number): AdmissionSlot {
    return {
      finish: (finish) =>
        mailbox.send({ kind: "finished", id, finish, now: monotonicNow() }),
    };
  }

  let timer: ReturnType<typeof setTimeout> | null = null;

  /** Time matters only to requests that wait; an idle agent sleeps. */
  function tickWhileWaiting(): void {
    if (timer !== null || countWaiting(state) === 0) return;
    timer = setTimeout(() => {
      timer = null;
      mailbox.send({ kind: "tick", now: monotonicNow() });
    }, options.tickMilliseconds);
  }

  return {
    enter({ rank, work, objectiveAt, deadlineAt, signal }) {
      const id = nextId;
      nextId += 1;
      return new Promise((resolve) => {
        const withdraw = () => {
          if (!settles.delete(id)) return;
          mailbox.send({ kind: "withdrawn", id, now: monotonicNow() });
          resolve(Result.err(notRun("caller-left")));
        };
        settles.set(id, (result) => {
          signal.removeEventListener("abort", withdraw);
          resolve(result);
        });
        if (signal.aborted) return withdraw();
        const now = monotonicNow();
        mailbox.send({
          kind: "arrived",
          id,
          rank,
          work,
          objectiveAt: objectiveAt ?? deadlineAt,
          deadlineAt,
          now,
        });
        if (!settles.has(id)) return;
        signal.addEventListener("abort", withdraw, { once: true });
      });
    },
    load: () => state.running.size + countWaiting(state),
    throughput: () => Math.max(1, Math.round(throughput(state))),
    configure: (settings) => mailbox.send({ kind: "settings", settings }),
    close: () => mailbox.send({ kind: "close" }),
    stop() {
      if (timer !== null) clearTimeout(timer);
      mailbox.close();
    },
  };
}
