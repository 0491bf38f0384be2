import assert from "node:assert/strict";
import { beforeEach, describe, it } from "node:test";
import type { ArrivalReport } from "../adapters/hops/transit.ts";
import type { EventDetail, EventKind, Events } from "../ports/events.ts";
import { reportArrivals, reportSilence } from "./common_adapters.ts";

const timelyArrival: ArrivalReport = {
  request: "r-1",
  from: "host-2/a",
  copy: 1,
  fate: "begins",
  lateMilliseconds: 3,
  expired: false,
};

describe("events of requests between agents", () => {
  let lines: readonly [EventKind, EventDetail][] = [];
  const events: Events = {
    record(kind, detail = {}) {
      lines = [...lines, [kind, detail]];
    },
  };
  beforeEach(() => {
    lines = [];
  });

  describe("for a request that was received", () => {
    const report = reportArrivals(events);

    it("are not recorded if it arrived in time", () => {
      report(timelyArrival);
      assert.deepEqual(lines, []);
    });

    // Guards against logs in which a full link can't be told from a lost
    // connection.
    it("state that it was delayed, and by how much", () => {
      report({ ...timelyArrival, lateMilliseconds: 1_800.4, expired: true });
      const detail = { request: "r-1", from: "host-2/a" };
      assert.deepEqual(lines, [[
        "request-held-up",
        { ...detail, milliseconds: 1_800, expired: true },
      ]]);
    });

    it("state what happens to a second copy", () => {
      report({ ...timelyArrival, copy: 2, fate: "joins" });
      const detail = { request: "r-1", from: "host-2/a" };
      assert.deepEqual(lines, [[
        "copy-received",
        { ...detail, copy: 2, fate: "joins" },
      ]]);
    });

    it("state that a first copy arrived too late to be started", () => {
      report({ ...timelyArrival, fate: "settled" });
      assert.equal(lines.length, 1);
      assert.equal(lines[0]?.[1]["fate"], "settled");
    });
  });

  describe("for a request for which nothing is received", () => {
    it("state what was found and what follows", () => {
      const probed = { request: "r-1", copy: 1, found: "unseen" } as const;
      reportSilence(events)("10.0.0.7:8081", { ...probed, follows: "copy" });
      assert.deepEqual(lines, [[
        "connection-silent",
        { address: "10.0.0.7:8081", ...probed, follows: "copy" },
      ]]);
    });
  });
});
