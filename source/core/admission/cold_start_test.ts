import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { seededRandom } from "../../../standins/load.ts";
import { stepAdmission } from "./admission.ts";
import type { FinishKind } from "./concurrency_limit.ts";
import type { AdmissionEvent, AdmissionTransition } from "./events.ts";
import type { AdmissionSettings } from "./settings.ts";
import { type AdmissionState, createAdmission } from "./state.ts";

const requestsPerSecond = 9.8;
/** The platform's bound for any one second: the rate x 1.5 + 8. */
const bound = requestsPerSecond * 1.5 + 8;
const settings: AdmissionSettings = {
  slots: 13,
  ranks: [{ name: "any", share: 0 }],
  queueLength: 64,
  initialShare: 1,
  maxLateWaitMilliseconds: 100,
};

/** Simulates 20 s of 60 requests a second to a target that is cold. */
function simulate(finishOf: (random: number) => FinishKind) {
  const random = seededRandom(7);
  let state = createAdmission(settings);
  const arrivals = new Map<number, { at: number; deadlineAt: number }>();
  const starts: { at: number; kind: FinishKind }[] = [];
  const refusals: { after: number; retry: number }[] = [];
  let ends: readonly { id: number; at: number; finish: FinishKind }[] = [];
  const feed = (event: AdmissionEvent, now: number) => {
    const next = stepAdmission(state, event);
    state = next.state;
    for (const effect of next.effects) {
      const arrival = arrivals.get(effect.id);
      assert.ok(arrival !== undefined && now < arrival.deadlineAt);
      if (effect.kind === "refuse") {
        const retry = effect.retryAfterMilliseconds ?? 0;
        refusals.push({ after: now - arrival.at, retry });
        continue;
      }
      const finish = finishOf(random());
      starts.push({ at: now, kind: finish });
      const took = finish === "answered" ? 40 + 80 * random() : 3;
      ends = [...ends, { id: effect.id, at: now + took, finish }];
    }
  };
  feed({ kind: "coldRate", requestsPerSecond, now: 0 }, 0);
  for (let now = 1; now <= 20_000; now += 1) {
    const ended = ends.filter(({ at }) => at <= now);
    ends = ends.filter(({ at }) => at > now);
    for (const { id, finish } of ended) {
      feed({ kind: "finished", id, finish, now }, now);
    }
    if (random() < 0.06) {
      const deadlineAt = now + 411 + 1_500 * random();
      const objectiveAt = now + (deadlineAt - now) * 0.5;
      arrivals.set(now, { at: now, deadlineAt });
      const arrived = { kind: "arrived", id: now, rank: 0, now } as const;
      feed({ ...arrived, objectiveAt, deadlineAt }, now);
    }
    if (now % 10 === 0) feed({ kind: "tick", now }, now);
  }
  return { starts, refusals };
}

/** The most of these times that fall into any one second. */
function maxInOneSecond(times: readonly number[]): number {
  return Math.max(
    ...times.map((from) =>
      times.filter((at) => at >= from && at < from + 1_000).length
    ),
  );
}

function feedAll(
  state: AdmissionState,
  events: readonly AdmissionEvent[],
): AdmissionTransition {
  return events.reduce<AdmissionTransition>((before, event) => {
    const next = stepAdmission(before.state, event);
    return { ...next, effects: [...before.effects, ...next.effects] };
  }, { state, effects: [] });
}

describe("admission to a cold target", () => {
  describe("of six times the requests that it takes", () => {
    const { starts, refusals } = simulate(() => "answered");

    // Guards against crashes of cold targets, which got more than they take.
    it("stays within the rate in every second and uses it", () => {
      const times = starts.map(({ at }) => at);
      const most = maxInOneSecond(times);
      assert.ok(most <= requestsPerSecond + 2, `${most} in one second`);
      const expected = requestsPerSecond * 20;
      assert.ok(times.length >= expected * 0.95, `${times.length} starts`);
    });

    it("refuses at once, with the time of a free start", () => {
      const held = refusals.filter(({ after }) => after > 100).length;
      assert.ok(
        held <= refusals.length * 0.02,
        `${held} of ${refusals.length} refused after a wait`,
      );
      assert.ok(refusals.every(({ retry }) => retry > 0));
    });
  });

  describe("that answers some as meant for another target, and refuses some", () => {
    // Guards against too many requests by starts given back too often, and
    // against too few by starts that are used up by what doesn't count.
    it("gives back the starts of the former only", () => {
      const { starts } = simulate((random) =>
        random < 0.3 ? "misdirected" : random < 0.5 ? "refused" : "answered"
      );
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
      let state = createAdmission({ ...settings, slots: 1 });
      for (let id = 1; id <= 6; id += 1) {
        const arrived = { kind: "arrived", id, rank: 0, now: 0 } as const;
        state = stepAdmission(state, { ...arrived, deadlineAt: 1_000 }).state;
      }
      const rate = { requestsPerSecond: 4, now: 10 };
      const { effects } = stepAdmission(state, { kind: "coldRate", ...rate });
      assert.deepEqual(
        effects.map((effect) =>
          effect.kind === "refuse"
            ? [effect.id, effect.shortage?.capacityAfterMilliseconds]
            : effect
        ),
        [[5, 1_000], [6, 1_000]],
      );
      // The callers can wait for a third of the 990 ms that they have left.
      for (const effect of effects) {
        assert.ok(effect.kind === "refuse");
        assert.equal(effect.retryAfterMilliseconds, 330);
      }
    });
  });

  describe("that refuses all since its queue is full", () => {
    const measured: AdmissionState = {
      ...createAdmission({ ...settings, queueLength: 0 }),
      serviceMilliseconds: [28],
      meanMilliseconds: 450,
    };
    const arrivals = Array.from({ length: 40 }, (_, id) => (
      { kind: "arrived", id, rank: 0, deadlineAt: 60_000, now: 1 } as const
    ));

    // Guards against returns before there is a start: the returns were spaced
    // by the work of the requests, and 40 came back in the time of 3 starts.
    it("spaces the returns of short requests by its starts", () => {
      const cold = { kind: "coldRate", requestsPerSecond, now: 0 } as const;
      const { effects } = feedAll(measured, [cold, ...arrivals]);
      const returns = effects.flatMap((effect) =>
        effect.kind === "refuse" ? [effect.retryAfterMilliseconds ?? 0] : []
      );
      assert.equal(returns.length, 40);
      const last = Math.max(...returns);
      assert.ok(last >= 39 * 1_000 / requestsPerSecond, `${last}`);
    });

    // Guards against callers that are put off although there is capacity, and
    // against many that return at once to a target that takes few.
    it("moves their bookings by the change of the capacity", () => {
      const bookedAhead = (before: number | null, after: number | null) => {
        const { state } = feedAll(measured, [
          { kind: "coldRate", requestsPerSecond: before, now: 0 },
          ...arrivals,
          { kind: "coldRate", requestsPerSecond: after, now: 10 },
        ]);
        return (state.returns.ranks[0]?.bookedUntil ?? 0) - 10;
      };
      const asCold = bookedAhead(requestsPerSecond, requestsPerSecond);
      const becomesWarm = bookedAhead(requestsPerSecond, null);
      const becomesCold = bookedAhead(null, requestsPerSecond);
      assert.ok(asCold > 3_000 && becomesWarm < asCold / 10, `${becomesWarm}`);
      assert.ok(becomesCold > 3_000, `${becomesCold}`);
    });
  });

  describe("when a waiting request has passed its deadline", () => {
    // Guards against a wait that the caller has no time for.
    it("refuses it without a time to return", () => {
      const { effects } = feedAll(createAdmission(settings), [
        { kind: "coldRate", requestsPerSecond: 1, now: 0 },
        { kind: "arrived", id: 1, rank: 0, deadlineAt: 1_005, now: 0 },
        { kind: "tick", now: 1_010 },
      ]);
      const refused = {
        reason: "deadline-passed",
        retryAfterMilliseconds: null,
      };
      assert.deepEqual(effects, [{ kind: "refuse", id: 1, ...refused }]);
    });
  });
});
