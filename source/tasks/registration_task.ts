/**
 * The task that receives the reports of the local target. They decide which
 * process the target is and whether it takes new work.
 *
 * @module
 */
import type { RecordedDeparture } from "../core/target/departures.ts";
import {
  acknowledgedDepartures,
  createRegistration,
  type DepartureNotice,
  isAlive,
  isForeign,
  type RegisteredTarget,
  type RegistrationChange,
  type RegistrationEvent,
  type RegistrationState,
  type ReportRank,
  serves,
  stepRegistration,
  type TargetReport,
} from "../core/target/registration.ts";
import type { Events } from "../ports/events.ts";
import { openMailbox } from "./mailbox.ts";
import { leavingKeysMilliseconds } from "./target_watch_task.ts";
import { monotonicNow, startTicker } from "./time.ts";

/** The running registration of the local target. */
export interface RegistrationTask {
  /** Must be called with each report that arrives. */
  report(report: TargetReport): ReportRank;
  /** Must be called with each notice that a target stops. */
  leave(notice: DepartureNotice): void;
  /** Must be called when a connection to the target was refused. */
  recordRefusal(): void;
  /** The target as last reported; null before the first report. */
  target(): RegisteredTarget | null;
  /** Whether the target accepts new requests, with a key or without. */
  accepts(work: { readonly keyed: boolean }): boolean;
  /**
   * Whether the target accepts requests that this agent had accepted before. An
   * agent that stops still serves those.
   */
  acceptsWaiting(work: { readonly keyed: boolean }): boolean;
  /** Whether the target's process is believed to be running. */
  isTargetAlive(): boolean;
  /**
   * Must be called with what former processes of this agent have acknowledged.
   * Until then no report is believed: it may have been sent before.
   */
  loadDepartures(departures: readonly RecordedDeparture[]): void;
  /**
   * Resolves to whether what has been said of leaving targets is kept for the
   * next process of this agent, so that it may be acknowledged.
   */
  departuresKept(): Promise<boolean>;
  /**
   * Treats the target as leaving while its data centre is evacuated, or while
   * that is not known.
   */
  setEvacuated(evacuated: boolean): void;
  /** Treats the target as leaving from now on, because the agent stops. */
  stopServing(): void;
  stop(): void;
}

const checkIntervalMilliseconds = 250;

/** Starts the task without a target. */
export function startRegistration(options: {
  /** The service of the target. */
  readonly service: string;
  /** A target that has not reported for this long is not considered alive. */
  readonly silenceMilliseconds: number;
  /** Whether the target counts as evacuated at first; not when left out. */
  readonly evacuated?: boolean;
  readonly events: Events;
  /** Called when the target starts or stops taking new work. */
  readonly onServing: (serving: boolean) => void;
  /** Called when a new process has replaced the target's former one. */
  readonly onReplaced: () => void;
  /** Resolves to whether anyone but this process keeps these departures. */
  readonly keepDepartures: (
    departures: readonly RecordedDeparture[],
  ) => Promise<boolean>;
}): RegistrationTask {
  const { events } = options;
  let state: RegistrationState = createRegistration(options);
  let serving = false;
  let stopping = false;
  let { evacuated = false } = options;
  let formerDeparturesKnown = false;
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
    const now = !stopping && servesAsKnown();
    if (now === serving) return;
    serving = now;
    if (!serving) notServingSince = monotonicNow();
    events.record("target-phase", {
      phase: serving ? "serving" : "leaving",
      target: state.target?.id ?? "",
      refused: state.target?.refused ?? false,
      ...(evacuated ? { evacuated } : {}),
    });
    options.onServing(serving);
  }

  /** A report is not believed before what was acknowledged earlier is known. */
  function servesAsKnown(): boolean {
    return formerDeparturesKnown && !evacuated &&
      serves(state, monotonicNow());
  }

  /** Whether a target that takes no new work serves its keys until they move. */
  function servesItsKeysOn(): boolean {
    const now = monotonicNow();
    return isAlive(state, now) &&
      now - notServingSince < leavingKeysMilliseconds;
  }

  const ticker = startTicker(updateServing, {
    intervalMilliseconds: checkIntervalMilliseconds,
  });

  return {
    report(report) {
      const former = state.target;
      mailbox.send({ kind: "reported", report, now: monotonicNow() });
      if (isForeign(state, report)) return "foreign";
      return state.target === former ? "outdated" : "newest";
    },
    leave(notice) {
      const former = state.target;
      mailbox.send({
        kind: "left",
        notice,
        now: monotonicNow(),
        wallNow: Date.now(),
      });
      events.record("target-left", {
        target: notice.id,
        known: state.target !== former,
      });
    },
    recordRefusal: () => mailbox.send({ kind: "refused" }),
    target: () => state.target,
    accepts({ keyed }) {
      return serving || (keyed && servesItsKeysOn());
    },
    acceptsWaiting({ keyed }) {
      if (servesAsKnown()) return true;
      return keyed && servesItsKeysOn();
    },
    isTargetAlive: () => isAlive(state, monotonicNow()),
    loadDepartures(departures) {
      for (const { id, startedBy } of departures) {
        mailbox.send({
          kind: "left",
          notice: { id, startedAt: startedBy },
          now: monotonicNow(),
          wallNow: Date.now(),
        });
      }
      if (departures.length > 0) {
        events.record("departures-loaded", {
          targets: departures.map(({ id }) => id).join(),
        });
      }
      formerDeparturesKnown = true;
      updateServing();
    },
    departuresKept: () =>
      options.keepDepartures(acknowledgedDepartures(state, monotonicNow())),
    setEvacuated(next) {
      evacuated = next;
      updateServing();
    },
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
