import assert from "node:assert/strict";
import { describe, it } from "node:test";
import {
  countAllowed,
  fullBudget,
  type MoveBudget,
  recordMoves,
  remainingKeyShare,
  staysAfterMove,
} from "./move_budget.ts";

const settings = {
  intervalMilliseconds: 10_000,
  maxKeyShare: 0.08,
  evenOutPart: 0.25,
  minStayMilliseconds: 5_000,
};
const keyShare = 1 / 100;

function afterMoves(count: number, now = 0): MoveBudget<string> {
  const moves = Array.from({ length: count }, (_, slice) => ({
    slice,
    keyShare,
    destination: "a",
    capacity: 40,
    at: now,
  }));
  return recordMoves(fullBudget, { moves, settings, now });
}

function allowed(
  budget: MoveBudget<string>,
  cause: "above-capacity" | "even-out",
  now: number,
): number {
  const remaining = remainingKeyShare(budget, { cause, settings, now });
  return countAllowed(remaining, { count: 100, keyShare });
}

describe("the budget for moves", () => {
  it("bounds the moves of any interval", () => {
    assert.equal(allowed(fullBudget, "above-capacity", 0), 8);
    const budget = afterMoves(6);
    assert.equal(allowed(budget, "above-capacity", 9_999), 2);
    assert.equal(allowed(budget, "above-capacity", 10_000), 8);
  });

  // Guards against load above capacity that must wait because the load was
  // evened out before.
  it("keeps most of itself for load above capacity", () => {
    assert.equal(allowed(fullBudget, "even-out", 0), 2);
    assert.equal(allowed(afterMoves(2), "even-out", 1), 0);
    assert.equal(allowed(afterMoves(2), "above-capacity", 1), 6);
  });

  it("isn't exceeded while the clock stands still", () => {
    assert.equal(allowed(afterMoves(8), "above-capacity", 0), 0);
  });
});

describe("a slice that has been moved", () => {
  function stays(query: {
    readonly owner?: string;
    readonly capacity?: number;
    readonly now?: number;
  }): boolean {
    const { owner = "a", capacity = 40, now = 4_999 } = query;
    const capacityOf = () => capacity;
    return staysAfterMove(afterMoves(1), { capacityOf, settings, now })(
      0,
      owner,
    );
  }

  // Guards against slices that are moved back and forth.
  it("stays for some seconds", () => {
    assert.ok(stays({}));
    assert.ok(!stays({ now: 5_000 }));
  });

  it("may leave a server that is cold or much slower", () => {
    assert.ok(stays({ capacity: 30 }));
    assert.ok(!stays({ capacity: 19 }));
  });

  it("may leave a server that it was not moved to", () => {
    assert.ok(!stays({ owner: "b" }));
  });
});
