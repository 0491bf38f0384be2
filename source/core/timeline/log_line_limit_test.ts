import assert from "node:assert/strict";
import { describe, it } from "node:test";
import {
  createLineCount,
  decideLogLine,
  type LogLineClass,
  type LogLineCount,
} from "./log_line_limit.ts";

const limits = { progress: 2, failure: 3, change: 4 };

function feed(
  count: LogLineCount,
  events: readonly { readonly lineClass: LogLineClass; readonly now: number }[],
) {
  let current = count;
  return events.map((event) => {
    const decision = decideLogLine(current, event, limits);
    current = decision.count;
    return decision;
  });
}

function repeat(lineClass: LogLineClass, lines: number, now: number) {
  return Array.from({ length: lines }, () => ({ lineClass, now }));
}

describe("the limit on log lines", () => {
  describe("under many lines for successful requests", () => {
    it("still writes failures and changes", () => {
      const decisions = feed(createLineCount(0), [
        ...repeat("progress", 100, 10),
        ...repeat("failure", 3, 20),
        ...repeat("change", 4, 30),
      ]);
      const written = decisions.filter((decision) => decision.written);
      assert.equal(written.length, 2 + 3 + 4);
    });
  });

  describe("after the end of a second", () => {
    it("reports the omitted lines once, and writes again", () => {
      const [, , , , , next, after] = feed(createLineCount(0), [
        ...repeat("failure", 5, 10),
        ...repeat("failure", 2, 1_010),
      ]);
      assert.deepEqual(next?.omitted, { progress: 0, failure: 2, change: 0 });
      assert.equal(next?.written, true);
      assert.equal(after?.omitted, null);
    });

    it("reports nothing if no line was omitted", () => {
      const [, next] = feed(createLineCount(0), [
        { lineClass: "change", now: 10 },
        { lineClass: "change", now: 2_000 },
      ]);
      assert.equal(next?.omitted, null);
    });
  });
});
