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
  describe("while another order for the same keys has no answer", () => {
    const parted = splitOrders([order(0, 9), order(10, 19), order(20, 29)], {
      inFlight: [range(8, 12)],
      maxInFlight: 8,
    });

    it("wait", () => assert.deepEqual(firsts(parted.sendLater), [0, 10]));
    it("go out for other keys", () =>
      assert.deepEqual(firsts(parted.sendNow), [20]));
  });

  describe("that cover the same keys", () => {
    it("go out one after the other", () => {
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

  describe("beyond what may be without an answer at one time", () => {
    it("wait", () => {
      const { sendNow: now, sendLater: later } = splitOrders(
        [order(0, 9), order(10, 19), order(20, 29)],
        { inFlight: [range(40, 49)], maxInFlight: 2 },
      );
      assert.deepEqual([firsts(now), firsts(later)], [[0], [10, 20]]);
    });
  });

  describe("once an order for more has been answered", () => {
    it("are not wanted any more", () => {
      const left = withoutCovered([order(2, 5), order(8, 12)], range(0, 9));
      assert.deepEqual(firsts(left), [8]);
    });
  });
});
