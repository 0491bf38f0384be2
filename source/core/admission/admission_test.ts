import assert from "node:assert/strict";
import { describe, it } from "node:test";
import fc from "fast-check";
import { stepAdmission } from "./admission.ts";
import type { AdmissionEvent } from "./events.ts";
import { countWaiting } from "./queue.ts";
import type { AdmissionSettings } from "./settings.ts";
import { type AdmissionState, createAdmission } from "./state.ts";

const settings: AdmissionSettings = {
  slots: 4,
  ranks: [
    { name: "urgent", share: 0 },
    { name: "usual", share: 0.2 },
    { name: "bulk", share: 0.1 },
  ],
  queueLength: 12,
};

/** Simulates constant overload by some ranks, and counts the starts of each. */
function flood(
  ranks: readonly number[],
  options: { readonly starts: number },
): readonly number[] {
  let state: AdmissionState = { ...createAdmission(settings), limit: 4 };
  const rankOf = new Map<number, number>();
  const started = settings.ranks.map(() => 0);
  const running: number[] = [];
  let id = 0;
  let now = 0;
  const feed = (event: AdmissionEvent) => {
    const next = stepAdmission(state, event);
    state = next.state;
    for (const effect of next.effects) {
      if (effect.kind !== "start") continue;
      running.push(effect.id);
      const rank = rankOf.get(effect.id) ?? 0;
      started[rank] = (started[rank] ?? 0) + 1;
    }
  };
  while (started.reduce((sum, count) => sum + count, 0) < options.starts) {
    for (const rank of ranks) {
      id += 1;
      rankOf.set(id, rank);
      feed({ kind: "arrived", id, rank, deadlineAt: now + 1_000, now });
    }
    now += 10;
    const done = running.shift();
    if (done !== undefined) {
      feed({ kind: "finished", id: done, finish: "answered", now });
    }
  }
  return started;
}

describe("admission", () => {
  describe("under overload", () => {
    it("by all ranks gives each its share, and the urgent the rest", () => {
      const [urgent = 0, usual = 0, bulk = 0] = flood([0, 1, 2], {
        starts: 1_000,
      });
      assert.ok(usual >= 190, `usual ${usual}`);
      assert.ok(bulk >= 90, `bulk ${bulk}`);
      assert.ok(urgent >= 650, `urgent ${urgent}`);
    });

    it("by the least urgent rank starts a more urgent request first", () => {
      let state = { ...createAdmission(settings), limit: 1 };
      const feed = (event: AdmissionEvent) => {
        const next = stepAdmission(state, event);
        state = next.state;
        return next.effects;
      };
      for (let id = 1; id <= 6; id += 1) {
        feed({ kind: "arrived", id, rank: 2, deadlineAt: 900, now: 0 });
      }
      feed({ kind: "arrived", id: 9, rank: 0, deadlineAt: 900, now: 0 });
      const effects = feed({
        kind: "finished",
        id: 1,
        finish: "answered",
        now: 5,
      });
      assert.deepEqual(effects[0], { kind: "start", id: 9 });
    });
  });

  describe("of a request that can't end by its deadline", () => {
    it("refuses it when it arrives", () => {
      const state: AdmissionState = {
        ...createAdmission(settings),
        serviceMilliseconds: [50, 50, 50],
      };
      const { effects } = stepAdmission(state, {
        kind: "arrived",
        id: 1,
        rank: 0,
        deadlineAt: 30,
        now: 0,
      });
      assert.deepEqual(effects, [
        {
          kind: "refuse",
          id: 1,
          reason: "deadline-too-near",
          // A retry would not help: nothing waits ahead of it.
          retryAfterMilliseconds: null,
        },
      ]);
    });
  });

  describe("to a target that states its slots after its start", () => {
    // Guards against refusals while slots are free: the limit kept the value
    // from before the target had stated its slots.
    it("raises the limit to all of the slots at once", () => {
      const unstated = { ...settings, slots: 1, initialShare: 1 };
      const stated = { ...unstated, slots: 6 };
      const { state } = stepAdmission(createAdmission(unstated), {
        kind: "settings",
        settings: stated,
      });
      assert.equal(state.limit, 6);
    });

    it("keeps a limit that has been measured by answers", () => {
      const started = stepAdmission(createAdmission(settings), {
        kind: "arrived",
        id: 1,
        rank: 0,
        deadlineAt: 1_000,
        now: 10,
      });
      const answered = stepAdmission(started.state, {
        kind: "finished",
        id: 1,
        finish: "answered",
        now: 20,
      });
      const next = stepAdmission(answered.state, {
        kind: "settings",
        settings: { ...settings, slots: 8 },
      });
      assert.equal(next.state.limit, answered.state.limit);
      assert.ok(next.state.limit > 2 && next.state.limit < 4);
    });
  });

  describe("after a rank was removed", () => {
    const removed = { ...settings, ranks: settings.ranks.slice(0, 2) };

    // Guards against a slot that stays in use: the end of the request failed.
    it("ends a running request of it and measures it as the last", () => {
      const times = { deadlineAt: 1_000, now: 10 };
      const arrived = { kind: "arrived", id: 1, rank: 2, ...times } as const;
      const events: readonly AdmissionEvent[] = [
        arrived,
        { kind: "settings", settings: removed },
        { kind: "finished", id: 1, finish: "answered", now: 60 },
      ];
      const state = events.reduce<AdmissionState>(
        (state, event) => stepAdmission(state, event).state,
        createAdmission(settings),
      );
      assert.equal(state.running.size, 0);
      assert.deepEqual(state.serviceMilliseconds, [0, 50]);
    });

    // Guards against requests that wait in vain: no time was known for them.
    it("judges an arriving request of it by the last", () => {
      const state = {
        ...createAdmission(removed),
        serviceMilliseconds: [50, 50],
      };
      const times = { deadlineAt: 30, now: 0 };
      const arrived = { kind: "arrived", id: 1, rank: 2, ...times } as const;
      const { effects } = stepAdmission(state, arrived);
      assert.deepEqual(effects.map(({ kind }) => kind), ["refuse"]);
    });
  });

  describe("under any order of events", () => {
    const events = fc.array(
      fc.oneof(
        {
          weight: 4,
          arbitrary: fc.record({
            kind: fc.constant("arrived" as const),
            rank: fc.integer({ min: 0, max: 2 }),
            patience: fc.integer({ min: -5, max: 400 }),
          }),
        },
        {
          weight: 3,
          arbitrary: fc.record({
            kind: fc.constant("finished" as const),
            finish: fc.constantFrom("answered", "refused", "failed"),
          }),
        },
        {
          weight: 1,
          arbitrary: fc.record({
            kind: fc.constantFrom("withdrawn", "tick", "close"),
          }),
        },
      ),
      { maxLength: 150 },
    );

    it("starts or refuses each request once, within the limit", () => {
      fc.assert(
        fc.property(events, (steps) => {
          let state = createAdmission(settings);
          const ends = new Map<number, string>();
          const running: number[] = [];
          const withdrawn = new Set<number>();
          let now = 0;
          let id = 0;
          const feed = (event: AdmissionEvent) => {
            const next = stepAdmission(state, event);
            state = next.state;
            for (const effect of next.effects) {
              assert.ok(!ends.has(effect.id), "ended twice");
              ends.set(effect.id, effect.kind);
              if (effect.kind === "start") running.push(effect.id);
            }
          };
          for (const step of steps) {
            now += 7;
            if (step.kind === "arrived") {
              id += 1;
              const deadlineAt = now + step.patience;
              feed({ kind: "arrived", id, rank: step.rank, deadlineAt, now });
            } else if (step.kind === "finished") {
              const done = running.shift();
              const finish = step.finish as "answered";
              if (done !== undefined) {
                feed({ kind: "finished", id: done, finish, now });
              }
            } else if (step.kind === "withdrawn") {
              if (!ends.has(id)) withdrawn.add(id);
              feed({ kind: "withdrawn", id, now });
            } else if (step.kind === "tick") feed({ kind: "tick", now });
            else feed({ kind: "close" });
            assert.ok(state.running.size <= Math.max(1, settings.slots));
            assert.ok(countWaiting(state) <= settings.queueLength);
            assert.equal(state.running.size, running.length);
          }
          feed({ kind: "close" });
          for (let one = 1; one <= id; one += 1) {
            assert.ok(ends.has(one) || withdrawn.has(one), `${one} is lost`);
          }
        }),
        { numRuns: 2_000, seed: 3 },
      );
    });
  });
});
