import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { recordGrantorEffect } from "./grantor_events.ts";
import { withMoveCounts } from "./move_counts.ts";

describe("the counters of moves", () => {
  // Guards against fields of the log line that the counters don't find.
  it("follow what a grantor records, and pass it on", () => {
    const kinds: string[] = [];
    const counts = new Map<string, number>();
    const events = withMoveCounts(
      { record: (kind) => void kinds.push(kind) },
      (name, amount) => counts.set(name, (counts.get(name) ?? 0) + amount),
    );
    const grantor = { group: "timetable.0", epoch: 1, events };
    const rebalanced = {
      kind: "rebalanced",
      cause: "above-capacity",
      slices: [3, 4],
      deferred: 5,
      remainingKeyShare: 0,
    } as const;
    recordGrantorEffect(rebalanced, grantor);
    for (const slice of rebalanced.slices) {
      const move = { slice, owner: "a/1", destination: "b/1" };
      recordGrantorEffect({ kind: "moveStarted", ...move }, grantor);
    }
    assert.deepEqual(kinds, [
      "slices-rebalanced",
      "move-started",
      "move-started",
    ]);
    assert.deepEqual(Object.fromEntries(counts), {
      moves_deferred: 5,
      slices_moved: 2,
    });
  });
});
