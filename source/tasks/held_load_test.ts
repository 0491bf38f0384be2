import assert from "node:assert/strict";
import { describe, it } from "node:test";
import type { HeldSlice } from "../core/ownership/holder.ts";
import { emptyTable, type PlaceKey } from "../core/ownership/table.ts";
import { type HeldSlices, startLoadCount } from "./held_load.ts";

const slicesHeld = 8;

/** Places key "5" in slice 5, and so on. */
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

/** Returns a count whose period began at 0 with these slices held. */
function begin(slices: readonly number[]) {
  const count = startLoadCount({ place, now: -10_000 });
  count.restart(held(slices), 0);
  return count;
}

describe("the load that a holder reports", () => {
  describe("when a renewal follows the last one within 100 ms", () => {
    // Guards against too little being served (SHORT): while slices moved,
    // renewals 100 ms apart made single requests count as busy keys, which
    // moved more slices and used up the slices for isolated keys.
    it("is not reported, so that one request does not count as ten a second", () => {
      const count = begin([5]);
      count.add("5", 5);
      const measured = count.measure(held([5]), 100);
      assert.deepEqual(measured, null);
    });
  });

  describe("when one second has been counted over several renewals", () => {
    it("includes all requests of that second", () => {
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

    it("is counted from zero after it has been reported", () => {
      const count = begin([5]);
      count.add("5", 5);
      count.restart(held([5]), 1_000);
      const measured = count.measure(held([5]), 2_000);
      const idle = { slice: 5, requestsPerSecond: 0 };
      assert.deepEqual(measured?.sliceLoads, [idle]);
    });
  });

  describe("for slices held during a part of the period only", () => {
    // Guards against slices that move in a circle: a slice that had just moved
    // looked idle at its new owner, and one that was being released at its old
    // one.
    it("is left out, for a slice just received and for one being released", () => {
      const count = begin([1, 2]);
      const now = held([1, 2, 3], { releasing: [2] });
      const measured = count.measure(now, 1_000);
      assert.deepEqual(measured?.sliceLoads.map(({ slice }) => slice), [1]);
    });
  });
});
