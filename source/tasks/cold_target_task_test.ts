import assert from "node:assert/strict";
import { afterEach, beforeEach, describe, it } from "node:test";
import { pauseClock, type PausedClock } from "../../tests/test_clock.ts";
import type { TargetReport } from "../core/target/registration.ts";
import type { EventKind } from "../ports/events.ts";
import { startAdmission } from "./admission_task.ts";
import { startColdTarget } from "./cold_target_task.ts";
import { startRegistration } from "./registration_task.ts";

const heartbeatMilliseconds = 870;
const requestsPerSecond = 9.8;

/** Starts the tasks beside a target with 13 slots whose service has a bound. */
function startTasks() {
  const published: number[] = [];
  const recorded: EventKind[] = [];
  const starts: number[] = [];
  const events = { record: (kind: EventKind) => void recorded.push(kind) };
  let delayed = 0;
  let sequence = 0;
  const admission = startAdmission({
    settings: {
      slots: 13,
      ranks: [{ name: "any", share: 0 }],
      queueLength: 64,
      initialShare: 1,
    },
    tickMilliseconds: 10,
    onColdStartDelayed: () => delayed += 1,
  });
  const registration = startRegistration({
    service: "booking",
    silenceMilliseconds: heartbeatMilliseconds * 4,
    events,
    onServing: () => undefined,
    onReplaced: () => undefined,
    keepDepartures: () => Promise.resolve(true),
  });
  registration.loadDepartures([]);
  const coldTarget = startColdTarget({
    target: registration.target,
    coldStart: () => ({
      durationMilliseconds: 9_000,
      maxRequestsPerSecond: requestsPerSecond,
    }),
    heartbeatMilliseconds,
    admission,
    publish: (slots) => published.push(slots),
    events,
  });
  return {
    published,
    recorded,
    starts,
    registration,
    coldTarget,
    delayed: () => delayed,
    report(coldMilliseconds: number) {
      sequence += 1;
      const report: TargetReport = {
        id: "i-1",
        startedAt: 0,
        sequence,
        phase: "serving",
        service: "booking",
        slots: 13,
        coldMilliseconds,
      };
      registration.report(report);
      coldTarget.refresh();
    },
    async request() {
      const slot = await admission.enter({
        rank: 0,
        work: null,
        keyed: false,
        objectiveAt: null,
        deadlineAt: performance.now() + 1_900,
        signal: new AbortController().signal,
      });
      if (slot.isErr) return slot.error.retryAfterMilliseconds;
      starts.push(performance.now());
      slot.value.finish("answered");
      return null;
    },
    stop() {
      coldTarget.stop();
      registration.stop();
      admission.stop();
    },
  };
}

describe("the agent beside a cold target", () => {
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
    it("is told to others as such at once, and started evenly", async () => {
      tasks.report(8_000);
      assert.deepEqual(tasks.published, [1]);
      const results = Array.from({ length: 40 }, () => tasks.request());
      await clock.tickAsync(3_000);
      const gaps = tasks.starts.slice(1).map((at, index) =>
        at - (tasks.starts[index] ?? 0)
      );
      assert.ok(gaps.every((gap) => gap >= 75), gaps.join());
      assert.ok(tasks.starts.length >= 17, `${tasks.starts.length} starts`);
      const refused = (await Promise.all(results)).filter((delay) =>
        delay !== null
      );
      assert.equal(refused.length, 40 - tasks.starts.length);
      assert.ok(refused.every((delay) => delay > 1_500));
      assert.ok(tasks.delayed() > 0);
    });
  });

  describe("whose reports wait while the agent is suspended", () => {
    // Guards against a warm target that gets a cold one's requests, and is told
    // to others as cold, after each stall of its agent.
    it("is not cold for that", async () => {
      tasks.report(0);
      await clock.tickAsync(200);
      clock.jump(3_000);
      tasks.report(0);
      await clock.tickAsync(200);
      assert.ok(!tasks.recorded.includes("target-cold"));
    });

    it("is cold when none was waiting", async () => {
      tasks.report(0);
      await clock.tickAsync(200);
      clock.jump(3_000);
      await clock.tickAsync(200);
      assert.ok(tasks.recorded.includes("target-cold"));
    });
  });

  describe("which refuses a connection between two reports", () => {
    it("is cold until it reports again", async () => {
      tasks.report(0);
      tasks.registration.recordRefusal();
      tasks.coldTarget.refresh();
      await clock.tickAsync(200);
      tasks.report(0);
      await clock.tickAsync(600);
      const changes = tasks.recorded.filter((kind) =>
        kind === "target-cold" || kind === "target-warm"
      );
      assert.deepEqual(changes, ["target-cold", "target-warm"]);
      assert.deepEqual(tasks.published, [13, 1, 13]);
    });
  });
});
