/**
 * What the policy is measured against: no admission at all, and plain
 * first-in-first-out with a limit.
 *
 * @module
 */
import { Result } from "true-myth";
import { notRun } from "../source/core/request/outcome.ts";
import type {
  AdmissionRefusal,
  AdmissionSlot,
  AdmissionTask,
} from "../source/tasks/admission_task.ts";

/** Lets every request through at once. */
export function admitAll(): AdmissionTask {
  let running = 0;
  return {
    enter() {
      running += 1;
      const slot: AdmissionSlot = { finish: () => running -= 1 };
      return Promise.resolve(Result.ok(slot));
    },
    throughput: () => 1,
    load: () => running,
    coldRequestsPerSecond: () => null,
    describeLimits: () => ({}),
    usualMilliseconds: () => 1,
    configure: () => undefined,
    limitColdStarts: () => undefined,
    refuseWaiting: () => undefined,
    close: () => undefined,
    stop: () => undefined,
  };
}

/** Runs so many at one time, lets so many wait, in the order of arrival. */
export function firstInFirstOut(options: {
  readonly slots: number;
  readonly queueLength: number;
}): AdmissionTask {
  const waiting: (() => void)[] = [];
  let running = 0;
  function finish(): void {
    running -= 1;
    waiting.shift()?.();
  }
  return {
    enter() {
      return new Promise<Result<AdmissionSlot, AdmissionRefusal>>((resolve) => {
        const start = () => {
          running += 1;
          resolve(Result.ok({ finish }));
        };
        if (running < options.slots) return start();
        if (waiting.length < options.queueLength) {
          waiting.push(start);
          return;
        }
        const failure = notRun("queue-full");
        resolve(Result.err({ failure, shortage: null }));
      });
    },
    throughput: () => 1,
    load: () => running + waiting.length,
    coldRequestsPerSecond: () => null,
    describeLimits: () => ({}),
    usualMilliseconds: () => 1,
    configure: () => undefined,
    limitColdStarts: () => undefined,
    refuseWaiting: () => undefined,
    close: () => undefined,
    stop: () => undefined,
  };
}
