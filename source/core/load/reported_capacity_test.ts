import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { stepAdmission } from "../admission/admission.ts";
import type { AdmissionEvent } from "../admission/events.ts";
import { missingSlots } from "../admission/reported_load.ts";
import { createAdmission } from "../admission/state.ts";
import type { TargetLoad } from "./target_load.ts";

const slots = 6;
const usual = 100;

function load(running: number, waiting: number, stated = slots): TargetLoad {
  return { running, waiting, slots: stated, slowness: null };
}

/** Admission whose target has run requests of the usual time. */
function startWarm() {
  const ranks = [{ name: "any", share: 0 }];
  let state = createAdmission({
    slots,
    ranks,
    queueLength: 64,
    initialShare: 1,
  });
  let nextId = 0;
  let now = 0;
  const feed = (event: AdmissionEvent) => {
    const next = stepAdmission(state, event);
    state = next.state;
    return next.effects;
  };
  /** Sends requests, and returns how many of them start at once. */
  function send(count: number, at = now): number {
    now = at;
    const running = state.running.size;
    for (let sent = 0; sent < count; sent += 1) {
      const times = { deadlineAt: now + 60_000, now };
      feed({ kind: "arrived", id: nextId += 1, rank: 0, ...times });
    }
    return state.running.size - running;
  }
  /** Ends the request that started first. */
  function answer(at: number, reported: TargetLoad | null): void {
    now = at;
    const [id] = state.running.keys();
    assert.ok(id !== undefined);
    feed({ kind: "finished", id, finish: "answered", reported, now });
  }
  for (let round = 0; round < 10; round += 1) {
    send(1);
    answer(now + usual, load(0, 0));
  }
  const warmAt = now;
  return {
    send,
    answer,
    warmAt,
    running: () => state.running.size,
    unreported: () => missingSlots(state, now),
  };
}

describe("admission to a target that reports its load", () => {
  // Guards against requests that are sent to a target with others of which its
  // agent knows nothing, such as those that it has given up.
  it("starts one at a time while the target reports to be full", () => {
    const { send, answer, warmAt, unreported } = startWarm();
    send(1);
    answer(warmAt + 250, load(6, 9));
    assert.equal(send(4, warmAt + 260), 1);
    assert.equal(unreported(), 5);
  });

  it("starts no more than the slots that are reported", () => {
    const { send, answer, warmAt } = startWarm();
    send(1);
    answer(warmAt + usual, load(0, 0, 2));
    assert.equal(send(6), 2);
  });

  it("starts by its own count again once the report is old", () => {
    const { send, answer, warmAt, unreported } = startWarm();
    send(1);
    answer(warmAt + 250, load(6, 9));
    assert.equal(send(6, warmAt + 250 + 500), 6);
    assert.equal(unreported(), 0);
  });

  it("doesn't take its own requests for others", () => {
    const { send, answer, warmAt } = startWarm();
    send(6);
    answer(warmAt + usual, load(6, 2));
    assert.equal(send(6), 1);
  });

  // Guards against a false report that makes a target look better.
  it("starts no more than its own limit, whatever is reported", () => {
    const { send, answer, warmAt } = startWarm();
    send(1);
    answer(warmAt + usual, load(0, 0, 1_000));
    assert.equal(send(10), 6);
  });

  describe("falsely to be full", () => {
    /** Six requests that run concurrently, then one after the other. */
    const answerInUsualTime = [100, 100, 100, 100, 100, 100, 200, 300];

    // Guards against requests that are refused for long because of a false
    // report: the requests that it names would have delayed those of the agent.
    it("gives it all its slots after some answers in the usual time", () => {
      const { send, answer, warmAt, running } = startWarm();
      send(20);
      const counts = answerInUsualTime.map((time) => {
        answer(warmAt + time, load(3, 900));
        return running();
      });
      assert.ok(counts.includes(1), counts.join());
      assert.equal(counts.at(-1), 6);
    });

    it("gives it one again as soon as others delay its requests", () => {
      const { send, answer, warmAt, running } = startWarm();
      send(40);
      for (const time of answerInUsualTime) {
        answer(warmAt + time, load(3, 900));
      }
      for (let index = 0; index < 6; index += 1) {
        answer(warmAt + 800 + index, load(3, 900));
      }
      assert.equal(running(), 1);
    });
  });
});
