import assert from "node:assert/strict";
import { describe, it } from "node:test";
import {
  adoptEvacuations,
  changedList,
  evacuatedDataCenters,
  type EvacuationList,
  evacuationVersion,
  mustDistribute,
  unknownEvacuations,
} from "./evacuations.ts";

function list(
  era: number,
  revision: number,
  ...dataCenters: readonly string[]
): EvacuationList {
  return { era, revision, dataCenters };
}

/** What an agent believes after these lists, one each second from 0 ms on. */
function evacuatedAfter(lists: readonly EvacuationList[], now: number) {
  const state = lists.reduce(
    (state, list, index) => adoptEvacuations(state, list, index * 1_000),
    unknownEvacuations,
  );
  return [...evacuatedDataCenters(state, now)].join();
}

describe("an agent that learns lists of evacuated data centres", () => {
  it("follows the newest, in whatever order they arrive", () => {
    const lists = [list(0, 5, "kol-a", "sil-a"), list(0, 9, "sil-a")];
    assert.equal(evacuatedAfter(lists, 1_000), "sil-a");
    assert.equal(evacuatedAfter(lists.toReversed(), 1_000), "sil-a");
  });

  // Guards against requests to an evacuated data centre after the store has
  // returned from a copy that is older than the evacuation.
  describe("of a store that has gone back to an older copy", () => {
    const lists = [list(0, 500, "kol-a"), list(1, 20)];

    it("keeps a missing data centre evacuated for 3 s", () => {
      assert.equal(evacuatedAfter(lists, 3_999), "kol-a");
      assert.equal(evacuatedAfter(lists, 4_000), "");
    });

    it("keeps it for 3 s from a further change of era that comes within these", () => {
      const again = [...lists, list(2, 5)];
      assert.equal(evacuatedAfter(again, 4_999), "kol-a");
      assert.equal(evacuatedAfter(again, 5_000), "");
    });

    it("ends the evacuation once it was written and withdrawn again", () => {
      const again = [...lists, list(1, 21, "kol-a"), list(1, 22)];
      assert.equal(evacuatedAfter(again, 3_000), "");
    });

    it("has versions that rise with the era", () => {
      const after = evacuationVersion(list(7, 1));
      assert.ok(evacuationVersion(list(6, 2 ** 40 - 1)) < after);
      assert.ok(Number.isSafeInteger(after));
    });
  });
});

describe("a watcher of the evacuations", () => {
  const changes = [
    { dataCenter: "sil-a", evacuated: true },
    { dataCenter: "kol-a", evacuated: false },
    { dataCenter: "sil-a", evacuated: false },
    { dataCenter: "kol-a", evacuated: true },
  ];

  it("applies changes in their order, and none of another era", () => {
    const former = list(0, 5, "kol-a");
    const change = { era: 0, revision: 9, changes };
    assert.deepEqual(changedList(former, change), list(0, 9, "kol-a"));
    assert.equal(changedList(former, { ...change, era: 1 }), null);
  });

  it("distributes nothing that only repeats what is known", () => {
    assert.ok(!mustDistribute(list(0, 9, "kol-a"), list(0, 5, "kol-a")));
    assert.ok(!mustDistribute(list(0, 4), list(0, 5, "kol-a")));
    assert.ok(mustDistribute(list(0, 9), list(0, 5, "kol-a")));
    assert.ok(mustDistribute(list(1, 2), list(0, 5)));
  });
});
