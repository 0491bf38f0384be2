import assert from "node:assert/strict";
import { afterEach, beforeEach, describe, it } from "node:test";
import { pauseClock, type PausedClock } from "../../tests/test_clock.ts";
import type { RegisteredTarget } from "../core/target/registration.ts";
import type { EventKind } from "../ports/events.ts";
import { type AdmissionRefusal, startAdmission } from "./admission_task.ts";
import { startColdTarget } from "./cold_target_task.ts";

/** Starts the tasks beside a target with 13 slots whose service has a bound. */
function startTasks() {
  const published: number[] = [];
  const recorded: EventKind[] = [];
  const starts: number[] = [];
  let target: RegisteredTarget | null = null;
  const ranks = [{ name: "any", share: 0 }];
  const admission = startAdmission({
    settings: { slots: 13, ranks, queueLength: 64, initialShare: 1 },
    tickMilliseconds: 10,
  });
  const bound = { durationMilliseconds: 9_000, maxRequestsPerSecond: 9.8 };
  const coldTarget = startColdTarget({
    target: () => target,
    coldStart: () => bound,
    heartbeatMilliseconds: 870,
    admission,
    publish: (slots) => published.push(slots),
    events: { record: (kind) => void recorded.push(kind) },
  });
  function report(coldMilliseconds: number): void {
    const known = { id: "i-1", startedAt: 0, service: "booking", slots: 13 };
    const state = { sequence: 1, leavingSince: null, refused: false };
    const reportedAt = performance.now();
    const phase = "serving";
    target = { ...known, ...state, phase, coldMilliseconds, reportedAt };
    coldTarget.refresh();
  }
  /** Resolves to the refusal, or null for a started request. */
  async function request(): Promise<AdmissionRefusal | null> {
    const kind = { rank: 0, work: null, keyed: false, objectiveAt: null };
    const deadlineAt = performance.now() + 1_900;
    const { signal } = new AbortController();
    const slot = await admission.enter({ ...kind, deadlineAt, signal });
    if (slot.isErr) return slot.error;
    starts.push(performance.now());
    slot.value.finish("answered");
    return null;
  }
  const stop = () => [coldTarget, admission].forEach((task) => task.stop());
  return { published, recorded, starts, report, request, stop };
}

describe("the agent beside a target", () => {
  let clock: PausedClock;
  let tasks: ReturnType<typeof startTasks>;

  beforeEach(() => {
    clock = pauseClock();
    tasks = startTasks();
  });
  afterEach(() => {
    tasks.stop();
    clock.uninstall();
  });

  describe("which reports to a new agent that it is cold", () => {
    // Guards against crashes of cold targets by a burst of requests after the
    // start of an agent, and against others that send as to a warm one.
    it("tells others so at once and starts requests evenly", async () => {
      tasks.report(8_000);
      assert.deepEqual(tasks.published, [1]);
      const results = Array.from({ length: 40 }, () => tasks.request());
      await clock.tickAsync(3_000);
      const { starts } = tasks;
      const gaps = starts.slice(1).map((at, index) =>
        at - (starts[index] ?? 0)
      );
      assert.ok(gaps.every((gap) => gap >= 75), gaps.join());
      assert.ok(starts.length >= 17, `${starts.length} starts`);
      const refused = (await Promise.all(results)).flatMap((refusal) =>
        refusal ?? []
      );
      assert.equal(refused.length, 40 - starts.length);
      // They can wait for a third of the 1,900 ms that they have left.
      for (const { failure, shortage } of refused) {
        assert.ok((shortage?.capacityAfterMilliseconds ?? 0) > 1_500);
        assert.equal(Math.round(failure.retryAfterMilliseconds ?? 0), 633);
      }
    });
  });

  describe("which is silent on a host that delays each check", () => {
    // Guards against a target that was started again without a limit: no check
    // that was late counted.
    it("counts it as cold", () => {
      tasks.report(0);
      for (let check = 0; check < 10; check += 1) clock.jump(400);
      assert.ok(tasks.recorded.includes("target-cold"));
    });
  });

  describe("whose reports wait while the agent is suspended", () => {
    // Guards against a warm target that gets a cold one's requests, and is told
    // to others as cold, after each stall of its agent.
    it("doesn't count it as cold for that", async () => {
      tasks.report(0);
      await clock.tickAsync(200);
      clock.jump(3_000);
      tasks.report(0);
      await clock.tickAsync(200);
      assert.ok(!tasks.recorded.includes("target-cold"));
    });
  });
});
