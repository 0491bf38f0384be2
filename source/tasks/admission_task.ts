/**
 * The task that owns the target's request slots and the queue for them.
 *
 * @module
 */
import { Result } from "true-myth";
import { stepAdmission } from "../core/admission/admission.ts";
import type { FinishKind } from "../core/admission/concurrency_limit.ts";
import { throughput } from "../core/admission/estimates.ts";
import type {
  AdmissionEffect,
  AdmissionEvent,
} from "../core/admission/events.ts";
import {
  nextStartDelay,
  waitsForColdStart,
} from "../core/admission/expected_waits.ts";
import { countWaiting } from "../core/admission/queue.ts";
import type { AdmissionSettings } from "../core/admission/settings.ts";
import { createAdmission } from "../core/admission/state.ts";
import { missingSlots } from "../core/admission/reported_load.ts";
import { describeCapacity } from "../core/load/reported_capacity.ts";
import {
  describeSlowness,
  momentarySlowness,
  type TargetLoad,
} from "../core/load/target_load.ts";
import type { Shortage } from "../core/admission/shortage.ts";
import type { Client } from "../core/admission/fair_shares.ts";
import { type Failure, notRun } from "../core/request/outcome.ts";
import { openMailbox } from "./mailbox.ts";
import { monotonicNow } from "./time.ts";

/** Permission to use one of the target's slots. */
export interface AdmissionSlot {
  /**
   * Must be called once, when the target has finished with the request, with
   * the slowness and the load that it has reported, if any.
   */
  finish(
    kind: FinishKind,
    slowness?: number | null,
    reported?: TargetLoad | null,
  ): void;
}

/** Why a request got no slot; it has not been run. */
export interface AdmissionRefusal {
  readonly failure: Failure;
  /** What it competed for; null if it wasn't refused for lack of capacity. */
  readonly shortage: Shortage | null;
}

/** The running admission task. */
export interface AdmissionTask {
  /** Waits for a slot. */
  enter(entry: {
    readonly rank: number;
    /**
     * A class of requests with similar service times; null for the whole rank.
     */
    readonly work: string | null;
    /** Whether the request has a key. */
    readonly keyed: boolean;
    /** Whom it comes from; not known when left out. */
    readonly client?: Client;
    /** The latency objective, on the monotonic clock; null for the deadline. */
    readonly objectiveAt: number | null;
    readonly deadlineAt: number;
    readonly signal: AbortSignal;
  }): Promise<Result<AdmissionSlot, AdmissionRefusal>>;
  /**
   * The number of requests that run or wait, and of slots that the target
   * reports not to have.
   */
  load(): number;
  /** Measured requests with a key that the target can run in a second. */
  throughput(): number;
  /** Requests per second that a cold target gets; null for one that isn't. */
  coldRequestsPerSecond(): number | null;
  /** What limits the target at this moment, for log lines. */
  describeLimits(): Readonly<Record<string, number>>;
  /** Mean time of a request in the target. */
  usualMilliseconds(): number;
  configure(settings: AdmissionSettings): void;
  /** Limits the starts of a target that is cold; null for one that is not. */
  limitColdStarts(requestsPerSecond: number | null): void;
  /** Refuses all waiting requests. */
  refuseWaiting(): void;
  /** Refuses all waiting and all further requests. */
  close(): void;
  /** Stops the timer and ignores further events. */
  stop(): void;
}

/** The admission task of a target that may report its machine's slowness. */
export interface TargetAdmission extends AdmissionTask {
  /** How much longer work takes on the target's machine at this moment. */
  machineSlowness(): number;
}

/** Resolves the `enter` call of a waiting request. */
type SlotCallback = (result: Result<AdmissionSlot, AdmissionRefusal>) => void;

function refusalOf(
  failure: Failure,
  shortage: Shortage | null = null,
): Result<AdmissionSlot, AdmissionRefusal> {
  return Result.err({ failure, shortage });
}

/** Starts admission with these settings and all slots free. */
export function startAdmission(options: {
  readonly settings: AdmissionSettings;
  readonly tickMilliseconds: number;
  /** Called for each request that waits because the target is cold. */
  readonly onColdStartDelayed?: () => void;
}): TargetAdmission {
  let state = createAdmission(options.settings);
  let nextId = 1;
  const callbacks = new Map<number, SlotCallback>();

  const mailbox = openMailbox<AdmissionEvent>((event) => {
    const next = stepAdmission(state, event);
    state = next.state;
    for (const effect of next.effects) perform(effect);
    tickWhileWaiting();
  });

  function perform(effect: AdmissionEffect): void {
    const callback = callbacks.get(effect.id);
    callbacks.delete(effect.id);
    if (effect.kind === "refuse") {
      const { reason, retryAfterMilliseconds } = effect;
      const failure = notRun(reason, retryAfterMilliseconds);
      callback?.(refusalOf(failure, effect.shortage));
    } else {
      callback?.(Result.ok(slotOf(effect.id)));
    }
  }

  function slotOf(id: number): AdmissionSlot {
    return {
      finish(finish, slowness = null, reported = null) {
        const now = monotonicNow();
        mailbox.send({ kind: "finished", id, finish, slowness, reported, now });
      },
    };
  }

  function coldRequestsPerSecond(): number | null {
    return state.coldStarts?.requestsPerSecond ?? null;
  }

  let timer: ReturnType<typeof setTimeout> | null = null;

  /** Ticks only while requests wait, so that an idle agent has no timer. */
  function tickWhileWaiting(): void {
    if (timer !== null || countWaiting(state) === 0) return;
    const now = monotonicNow();
    // The next start of a cold target may be free before the next tick.
    const delay = waitsForColdStart(state, now)
      ? Math.min(options.tickMilliseconds, nextStartDelay(state, now))
      : options.tickMilliseconds;
    timer = setTimeout(() => {
      timer = null;
      mailbox.send({ kind: "tick", now: monotonicNow() });
    }, delay);
  }

  return {
    enter({ rank, work, keyed, client, objectiveAt, deadlineAt, signal }) {
      const id = nextId;
      nextId += 1;
      return new Promise((resolve) => {
        const withdraw = () => {
          if (!callbacks.delete(id)) return;
          mailbox.send({ kind: "withdrawn", id, now: monotonicNow() });
          resolve(refusalOf(notRun("caller-left")));
        };
        callbacks.set(id, (result) => {
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
          keyed,
          ...(client === undefined ? {} : { client }),
          objectiveAt: objectiveAt ?? deadlineAt,
          deadlineAt,
          now,
        });
        if (!callbacks.has(id)) return;
        if (waitsForColdStart(state, now)) options.onColdStartDelayed?.();
        signal.addEventListener("abort", withdraw, { once: true });
      });
    },
    load: () =>
      state.running.size + countWaiting(state) +
      missingSlots(state, monotonicNow()),
    throughput: () => Math.max(1, Math.round(throughput(state))),
    coldRequestsPerSecond,
    machineSlowness: () => momentarySlowness(state.slowness, monotonicNow()),
    describeLimits() {
      const rate = coldRequestsPerSecond();
      return {
        ...(rate === null ? {} : { coldRequestsPerSecond: rate }),
        ...describeSlowness(state.slowness, monotonicNow()),
        ...describeCapacity(state.reported, monotonicNow()),
      };
    },
    usualMilliseconds: () => state.meanMilliseconds,
    configure: (settings) => mailbox.send({ kind: "settings", settings }),
    limitColdStarts(requestsPerSecond) {
      const now = monotonicNow();
      mailbox.send({ kind: "coldRate", requestsPerSecond, now });
    },
    refuseWaiting: () => mailbox.send({ kind: "refuseWaiting" }),
    close: () => mailbox.send({ kind: "close" }),
    stop() {
      if (timer !== null) clearTimeout(timer);
      mailbox.close();
    },
  };
}
