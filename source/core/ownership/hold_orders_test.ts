import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { type HoldOrder, splitOrders, withoutCovered } from "./hold_orders.ts";
import type { KeyRange } from "./key_ranges.ts";

const token = { epoch: 1, sequence: 1 };

function range(first: number, last: number): KeyRange {
  return { first, last, token };
}

function order(first: number, last: number): HoldOrder {
  return { range: { ...range(first, last), slices: [] }, handover: null };
}

function firsts(orders: readonly HoldOrder[]): readonly number[] {
  return orders.map(({ range }) => range.first);
}

describe("orders to hold keys", () => {
  describe("while an order for some of the keys is in flight", () => {
    const split = splitOrders([order(0, 9), order(10, 19), order(20, 29)], {
      inFlight: [range(8, 12)],
      maxInFlight: 8,
    });

    it("wait", () => assert.deepEqual(firsts(split.sendLater), [0, 10]));
    it("are sent now for other keys", () =>
      assert.deepEqual(firsts(split.sendNow), [20]));
  });

  describe("that overlap", () => {
    it("are sent one after the other", () => {
      const { sendNow: now, sendLater: later } = splitOrders([
        order(0, 9),
        order(5, 14),
      ], {
        inFlight: [],
        maxInFlight: 8,
      });
      assert.deepEqual([firsts(now), firsts(later)], [[0], [5]]);
    });
  });

  describe("beyond the maximum number in flight", () => {
    it("wait", () => {
      const { sendNow: now, sendLater: later } = splitOrders(
        [order(0, 9), order(10, 19), order(20, 29)],
        { inFlight: [range(40, 49)], maxInFlight: 2 },
      );
      assert.deepEqual([firsts(now), firsts(later)], [[0], [10, 20]]);
    });
  });

  describe("once an order for a range around theirs was answered", () => {
    it("are dropped", () => {
      const left = withoutCovered([order(2, 5), order(8, 12)], range(0, 9));
      assert.deepEqual(firsts(left), [8]);
    });
  });
});
