import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { seededRandom } from "../../../standins/load.ts";
import { testAgent } from "../../../tests/test_agent.ts";
import {
  pickAnyPair,
  type PickPair,
  pickPairBySlots,
} from "./candidate_pairs.ts";

/** Draws pairs from targets with these slots; returns the slots drawn. */
function draw(slots: readonly number[], pick: PickPair): readonly number[][] {
  const members = slots.map((slots, index) =>
    testAgent(`t${index}`, { slots })
  );
  const random = seededRandom(3);
  return Array.from({ length: 2_000 }, () => {
    const pair = pick(members, random);
    assert.equal(new Set(pair).size, 2);
    return pair.map(({ slots }) => slots);
  });
}

describe("the two targets that are compared", () => {
  // Guards against refusals by cold targets while others have free slots.
  it("are drawn by their slots", () => {
    const drawn = draw([6, 6, 6, 6, 6, 6, 1, 1], pickPairBySlots).flat();
    const share = drawn.filter((slots) => slots === 1).length / drawn.length;
    assert.ok(share > 0.03 && share < 0.09, `${share}`);
  });

  // Guards against another choice where no target is cold.
  it("are as before where all have the same slots", () => {
    const slots = [6, 6, 6, 6, 6];
    assert.deepEqual(draw(slots, pickPairBySlots), draw(slots, pickAnyPair));
  });
});
