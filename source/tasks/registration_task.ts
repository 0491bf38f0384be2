/**
 * The task that hears the target beside this agent: its reports decide which
 * process the target is, and whether it takes new work.
 *
 * @module
 */
import {
  beginRegistration,
  isAlive,
  type RegisteredTarget,
  type RegistrationChange,
  type RegistrationEvent,
  type RegistrationState,
  serves,
  stepRegistration,
  type TargetReport,
} from "../core/target/registration.ts";
import type { Events } from "../ports/events.ts";
import { openMailbox } from "./mailbox.ts";
import { evacuationMilliseconds } from "./target_watch_task.ts";
import { monotonicNow, startTicker } from "./time.ts";

/** A running registration. */
export interface RegistrationTask {
  /** The target's report of itself has come. */
  report(report: TargetReport): void;
  /** The target with this id has said that it goes for good. */
  leave(id: string): void;
  /** A connection to the target was refused. */
  recordRefusal(): void;
  /** The target as it last reported itself; null before it did. */
  target(): RegisteredTarget | null;
  /** Whether the target takes new work of this sort. */
  accepts(work: { readonly keyed: boolean }): boolean;
  /** Whether the target's process is believed to run. */
  isTargetAlive(): boolean;
  /** The agent itself stops: from now on the target counts as leaving. */
  stopServing(): void;
  stop(): void;
}

const checkIntervalMilliseconds = 250;

/** Starts without a target. */
export function startRegistration(options: {
  readonly silenceMilliseconds: number;
  readonly events: Events;
  /** Hears whether the target takes new work, when that changes. */
  readonly onServing: (serving: boolean) => void;
  /** Hears of each process that takes the former one's place. */
  readonly onReplaced: () => void;
}): RegistrationTask {
  const { events } = options;
  let state: RegistrationState = beginRegistration(options.silenceMilliseconds);
  let serving = false;
  let stopping = false;
  let notServingSince = -Infinity;

  const mailbox = openMailbox<RegistrationEvent>((event) => {
    const next = stepRegistration(state, event);
    state = next.state;
    recordChange(next.change);
    updateServing();
  });

  function recordChange(change: RegistrationChange): void {
    const { target } = state;
    if (target === null || change === "none" || change === "updated") return;
    events.record(
      change === "begun" ? "target-registered" : "target-replaced",
      {
        target: target.id,
        service: target.service,
        slots: target.slots,
        startedAt: target.startedAt,
      },
    );
    if (change === "replaced") options.onReplaced();
  }

  function updateServing(): void {
    const now = !stopping && serves(state, monotonicNow());
    if (now === serving) return;
    serving = now;
    if (!serving) notServingSince = monotonicNow();
    events.record("target-phase", {
      phase: serving ? "serving" : "leaving",
      target: state.target?.id ?? "",
      refused: state.target?.refused ?? false,
    });
    options.onServing(serving);
  }

  const ticker = startTicker(updateServing, {
    intervalMilliseconds: checkIntervalMilliseconds,
  });

  return {
    report: (report) =>
      mailbox.send({ kind: "reported", report, now: monotonicNow() }),
    leave(id) {
      events.record("target-left", {
        target: id,
        known: state.target?.id === id,
      });
      mailbox.send({
        kind: "left",
        id,
        now: monotonicNow(),
        wallNow: Date.now(),
      });
    },
    recordRefusal: () => mailbox.send({ kind: "refused" }),
    target: () => state.target,
    accepts({ keyed }) {
      if (serving) return true;
      return keyed && isAlive(state, monotonicNow()) &&
        monotonicNow() - notServingSince < evacuationMilliseconds;
    },
    isTargetAlive: () => isAlive(state, monotonicNow()),
    stopServing() {
      stopping = true;
      updateServing();
    },
    stop() {
      ticker.stop();
      mailbox.close();
    },
  };
}
