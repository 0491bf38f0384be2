/**
 * The task that follows whether the local target is cold, limits its starts
 * meanwhile, and tells other agents how much it takes.
 *
 * @module
 */
import type { ColdStart } from "../core/document/document.ts";
import {
  type ColdTargetEffect,
  effectiveSlots,
  stepColdTarget,
  unknownColdness,
} from "../core/target/cold_target.ts";
import { slotsByShare } from "../core/target/failing_target.ts";
import type { RegisteredTarget } from "../core/target/registration.ts";
import type { Events } from "../ports/events.ts";
import type { AdmissionTask } from "./admission_task.ts";
import { openMailbox } from "./mailbox.ts";
import { monotonicNow, startTicker } from "./time.ts";

/** The running task. */
export interface ColdTargetTask {
  /**
   * Must be called when the target has reported, has refused a connection, or
   * when the configuration has changed.
   */
  refresh(): void;
  /** The slots that other agents are told; those of the target if it is warm. */
  slots(target: RegisteredTarget): number;
  stop(): void;
}

const checkIntervalMilliseconds = 100;
/**
 * After a longer pause this process was suspended: reports of the target wait to
 * be read, and their absence shows nothing until the next check. That one counts
 * however late it is: on a busy host all of them are.
 */
const maxCheckGapMilliseconds = 300;

/** Starts the task for a target that is not known yet. */
export function startColdTarget(options: {
  readonly target: () => RegisteredTarget | null;
  /** What the target's service tolerates; null without a bound. */
  readonly coldStart: () => ColdStart | null;
  readonly heartbeatMilliseconds: number;
  readonly admission: Pick<
    AdmissionTask,
    "limitColdStarts" | "usualMilliseconds"
  >;
  /** The part of its slots that others are told; all when left out. */
  readonly share?: () => number;
  /** Tells other agents the slots of the target. */
  readonly publish: (slots: number) => void;
  readonly events: Events;
}): ColdTargetTask {
  const { admission, events, share = () => 1 } = options;
  let state = unknownColdness;

  const mailbox = openMailbox<{ readonly now: number }>(({ now }) => {
    const coldStart = options.coldStart();
    const changesSlots = coldStart !== null || share() < 1;
    if (!changesSlots && state.published === null) return;
    const next = stepColdTarget(state, {
      now,
      target: options.target(),
      coldStart,
      usualMilliseconds: admission.usualMilliseconds(),
      heartbeatMilliseconds: options.heartbeatMilliseconds,
      share: share(),
    });
    state = next.state;
    for (const effect of next.effects) perform(effect, now);
  });

  function perform(effect: ColdTargetEffect, now: number): void {
    const target = options.target();
    const known = {
      target: target?.id ?? "",
      reportAgeMilliseconds: Math.round(now - (target?.reportedAt ?? now)),
    };
    switch (effect.kind) {
      case "limit":
        return admission.limitColdStarts(effect.requestsPerSecond);
      case "publish":
        return options.publish(effect.slots);
      case "becameCold":
        return events.record("target-cold", {
          ...known,
          cause: effect.cause,
          remainingMilliseconds: Math.round(target?.coldMilliseconds ?? 0),
          requestsPerSecond: effect.requestsPerSecond,
          usualMilliseconds: Math.round(admission.usualMilliseconds()),
        });
      case "becameWarm":
        return events.record("target-warm", {
          ...known,
          coldMilliseconds: Math.round(effect.coldMilliseconds),
        });
    }
  }

  const refresh = () => mailbox.send({ now: monotonicNow() });
  let checkedAt = monotonicNow();
  let skipped = false;
  const ticker = startTicker(() => {
    const gap = monotonicNow() - checkedAt;
    checkedAt += gap;
    skipped = gap > maxCheckGapMilliseconds && !skipped;
    if (!skipped) refresh();
  }, { intervalMilliseconds: checkIntervalMilliseconds });

  return {
    refresh,
    slots: (target) =>
      state.published?.slots ?? effectiveSlots({
        slots: slotsByShare(target.slots, share()),
        requestsPerSecond: state.requestsPerSecond,
        usualMilliseconds: admission.usualMilliseconds(),
      }),
    stop() {
      ticker.stop();
      mailbox.close();
    },
  };
}
