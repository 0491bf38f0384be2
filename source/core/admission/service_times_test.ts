import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { stepAdmission } from "./admission.ts";
import type { AdmissionEffect, AdmissionEvent } from "./events.ts";
import type { AdmissionSettings } from "./settings.ts";
import { createAdmission } from "./state.ts";
import { recordServiceTime, type ServiceTimes } from "./service_times.ts";

const settings: AdmissionSettings = {
  slots: 6,
  ranks: [{ name: "orders", share: 0 }],
  queueLength: 64,
  initialShare: 1,
  maxLateWaitMilliseconds: 100,
};

/** A kind of request, with its times in milliseconds. */
interface Kind {
  readonly work: string;
  readonly service: number;
  readonly objective: number;
  readonly deadline: number;
}

const order: Kind = {
  work: "order",
  service: 850,
  objective: 800,
  deadline: 1_500,
};
const call: Kind = { work: "call", service: 40, objective: 150, deadline: 500 };

/** A simulated target in which each request takes the time of its kind. */
function startTarget() {
  let state = createAdmission(settings);
  let id = 0;
  let now = 0;
  const kinds = new Map<number, Kind>();
  const ends = new Map<number, number>();
  const refused: string[] = [];
  const arrived: string[] = [];

  function feed(event: AdmissionEvent): readonly AdmissionEffect[] {
    const next = stepAdmission(state, event);
    state = next.state;
    for (const effect of next.effects) {
      const kind = kinds.get(effect.id) ?? order;
      if (effect.kind === "start") ends.set(effect.id, now + kind.service);
      else refused.push(kind.work);
    }
    return next.effects;
  }

  return {
    arrive(kind: Kind): readonly AdmissionEffect[] {
      id += 1;
      kinds.set(id, kind);
      arrived.push(kind.work);
      return feed({
        kind: "arrived",
        id,
        rank: 0,
        work: kind.work,
        objectiveAt: now + kind.objective,
        deadlineAt: now + kind.deadline,
        now,
      });
    },
    pass(milliseconds: number): void {
      for (const end = now + milliseconds; now < end;) {
        now += 1;
        for (const [ended, at] of [...ends]) {
          if (at > now) continue;
          ends.delete(ended);
          feed({ kind: "finished", id: ended, finish: "answered", now });
        }
        if (now % 10 === 0) feed({ kind: "tick", now });
      }
    },
    refusedShare(kind: Kind): number {
      const count = (works: readonly string[]) =>
        works.filter((work) => work === kind.work).length;
      return count(refused) / Math.max(1, count(arrived));
    },
  };
}

describe("short calls that share a rank with long requests", () => {
  // Guards against refusing calls because other work of their rank takes long:
  // the request that made the call then fails, and its slot was wasted.
  it("start at once while a slot is free", () => {
    const target = startTarget();
    target.arrive(order);
    target.pass(1_000);
    for (let count = 0; count < 3; count += 1) target.arrive(order);
    target.pass(100);
    const effects = target.arrive(call);
    assert.deepEqual(effects.map(({ kind }) => kind), ["start"]);
  });

  it("are hardly refused while the target can run all requests", () => {
    const target = startTarget();
    for (let round = 0; round < 100; round += 1) {
      if (round % 3 === 0) target.arrive(order);
      target.arrive(call);
      target.pass(80);
    }
    assert.ok(
      target.refusedShare(call) <= 0.02,
      `${target.refusedShare(call)}`,
    );
  });

  // Guards against requests that fail, and are then retried, because a call
  // that they made would have been slightly late.
  it("wait for a slot even if they miss their objective", () => {
    const target = startTarget();
    const fastOrder = { ...order, service: 210 };
    const lateCall = { ...call, objective: 10 };
    target.arrive(call);
    for (let round = 0; round < 20; round += 1) {
      for (let count = 0; count < 6; count += 1) target.arrive(fastOrder);
      target.arrive(lateCall);
      target.pass(210);
    }
    assert.equal(target.refusedShare(call), 0);
  });

  it("are refused at once when they can't end by their deadline", () => {
    const target = startTarget();
    target.arrive(call);
    target.pass(100);
    for (let count = 0; count < 6; count += 1) target.arrive(order);
    target.pass(900);
    for (let count = 0; count < 6; count += 1) target.arrive(order);
    const effects = target.arrive({ ...call, deadline: 50 });
    assert.equal(effects[0]?.kind, "refuse");
  });

  it("are admitted again once their service time is stale", () => {
    const target = startTarget();
    const slow = { ...call, service: 600, deadline: 700 };
    target.arrive(slow);
    target.pass(700);
    target.arrive(order);
    assert.equal(target.arrive(call)[0]?.kind, "refuse");
    target.pass(2_100);
    target.arrive(order);
    assert.equal(target.arrive(call)[0]?.kind, "start");
  });
});

describe("service times by kind of work", () => {
  it("are averaged for each kind by itself", () => {
    let times: ServiceTimes = new Map();
    times = recordServiceTime(times, { kind: "a", milliseconds: 100, now: 1 });
    times = recordServiceTime(times, { kind: "b", milliseconds: 10, now: 2 });
    times = recordServiceTime(times, { kind: "a", milliseconds: 200, now: 3 });
    assert.deepEqual([...times], [
      ["b", { milliseconds: 10, measuredAt: 2 }],
      ["a", { milliseconds: 110, measuredAt: 3 }],
    ]);
  });

  it("are bounded in number", () => {
    let times: ServiceTimes = new Map();
    for (let kind = 0; kind < 1_000; kind += 1) {
      times = recordServiceTime(times, {
        kind: String(kind),
        milliseconds: 1,
        now: kind,
      });
    }
    assert.ok(times.size <= 128);
    assert.ok(times.has("999"));
  });
});
