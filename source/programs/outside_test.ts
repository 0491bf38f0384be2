import assert from "node:assert/strict";
import { beforeEach, describe, it } from "node:test";
import type { ArrivalReport } from "../adapters/hops/transit.ts";
import type { EventDetail, EventKind, Events } from "../ports/events.ts";
import { tellArrivals, tellSilence } from "./outside.ts";

const usual: ArrivalReport = {
  request: "r-1",
  from: "host-2/a",
  copy: 1,
  fate: "begins",
  lateMilliseconds: 3,
  expired: false,
};

describe("the log of what passes between agents", () => {
  let lines: readonly [EventKind, EventDetail][] = [];
  const events: Events = {
    record(kind, detail = {}) {
      lines = [...lines, [kind, detail]];
    },
  };
  beforeEach(() => {
    lines = [];
  });

  describe("of a request that has come", () => {
    const tell = tellArrivals(events);

    it("has no line as long as all is usual", () => {
      tell(usual);
      assert.deepEqual(lines, []);
    });

    // Guards against logs in which a full link and a lost connection look alike.
    it("says that it was held up, and for how long", () => {
      tell({ ...usual, lateMilliseconds: 1_800.4, expired: true });
      const detail = { request: "r-1", from: "host-2/a" };
      assert.deepEqual(lines, [[
        "request-held-up",
        { ...detail, milliseconds: 1_800, expired: true },
      ]]);
    });

    it("says what becomes of a second copy", () => {
      tell({ ...usual, copy: 2, fate: "joins" });
      const detail = { request: "r-1", from: "host-2/a" };
      assert.deepEqual(lines, [[
        "copy-received",
        { ...detail, copy: 2, fate: "joins" },
      ]]);
    });

    it("says that a first copy came too late to be begun", () => {
      tell({ ...usual, fate: "settled" });
      assert.equal(lines.length, 1);
      assert.equal(lines[0]?.[1]["fate"], "settled");
    });
  });

  describe("of a request of which nothing is heard", () => {
    it("says what was found, and what follows", () => {
      const note = { request: "r-1", copy: 1, found: "unseen" } as const;
      tellSilence(events)("10.0.0.7:8081", { ...note, follows: "copy" });
      assert.deepEqual(lines, [[
        "connection-silent",
        { address: "10.0.0.7:8081", ...note, follows: "copy" },
      ]]);
    });
  });
});
