import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { stepAdmission } from "./admission.ts";
import { throughput } from "./estimates.ts";
import type { AdmissionEvent } from "./events.ts";
import type { AdmissionSettings } from "./settings.ts";
import { type AdmissionState, createAdmission } from "./state.ts";

const settings: AdmissionSettings = {
  slots: 4,
  ranks: [{ name: "any", share: 0 }],
  queueLength: 16,
  initialShare: 1,
};

const deadlineMilliseconds = 500;

/** Applies events, and returns the last state and all effects. */
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

// After a suspension, all requests that ran seem to have taken ten seconds.
describe("admission on a host that was suspended with all slots in use", () => {
  const resumed = Array.from({ length: 4 }, (_, round) => round * 100)
    .reduce((state, from) => {
      const at = from * 1_000;
      return feed(state, [
        ...arrivals(from, at),
        ...ends(from, at + 10_000),
      ]).state;
    }, createAdmission(settings));

  describe("once the host runs again", () => {
    it("admits requests by the service time before the suspension", () => {
      const now = 1_000_000;
      const { effects } = feed(resumed, arrivals(1_000, now));
      assert.deepEqual(
        effects.map(({ kind }) => kind),
        ["start", "start", "start", "start"],
      );
    });
  });
});

// The target refuses half of its requests although it has capacity.
describe("admission to a target that sheds at random", () => {
  it("still starts most of what the target can run", () => {
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
      }, createAdmission(settings));
    const { effects } = feed(shed, arrivals(1_000, 10_000));
    const started = effects.filter(({ kind }) => kind === "start");
    assert.ok(started.length >= 3);
  });
});

// Guards against refusing all requests for good by a service time that only
// requests that run can correct.
describe("admission to a target whose service time exceeds deadlines", () => {
  describe("while no request runs", () => {
    it("starts a request to measure the service time again", () => {
      const slow = feed(createAdmission(settings), [
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

// A server's weight in its group: other requests are a hundred times shorter.
describe("the throughput of a target whose requests have keys", () => {
  const run = (
    state: AdmissionState,
    request: { readonly keyed: boolean; readonly milliseconds: number },
  ) =>
    feed(
      state,
      [
        { ...arrivals(0, 0)[0], keyed: request.keyed },
        { ...ends(0, request.milliseconds)[0], finish: "answered" },
      ] as readonly AdmissionEvent[],
    ).state;
  const idle = createAdmission(settings);

  it("is not measured over requests without a key", () => {
    const short = run(idle, { keyed: false, milliseconds: 2 });
    assert.equal(throughput(short), throughput(idle));
  });

  it("is measured over those with one", () => {
    const short = run(idle, { keyed: false, milliseconds: 2 });
    const both = Array.from({ length: 100 }).reduce<AdmissionState>(
      (state) => run(state, { keyed: true, milliseconds: 400 }),
      short,
    );
    assert.ok(Math.abs(throughput(both) - 10) < 0.01);
  });

  // Guards against a server that gets the slices of all others and refuses most
  // of their requests (SHORT): the first request that it had run was short.
  it("is not taken from the first of them alone", () => {
    const first = run(idle, { keyed: true, milliseconds: 10 });
    assert.ok(throughput(first) < throughput(idle) * 1.25);
  });
});
