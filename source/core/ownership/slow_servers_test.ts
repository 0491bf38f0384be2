import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { penalizeSlowServers } from "./slow_servers.ts";

/** Requests that each server can run in a second. */
const weights = new Map([["fast", 90], ["other", 90], ["slow", 40]]);
const weightOf = (id: string) => weights.get(id) ?? 1;

/** Gives work in small pieces to the server that seems used least. */
function divide(requestsPerSecond: number): ReadonlyMap<string, number> {
  const given = new Map([...weights.keys()].map((id) => [id, 0]));
  for (let piece = 0; piece < requestsPerSecond; piece += 1) {
    const uses = new Map(
      [...given].map(([id, load]) => [id, load / weightOf(id)]),
    );
    const seen = [...penalizeSlowServers(uses, weightOf)];
    const [least] = seen.reduce((best, next) =>
      next[1] < best[1] ? next : best
    );
    given.set(least, (given.get(least) ?? 0) + 1);
  }
  return given;
}

function use(given: ReadonlyMap<string, number>, id: string): number {
  return (given.get(id) ?? 0) / weightOf(id);
}

describe("servers of unequal speed", () => {
  describe("with room", () => {
    it("leave a slow one little of the work, and none too much", () => {
      const given = divide(100);
      assert.ok(use(given, "slow") < 0.6 * use(given, "fast"));
      assert.ok(use(given, "fast") < 0.8);
    });
  });

  describe("in full use", () => {
    it("are used alike", () => {
      const given = divide(220);
      assert.ok(Math.abs(use(given, "slow") - use(given, "fast")) < 0.1);
    });
  });

  describe("of equal weight", () => {
    it("seem as they are", () => {
      const uses = new Map([["fast", 0.4], ["other", 0.2]]);
      assert.deepEqual(penalizeSlowServers(uses, weightOf), uses);
    });
  });

  describe("with none at all", () => {
    it("bring nothing", () => {
      assert.deepEqual(penalizeSlowServers(new Map(), weightOf), new Map());
    });
  });
});
