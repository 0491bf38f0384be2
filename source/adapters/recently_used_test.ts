import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { useEntry } from "./recently_used.ts";

describe("entries that are opened on demand, two at most", () => {
  // Guards against connections in use that are closed in place of idle ones.
  it("remove the one that was not used for longest", () => {
    const entries = new Map<string, string>();
    const evicted: string[] = [];
    for (const key of ["first", "second", "first", "third", "first"]) {
      const entry = useEntry(entries, key, {
        max: 2,
        create: () => `entry of ${key}`,
        evict: (value) => evicted.push(value),
      });
      assert.equal(entry, `entry of ${key}`);
    }
    assert.deepEqual([...entries.keys()], ["third", "first"]);
    assert.deepEqual(evicted, ["entry of second"]);
  });
});
