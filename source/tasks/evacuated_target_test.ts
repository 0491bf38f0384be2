import assert from "node:assert/strict";
import { afterEach, beforeEach, describe, it } from "node:test";
import { pauseClock, type PausedClock } from "../../tests/test_clock.ts";
import {
  type RegistrationTask,
  startRegistration,
} from "./registration_task.ts";
import { evacuationMilliseconds } from "./target_watch_task.ts";

describe("a target in a data centre that may be evacuated", () => {
  let clock: PausedClock;
  let registration: RegistrationTask;

  beforeEach(() => {
    clock = pauseClock();
    registration = startRegistration({
      service: "timetable",
      evacuated: true,
      silenceMilliseconds: 3_480,
      events: { record: () => undefined },
      onServing: () => undefined,
      onReplaced: () => undefined,
      keepDepartures: () => Promise.resolve(true),
    });
    registration.loadDepartures([]);
    registration.report({
      id: "i-1",
      startedAt: 1,
      sequence: 1,
      phase: "serving",
      service: "timetable",
      slots: 6,
      coldMilliseconds: 0,
    });
  });
  afterEach(() => {
    registration.stop();
    clock.uninstall();
  });

  function assertAccepts(expected: Readonly<Record<string, boolean>>): void {
    for (const [kind, accepts] of Object.entries(expected)) {
      const work = { keyed: kind === "keyed" };
      assert.equal(registration.accepts(work), accepts, kind);
      assert.equal(registration.acceptsWaiting(work), accepts, kind);
    }
  }

  // Guards against requests to an evacuated data centre between the start of an
  // agent and its learning of the evacuation.
  it("is sent nothing before its agent knows the evacuations", () => {
    assertAccepts({ keyed: false, unkeyed: false });
    registration.setEvacuated(false);
    assertAccepts({ keyed: true, unkeyed: true });
  });

  it("is sent keyed work only, while its keys move, until that is withdrawn", async () => {
    registration.setEvacuated(false);
    registration.setEvacuated(true);
    assertAccepts({ keyed: true, unkeyed: false });
    await clock.tickAsync(evacuationMilliseconds - 10);
    assertAccepts({ keyed: true, unkeyed: false });
    await clock.tickAsync(20);
    assertAccepts({ keyed: false, unkeyed: false });
    registration.setEvacuated(false);
    assertAccepts({ keyed: true, unkeyed: true });
  });
});
