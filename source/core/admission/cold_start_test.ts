import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import {
  type AdmissionEffect,
  type AdmissionEvent,
  type AdmissionState,
  createAdmission,
  type FinishKind,
  stepAdmission,
} from "./admission.ts";

const requestsPerSecond = 9.8;
/** The platform's bound for any one second: the rate x 1.5 + 8. */
const bound = requestsPerSecond * 1.5 + 8;
const slots = 13;
const tickMilliseconds = 10;

interface Arrival {
  readonly at: number;
  readonly deadlineAt: number;
}

/** Simulates a target that is cold from the beginning. */
function simulate(options: {
  readonly arrivalsPerSecond: number;
  readonly milliseconds: number;
  readonly finishOf: (random: number) => FinishKind;
}) {
  const generator = xoroshiro128plus(7);
  const random = () => uniformFloat64(generator);
  let state: AdmissionState = createAdmission({
    slots,
    ranks: [{ name: "any", share: 0 }],
    queueLength: 64,
    initialShare: 1,
    maxLateWaitMilliseconds: 100,
  });
  const arrivals = new Map<number, Arrival>();
  const starts: { readonly at: number; readonly kind: FinishKind }[] = [];
  const refusedAfter: number[] = [];
  const retries: number[] = [];
  const ends: { readonly id: number; readonly at: number }[] = [];
  const kinds = new Map<number, FinishKind>();
  let late = 0;
  const feed = (event: AdmissionEvent, now: number) => {
    const next = stepAdmission(state, event);
    state = next.state;
    for (const effect of next.effects) record(effect, now);
  };
  function record(effect: AdmissionEffect, now: number): void {
    const arrival = arrivals.get(effect.id);
    assert.ok(arrival !== undefined);
    if (effect.kind === "refuse") {
      refusedAfter.push(now - arrival.at);
      retries.push(effect.retryAfterMilliseconds ?? 0);
      return;
    }
    const kind = options.finishOf(random());
    if (now >= arrival.deadlineAt) late += 1;
    starts.push({ at: now, kind });
    kinds.set(effect.id, kind);
    const took = kind === "answered" ? 40 + 80 * random() : 3;
    ends.push({ id: effect.id, at: now + took });
  }
  feed({ kind: "coldRate", requestsPerSecond, now: 0 }, 0);
  let id = 0;
  for (let now = 1; now <= options.milliseconds; now += 1) {
    for (const end of ends.filter(({ at }) => at <= now)) {
      ends.splice(ends.indexOf(end), 1);
      const finish = kinds.get(end.id) ?? "failed";
      feed({ kind: "finished", id: end.id, finish, now }, now);
    }
    if (random() < options.arrivalsPerSecond / 1_000) {
      id += 1;
      const deadlineAt = now + 411 + 1_500 * random();
      const objectiveAt = now + (deadlineAt - now) * 0.5;
      arrivals.set(id, { at: now, deadlineAt });
      const arrived = { kind: "arrived", id, rank: 0, now } as const;
      feed({ ...arrived, objectiveAt, deadlineAt }, now);
    }
    if (now % tickMilliseconds === 0) feed({ kind: "tick", now }, now);
  }
  return { starts, refusedAfter, retries, late };
}

/** The most of these times that fall into any one second. */
function maxInOneSecond(times: readonly number[]): number {
  return Math.max(
    ...times.map((from) =>
      times.filter((at) => at >= from && at < from + 1_000).length
    ),
  );
}

describe("admission to a cold target", () => {
  describe("of six times the requests that it takes", () => {
    const played = simulate({
      arrivalsPerSecond: 60,
      milliseconds: 20_000,
      finishOf: () => "answered",
    });

    // Guards against crashes of cold targets, which got more than they take.
    it("stays within the rate in every second and uses it", () => {
      const times = played.starts.map(({ at }) => at);
      const most = maxInOneSecond(times);
      assert.ok(most <= requestsPerSecond + 2, `${most} in one second`);
      const expected = requestsPerSecond * 20;
      assert.ok(times.length >= expected * 0.95, `${times.length} starts`);
    });

    it("refuses at once, with the time of a free start", () => {
      const held = played.refusedAfter.filter((time) => time > 100);
      assert.ok(
        held.length <= played.refusedAfter.length * 0.02,
        `${held.length} of ${played.refusedAfter.length} refused after a wait`,
      );
      assert.ok(played.retries.every((delay) => delay > 0));
      assert.equal(played.late, 0);
    });
  });

  describe("that answers some as meant for another target, and refuses some", () => {
    // Guards against too many requests by starts given back too often, and
    // against too few by starts that are used up by what doesn't count.
    it("gives back the starts of the former only", () => {
      const { starts } = simulate({
        arrivalsPerSecond: 60,
        milliseconds: 20_000,
        finishOf: (random) =>
          random < 0.3 ? "misdirected" : random < 0.5 ? "refused" : "answered",
      });
      const counted = starts.flatMap(({ at, kind }) =>
        kind === "misdirected" ? [] : [at]
      );
      const most = maxInOneSecond(counted);
      assert.ok(most <= requestsPerSecond + 2 && most < bound, `${most}`);
      const expected = requestsPerSecond * 20;
      assert.ok(counted.length >= expected * 0.9, `${counted.length} starts`);
    });
  });

  describe("that became cold while requests wait", () => {
    // Guards against requests that wait in vain until their deadline.
    it("refuses at once those that can't start in time any more", () => {
      let state = createAdmission({
        slots: 1,
        ranks: [{ name: "any", share: 0 }],
        queueLength: 64,
        initialShare: 1,
      });
      for (let id = 1; id <= 6; id += 1) {
        const arrived = { kind: "arrived", id, rank: 0, now: 0 } as const;
        state = stepAdmission(state, { ...arrived, deadlineAt: 1_000 }).state;
      }
      const { state: cold, effects } = stepAdmission(state, {
        kind: "coldRate",
        requestsPerSecond: 4,
        now: 10,
      });
      assert.deepEqual(
        effects.map((effect) =>
          effect.kind === "refuse"
            ? [effect.id, effect.retryAfterMilliseconds]
            : effect
        ),
        [[5, 1_000], [6, 1_000]],
      );
      const warm = stepAdmission(cold, {
        kind: "coldRate",
        requestsPerSecond: null,
        now: 20,
      });
      assert.equal(warm.state.coldStarts, null);
    });
  });
});
