import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { simulateLink } from "../../../tests/link_simulation.ts";

/** Agents that get only a part of a processor answer so late. */
const lateMilliseconds = 80;

describe("bodies from agents that respond late", () => {
  describe("at half of what the link carries", () => {
    // Guards against taking a link for slow because the agents at its other end
    // are: most bodies were refused while the link was idle.
    for (const seed of [1, 2, 3]) {
      it(`arrive in time (seed ${seed})`, () => {
        const outcome = simulateLink({
          load: () => 0.5,
          milliseconds: 20_000,
          seed,
          latencies: [lateMilliseconds],
        });
        const { bytesInTime, bytesOffered } = outcome;
        assert.ok(
          bytesInTime >= 0.8 * bytesOffered,
          `${bytesInTime} of ${bytesOffered}`,
        );
      });
    }
  });
});
