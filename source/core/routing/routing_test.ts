import assert from "node:assert/strict";
import { describe, it } from "node:test";
import type { Agent } from "../agent.ts";
import { seededRandom } from "../../../standins/load.ts";
import { testAgent } from "../../../tests/test_agent.ts";
import {
  chooseTarget,
  createRouting,
  type RoutingEvent,
  type RoutingState,
  stepRouting,
} from "./routing.ts";

function target(id: string, dataCenter: string, region: string): Agent {
  return testAgent(id, { place: { dataCenter, region } });
}

const targets = [
  target("near-1", "kolkata-1", "kolkata"),
  target("near-2", "kolkata-1", "kolkata"),
  target("beside", "kolkata-2", "kolkata"),
  target("far", "siliguri-1", "siliguri"),
];
const from = { dataCenter: "kolkata-1", region: "kolkata" };

function apply(
  state: RoutingState,
  events: readonly RoutingEvent[],
): RoutingState {
  return events.reduce(stepRouting, state);
}

function choices(
  state: RoutingState,
  options: {
    readonly among?: readonly Agent[];
    readonly now?: number;
    readonly bodyBytes?: number;
    readonly tried?: ReadonlySet<string>;
  } = {},
): ReadonlySet<string> {
  const random = seededRandom(5);
  const ids = Array.from({ length: 200 }, () =>
    chooseTarget(state, {
      from,
      targets: options.among ?? targets,
      rank: 0,
      bodyBytes: options.bodyBytes ?? 0,
      tried: options.tried ?? new Set(),
      now: options.now ?? 10_000,
      random,
    })?.id ?? "none");
  return new Set(ids);
}

function loaded(ids: readonly string[], load: number): readonly RoutingEvent[] {
  return ids.map((id): RoutingEvent => ({
    kind: "replied",
    id,
    load,
    now: 9_900,
  }));
}

function warm(ids: readonly string[]): RoutingState {
  return apply(
    createRouting(),
    ids.flatMap((id): RoutingEvent[] => [
      { kind: "sent", id, now: 0 },
      { kind: "replied", id, load: 0, now: 0 },
    ]),
  );
}

const ids = targets.map((one) => one.id);

describe("routing without keys", () => {
  describe("by distance", () => {
    it("stays in the data centre while its targets have room", () => {
      assert.deepEqual(choices(warm(ids)), new Set(["near-1", "near-2"]));
    });

    it("spills over to the region, then to others, when they are full", () => {
      const near = apply(warm(ids), loaded(["near-1", "near-2"], 40));
      assert.deepEqual(choices(near), new Set(["beside"]));
      const all = apply(near, loaded(["beside"], 40));
      assert.deepEqual(choices(all), new Set(["far"]));
    });

    it("ignores stale reports of load", () => {
      const near = apply(warm(ids), loaded(["near-1", "near-2"], 40));
      const later = choices(near, { now: 20_000 });
      assert.deepEqual(later, new Set(["near-1", "near-2"]));
    });
  });

  // Guards against sending most of a burst of short calls to one slow target
  // because it is the nearest.
  describe("among targets of unequal speed", () => {
    const took = (
      id: string,
      milliseconds: number,
      now = 9_900,
    ): RoutingEvent => ({
      kind: "replied",
      id,
      load: 0,
      took: { rank: 0, milliseconds },
      now,
    });
    const among = [targets[0], targets[2], targets[3]].flatMap((one) =>
      one ?? []
    );

    it("prefers the fastest one in the region", () => {
      const state = apply(warm(ids), [
        took("near-1", 40),
        took("beside", 15),
        took("far", 1),
      ]);
      assert.deepEqual(choices(state, { among }), new Set(["beside"]));
    });

    it("prefers the nearest if the difference is small", () => {
      const state = apply(warm(ids), [
        took("near-1", 20),
        took("beside", 15),
      ]);
      assert.deepEqual(choices(state, { among }), new Set(["near-1"]));
    });

    it("sends a large body to the nearest", () => {
      const state = apply(warm(ids), [
        took("near-1", 200),
        took("beside", 15),
      ]);
      const large = choices(state, { among, bodyBytes: 60_000 });
      assert.deepEqual(large, new Set(["near-1"]));
    });

    // Guards against sending bodies to other regions as soon as near targets
    // are busy.
    it("sends a large body far only after the near ones refused it", () => {
      const state = apply(warm(ids), [
        took("near-1", 300),
        took("beside", 300),
        took("far", 15),
        ...loaded(["near-1", "beside"], 20),
      ]);
      const bodyBytes = 60_000;
      const busy = choices(state, { among, bodyBytes });
      assert.deepEqual(busy, new Set(["near-1"]));
      const refused = new Set(["near-1", "beside"]);
      const after = choices(state, { among, bodyBytes, tried: refused });
      assert.deepEqual(after, new Set(["far"]));
    });

    it("returns to the near one when the other is loaded", () => {
      const state = apply(warm(ids), [
        took("near-1", 40),
        took("beside", 15),
        ...loaded(["beside"], 20),
      ]);
      assert.deepEqual(choices(state, { among }), new Set(["near-1"]));
    });

    it("tries a slow one again once its time is stale", () => {
      const state = apply(warm(ids), [
        took("near-1", 400, 6_000),
        took("beside", 100),
      ]);
      assert.deepEqual(choices(state, { among }), new Set(["near-1"]));
    });
  });

  describe("around failing targets", () => {
    const failed = (id: string): readonly RoutingEvent[] =>
      [1, 2, 3].map(() => ({ kind: "failed", id, now: 9_900 }));

    it("ejects one after repeated failures, and tries it again later", () => {
      const state = apply(warm(ids), failed("near-1"));
      assert.deepEqual(choices(state), new Set(["near-2"]));
      const later = choices(state, { now: 30_000 });
      assert.ok(later.has("near-1"));
    });

    it("never ejects more than half of a data centre's targets", () => {
      const state = apply(warm(ids), [
        ...failed("near-1"),
        ...failed("near-2"),
      ]);
      assert.deepEqual(choices(state), new Set(["near-1", "near-2"]));
    });

    it("sends nothing to a target that is leaving", () => {
      const among = targets.map((one): Agent =>
        one.id === "near-1" ? { ...one, phase: "leaving" } : one
      );
      assert.deepEqual(choices(warm(ids), { among }), new Set(["near-2"]));
    });
  });

  describe("to a newly seen target", () => {
    it("starts with less than its share", () => {
      const state = apply(warm(["near-1"]), [
        { kind: "sent", id: "near-1", now: 9_999 },
        { kind: "sent", id: "near-2", now: 9_999 },
      ]);
      assert.deepEqual(
        choices(state, { among: targets.slice(0, 2) }),
        new Set(["near-1"]),
      );
    });
  });
});
