import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { penalizeSlowServers } from "./slow_servers.ts";

/** Requests that each server can run in a second. */
const weights = new Map([["fast", 90], ["other", 90], ["slow", 40]]);
const weightOf = (id: string) => weights.get(id) ?? 1;

/** Gives each request to the server with the least adjusted utilization. */
function distribute(requestsPerSecond: number): ReadonlyMap<string, number> {
  const loads = new Map([...weights.keys()].map((id) => [id, 0]));
  for (let piece = 0; piece < requestsPerSecond; piece += 1) {
    const utilizations = new Map(
      [...loads].map(([id, load]) => [id, load / weightOf(id)]),
    );
    const adjusted = [...penalizeSlowServers(utilizations, weightOf)];
    const [least] = adjusted.reduce((best, next) =>
      next[1] < best[1] ? next : best
    );
    loads.set(least, (loads.get(least) ?? 0) + 1);
  }
  return loads;
}

function utilization(loads: ReadonlyMap<string, number>, id: string): number {
  return (loads.get(id) ?? 0) / weightOf(id);
}

describe("servers of unequal speed", () => {
  describe("with spare capacity", () => {
    it("give a slow one less load, and overload no other", () => {
      const loads = distribute(100);
      assert.ok(utilization(loads, "slow") < 0.6 * utilization(loads, "fast"));
      assert.ok(utilization(loads, "fast") < 0.8);
    });
  });

  describe("at full utilization", () => {
    it("are utilized equally", () => {
      const loads = distribute(220);
      assert.ok(
        Math.abs(utilization(loads, "slow") - utilization(loads, "fast")) < 0.1,
      );
    });
  });

  describe("all of the same speed", () => {
    it("get no penalty", () => {
      const utilizations = new Map([["fast", 0.4], ["other", 0.2]]);
      assert.deepEqual(
        penalizeSlowServers(utilizations, weightOf),
        utilizations,
      );
    });
  });

  describe("without any member", () => {
    it("give an empty result", () => {
      assert.deepEqual(penalizeSlowServers(new Map(), weightOf), new Map());
    });
  });
});
