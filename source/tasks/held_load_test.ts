import assert from "node:assert/strict";
import { describe, it } from "node:test";
import type { HeldSlice } from "../core/ownership/holder.ts";
import { emptyTable, type PlaceKey } from "../core/ownership/table.ts";
import { type HeldSlices, startLoadCount } from "./held_load.ts";

const slicesHeld = 8;

/** Key "5" lies in slice 5. */
const place: PlaceKey = (key) => Number(key);

function held(
  slices: readonly number[],
  options: { readonly releasing?: readonly number[] } = {},
): HeldSlices {
  const entries = slices.map((slice): [number, HeldSlice] => [slice, {
    token: { epoch: 1, sequence: 1 },
    releasing: options.releasing?.includes(slice) ?? false,
    handover: undefined,
    surrendered: null,
  }]);
  const table = { ...emptyTable("timetable.0"), hashedSlices: slicesHeld };
  return { slices: new Map(entries), table };
}

/** A count whose period began with these slices, at 0. */
function begin(slices: readonly number[]) {
  const count = startLoadCount({ place, now: -10_000 });
  count.restart(held(slices), 0);
  return count;
}

describe("the load that a holder reports", () => {
  describe("where a renewal follows the last one at once", () => {
    // Guards against too little being served (SHORT): while slices moved,
    // renewals a tenth of a second apart made single requests look like busy
    // keys, which moved more slices and used up the slices for busy keys.
    it("takes no single request for ten a second", () => {
      const count = begin([5]);
      count.add("5", 5);
      const measured = count.measure(held([5]), 100);
      assert.deepEqual(measured, null);
    });
  });

  describe("once a second has been counted over several renewals", () => {
    it("is all that was asked for in that second", () => {
      const count = begin([5]);
      for (let request = 0; request < 6; request += 1) {
        count.add("5", 5);
        count.measure(held([5]), 100 + request * 100);
      }
      assert.deepEqual(count.measure(held([5]), 1_000), {
        sliceLoads: [{ slice: 5, requestsPerSecond: 6 }],
        keyLoads: [{ key: "5", slice: 5, requestsPerSecond: 6 }],
      });
    });

    it("is counted anew after it has been reported", () => {
      const count = begin([5]);
      count.add("5", 5);
      count.restart(held([5]), 1_000);
      const measured = count.measure(held([5]), 2_000);
      const idle = { slice: 5, requestsPerSecond: 0 };
      assert.deepEqual(measured?.sliceLoads, [idle]);
    });
  });

  describe("of slices that were held for a part of the time only", () => {
    // Guards against moves in a circle: a slice that had just moved looked
    // idle at its new owner, and one that was leaving at its old one.
    it("is left out, of one that came and of one that goes", () => {
      const count = begin([1, 2]);
      const now = held([1, 2, 3], { releasing: [2] });
      const measured = count.measure(now, 1_000);
      assert.deepEqual(measured?.sliceLoads.map(({ slice }) => slice), [1]);
    });
  });
});
