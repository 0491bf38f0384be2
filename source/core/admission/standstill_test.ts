import assert from "node:assert/strict";
import { describe, it } from "node:test";
import {
  type AdmissionEvent,
  type AdmissionSettings,
  type AdmissionState,
  beginAdmission,
  stepAdmission,
} from "./admission.ts";

const settings: AdmissionSettings = {
  slots: 4,
  ranks: [{ name: "any", share: 0 }],
  queueLength: 16,
  startShare: 1,
};

const deadlineMilliseconds = 500;

/** Feeds events; brings the last state and what it asked for. */
function feed(state: AdmissionState, events: readonly AdmissionEvent[]) {
  return events.reduce(
    (before, event) => {
      const next = stepAdmission(before.state, event);
      return {
        state: next.state,
        effects: [...before.effects, ...next.effects],
      };
    },
    { state, effects: [] as readonly { readonly kind: string }[] },
  );
}

function arrivals(from: number, now: number): readonly AdmissionEvent[] {
  return Array.from({ length: 4 }, (_, index) => ({
    kind: "arrived" as const,
    id: from + index,
    rank: 0,
    deadlineAt: now + deadlineMilliseconds,
    now,
  }));
}

function ends(from: number, now: number) {
  return Array.from({ length: 4 }, (_, index) => ({
    kind: "finished" as const,
    id: from + index,
    finish: "failed" as const,
    now,
  }));
}

/** The host was suspended: all that ran seems to have taken ten seconds. */
describe("a host that stood still with its slots in use", () => {
  const stood = Array.from({ length: 4 }, (_, round) => round * 100)
    .reduce((state, from) => {
      const at = from * 1_000;
      return feed(state, [
        ...arrivals(from, at),
        ...ends(from, at + 10_000),
      ]).state;
    }, beginAdmission(settings));

  describe("once it runs again", () => {
    it("takes work that fits its deadline by the usual measure", () => {
      const now = 1_000_000;
      const { effects } = feed(stood, arrivals(1_000, now));
      assert.deepEqual(
        effects.map(({ kind }) => kind),
        ["start", "start", "start", "start"],
      );
    });
  });
});

/** A target that refuses half of its requests, though it has room. */
describe("a target that sheds at random", () => {
  it("is still given most of what it can run", () => {
    const shed = Array.from({ length: 50 }, (_, round) => round)
      .reduce((state, round) => {
        const now = round * 100;
        return feed(state, [
          ...arrivals(round * 10, now),
          ...ends(round * 10, now + 20).map((event, index) => ({
            ...event,
            finish: index % 2 === 0 ? "refused" as const : "answered" as const,
          })),
        ]).state;
      }, beginAdmission(settings));
    const { effects } = feed(shed, arrivals(1_000, 10_000));
    const started = effects.filter(({ kind }) => kind === "start");
    assert.ok(started.length >= 3);
  });
});

/** Refusing by a measure that only running requests can correct. */
describe("a target whose requests once took longer than callers wait", () => {
  describe("while nothing runs", () => {
    it("starts a request, and learns from it", () => {
      const slow = feed(beginAdmission(settings), [
        {
          kind: "arrived",
          id: 1,
          rank: 0,
          deadlineAt: 60_000,
          now: 0,
        },
        { kind: "finished", id: 1, finish: "answered", now: 50_000 },
      ]).state;
      const { effects } = feed(slow, [{
        kind: "arrived",
        id: 2,
        rank: 0,
        deadlineAt: 100_000 + deadlineMilliseconds,
        now: 100_000,
      }]);
      assert.deepEqual(effects.map(({ kind }) => kind), ["start"]);
    });
  });
});
