import assert from "node:assert/strict";
import { afterEach, beforeEach, describe, it } from "node:test";
import { Result } from "true-myth";
import { testAgent } from "../../tests/test_agent.ts";
import { pauseClock, type PausedClock } from "../../tests/test_clock.ts";
import { testRequest } from "../../tests/test_request.ts";
import { unknownOutcome } from "../core/request/outcome.ts";
import type { EventDetail, EventKind } from "../ports/events.ts";
import type { ProxyAnswer, Target, TargetFailure } from "../ports/upstream.ts";
import { startFailingTarget } from "./failing_target_task.ts";

type Answer = Result<ProxyAnswer, TargetFailure>;

const answerOf = (status: number): Answer =>
  Result.ok({
    status,
    headers: {},
    body: { kind: "whole", bytes: new Uint8Array() },
    load: null,
  });
const reset: Answer = Result.err(unknownOutcome("connection-lost"));

/** Starts the task beside a target with 6 slots and two others. */
function startTask(otherSlots: number) {
  const recorded: { kind: EventKind; detail: EventDetail }[] = [];
  let answer = answerOf(200);
  const target: Target = {
    send: () => Promise.resolve(answer),
    health: () => Promise.resolve(null),
    close: () => Promise.resolve(),
  };
  const task = startFailingTarget({
    target: () => ({ id: "i-1", slots: 6 }),
    others: () =>
      ["one", "two"].map((id) => testAgent(id, { slots: otherSlots })),
    workOf: () => null,
    events: {
      record: (kind, detail = {}) => void recorded.push({ kind, detail }),
    },
  });
  const observed = task.observe(target);
  async function run(count: number, next: Answer, key: string | null = null) {
    answer = next;
    for (let sent = 0; sent < count; sent += 1) {
      const { signal } = new AbortController();
      const deadlineAt = performance.now() + 1_000;
      const request = testRequest({ key, deadlineAt, signal });
      await observed.send({
        request,
        body: { kind: "kept", bytes: new Uint8Array() },
        token: null,
        slice: null,
        leaseEndsAtWall: null,
      });
    }
  }
  const mayTry = (key: string | null) =>
    task.mayTry(testRequest({
      key,
      deadlineAt: performance.now() + 1_000,
      signal: new AbortController().signal,
    }));
  return { task, run, mayTry, recorded };
}

describe("the agent beside a target without keys", () => {
  let clock: PausedClock;
  beforeEach(() => clock = pauseClock());
  afterEach(() => clock.uninstall());

  const faults = { "resets connections": reset, "answers 500": answerOf(500) };
  for (const [name, fault] of Object.entries(faults)) {
    // Guards against a target that fails while its health path works.
    it(`that ${name} gives it one request at a time, and tells others`, async () => {
      const { task, run, mayTry, recorded } = startTask(6);
      await run(20, fault);
      assert.equal(mayTry(null), false);
      assert.ok(task.share() < 0.1, `${task.share()}`);
      const [avoided] = recorded;
      assert.equal(avoided?.kind, "target-avoided");
      assert.ok(Number(avoided.detail["failed"]) >= 2);
      clock.tick(1_000);
      assert.deepEqual([mayTry(null), mayTry(null)], [true, false]);
    });
  }

  it("restores it by steps once it answers again", async () => {
    const { task, run, recorded } = startTask(6);
    await run(20, reset);
    for (let passed = 0; passed < 10_000; passed += 100) {
      clock.tick(100);
      await run(1, answerOf(200));
      if (passed < 2_000) assert.ok(task.share() < 0.25, `${task.share()}`);
    }
    assert.equal(task.share(), 1);
    const kinds = recorded.map(({ kind }) => kind);
    assert.deepEqual(kinds, ["target-avoided", "target-restored"]);
  });

  // Guards against refusing what no other target can run better.
  it("refuses nothing while the others fail as well", async () => {
    const { run, mayTry } = startTask(1);
    await run(20, reset);
    assert.deepEqual([mayTry(null), mayTry(null)], [true, true]);
  });

  // Guards against refusing requests that can't run at any other target.
  it("neither counts nor refuses requests with a key", async () => {
    const { run, mayTry, recorded } = startTask(6);
    await run(20, reset, "key");
    assert.deepEqual(recorded, []);
    await run(20, reset);
    assert.equal(mayTry("key"), true);
  });
});
