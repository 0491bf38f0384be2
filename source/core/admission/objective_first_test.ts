import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { stepAdmission } from "./admission.ts";
import type { AdmissionSettings } from "./settings.ts";
import { type AdmissionState, createAdmission } from "./state.ts";
import { nextToStart, retryDelay } from "./objective_first.ts";

const serviceMilliseconds = 100;
const objectiveMilliseconds = 250;
const deadlineMilliseconds = 1_200;

const settings: AdmissionSettings = {
  slots: 10,
  ranks: [{ name: "view", share: 0 }],
  queueLength: 64,
  initialShare: 1,
  maxLateWaitMilliseconds: 50,
};

interface Outcome {
  readonly inTime: number;
  readonly served: number;
  readonly refusedAt: readonly number[];
}

/** Simulates evenly spaced requests at a multiple of what the slots can run. */
function burst(overload: number, milliseconds: number): Outcome {
  let state: AdmissionState = createAdmission(settings);
  const arrivals = new Map<number, number>();
  const ends = new Map<number, number>();
  const refusedAt: number[] = [];
  let inTime = 0;
  let served = 0;
  let id = 0;
  let due = 0;
  const perMillisecond = overload * settings.slots / serviceMilliseconds;

  function feed(event: Parameters<typeof stepAdmission>[1]): void {
    const next = stepAdmission(state, event);
    state = next.state;
    for (const effect of next.effects) {
      if (effect.kind === "start") {
        ends.set(
          effect.id,
          event.kind === "close" || !("now" in event)
            ? 0
            : event.now + serviceMilliseconds,
        );
      } else if ("now" in event) {
        refusedAt.push(event.now - (arrivals.get(effect.id) ?? 0));
      }
    }
  }

  for (let now = 0; now < milliseconds + deadlineMilliseconds; now += 1) {
    for (const [ended, at] of ends) {
      if (at > now) continue;
      ends.delete(ended);
      served += 1;
      const took = now - (arrivals.get(ended) ?? 0);
      if (took <= objectiveMilliseconds) inTime += 1;
      feed({ kind: "finished", id: ended, finish: "answered", now });
    }
    due += now < milliseconds ? perMillisecond : 0;
    while (due >= 1) {
      due -= 1;
      id += 1;
      arrivals.set(id, now);
      feed({
        kind: "arrived",
        id,
        rank: 0,
        objectiveAt: now + objectiveMilliseconds,
        deadlineAt: now + deadlineMilliseconds,
        now,
      });
    }
    if (now % 10 === 0) feed({ kind: "tick", now });
  }
  return { inTime, served, refusedAt };
}

describe("a burst of requests to one target", () => {
  describe("whose requests have an objective", () => {
    it("is answered in time for nine tenths of the capacity", () => {
      const { inTime } = burst(1.5, 3_000);
      const capacity = settings.slots * 3_000 / serviceMilliseconds;
      assert.ok(inTime >= 0.9 * capacity, `${inTime} of ${capacity}`);
    });

    it("is otherwise refused within an eighth of the objective", () => {
      const { refusedAt } = burst(1.5, 3_000);
      const late = refusedAt.filter((age) => age > objectiveMilliseconds / 8);
      assert.ok(refusedAt.length > 0);
      assert.ok(
        late.length <= refusedAt.length / 20,
        `${late.length} of ${refusedAt.length}`,
      );
    });

    it("is not refused while the slots suffice", () => {
      assert.deepEqual(burst(0.9, 3_000).refusedAt, []);
    });
  });

  // A queue drains soon where the target can run all requests that arrive.
  describe("that stays within the capacity of the target", () => {
    it("is answered without a refusal", () => {
      const { refusedAt, served } = burst(0.8, 2_000);
      assert.equal(refusedAt.length, 0);
      assert.ok(served > 100);
    });
  });

  describe("within one rank", () => {
    const view = { now: 0, serviceMillisecondsOf: () => serviceMilliseconds };

    it("starts the first that can meet its objective before older ones", () => {
      const late = { objectiveAt: 40, deadlineAt: 900 };
      const fresh = { objectiveAt: 250, deadlineAt: 1_200 };
      assert.equal(nextToStart([late, fresh], view), 1);
      assert.equal(nextToStart([late], view), 0);
      assert.equal(nextToStart([], view), -1);
    });

    it("delays a retry by as much as the wait is too long", () => {
      const request = { objectiveAt: 250, deadlineAt: 1_200 };
      const estimate = {
        now: 0,
        serviceMilliseconds,
        maxLateWaitMilliseconds: 50,
        utilization: 0.5,
      };
      const delay = (waitMilliseconds: number, utilization: number) =>
        retryDelay(request, { ...estimate, waitMilliseconds, utilization });
      assert.equal(delay(100, 0.5), null);
      assert.equal(delay(300, 0.5), 250);
      assert.equal(delay(60, 1.2), null);
      assert.equal(delay(100, 1.2), 100);
      assert.equal(delay(300, 1.2), 300);
    });
  });
});
