import assert from "node:assert/strict";
import { describe, it } from "node:test";
import {
  beginLineCount,
  decideLine,
  type LineClass,
  type LineCount,
} from "./line_limit.ts";

const bounds = { progress: 2, failure: 3, change: 4 };

function feed(
  count: LineCount,
  events: readonly { readonly lineClass: LineClass; readonly now: number }[],
) {
  let current = count;
  return events.map((event) => {
    const decision = decideLine(current, event, bounds);
    current = decision.count;
    return decision;
  });
}

function flood(lineClass: LineClass, lines: number, now: number) {
  return Array.from({ length: lines }, () => ({ lineClass, now }));
}

describe("the bound on log lines", () => {
  describe("in a flood of requests that go well", () => {
    it("leaves room for failures and changes", () => {
      const decisions = feed(beginLineCount(0), [
        ...flood("progress", 100, 10),
        ...flood("failure", 3, 20),
        ...flood("change", 4, 30),
      ]);
      const written = decisions.filter((decision) => decision.written);
      assert.equal(written.length, 2 + 3 + 4);
    });
  });

  describe("once a second is over", () => {
    it("tells once what was left out, and writes again", () => {
      const [, , , , , next, after] = feed(beginLineCount(0), [
        ...flood("failure", 5, 10),
        ...flood("failure", 2, 1_010),
      ]);
      assert.deepEqual(next?.leftOut, { progress: 0, failure: 2, change: 0 });
      assert.equal(next?.written, true);
      assert.equal(after?.leftOut, null);
    });

    it("says nothing where nothing was left out", () => {
      const [, next] = feed(beginLineCount(0), [
        { lineClass: "change", now: 10 },
        { lineClass: "change", now: 2_000 },
      ]);
      assert.equal(next?.leftOut, null);
    });
  });
});
