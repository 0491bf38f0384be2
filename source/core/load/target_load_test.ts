import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { stepAdmission } from "../admission/admission.ts";
import type { AdmissionEvent } from "../admission/events.ts";
import { createAdmission } from "../admission/state.ts";
import {
  expectedWithSlowness,
  momentarySlowness,
  recordSlowness,
  type Slowness,
} from "./target_load.ts";

/** The expected time of 100 ms of work after these reports, 1 s apart. */
function expectedAfter(reports: readonly number[], age: number): number {
  let known: Slowness | null = null;
  reports.forEach((slowness, second) => {
    known = recordSlowness(known, { slowness, now: second * 1_000 });
  });
  const now = (reports.length - 1) * 1_000 + age;
  return expectedWithSlowness(known, { milliseconds: 100, now });
}

describe("the expected time of work on a slow machine", () => {
  it("is longer for a moment, and less so the older the report", () => {
    const [fresh, older] = [0, 300].map((age) => expectedAfter([1, 1, 2], age));
    assert.ok(fresh !== undefined && fresh > 130 && fresh < 200, `${fresh}`);
    assert.ok(older !== undefined && older > 100 && older < fresh, `${older}`);
    assert.equal(expectedAfter([1, 1, 2], 500), 100);
  });

  // Guards against false reports: a target that reports to be fast would get
  // all requests, one that reports to be slow none.
  it("is never shorter than usual, nor longer than threefold", () => {
    assert.equal(expectedAfter([1, 1, 0.1], 0), 100);
    assert.equal(expectedAfter([100, 100, 100], 0), 100);
    assert.ok(expectedAfter([0.1, 0.1, 0.1, 100], 0) <= 300);
  });

  it("decides whether a request can end in time, until the report is old", () => {
    const ranks = [{ name: "any", share: 0 }];
    const settings = { slots: 2, ranks, queueLength: 8, initialShare: 1 };
    let state = createAdmission(settings);
    const feed = (event: AdmissionEvent) => {
      const next = stepAdmission(state, event);
      state = next.state;
      return next.effects.map(({ kind }) => kind);
    };
    const arrive = (id: number, now: number) =>
      feed({ kind: "arrived", id, rank: 0, deadlineAt: now + 150, now });
    for (const [id, slowness] of [1, 1, 3].entries()) {
      arrive(id, id * 1_000);
      const answered = { kind: "finished", finish: "answered" } as const;
      feed({ ...answered, id, slowness, now: id * 1_000 + 100 });
    }
    assert.deepEqual(arrive(10, 2_110), ["refuse"]);
    assert.deepEqual(arrive(11, 2_600), ["start"]);
  });
});

describe("the slowness of a machine at this moment", () => {
  const reports = { current: 3, reportedAt: 1_000, mean: 1.4 };

  it("is that of the last report, for half a second", () => {
    const factors = [1_000, 1_499, 1_500]
      .map((now) => momentarySlowness(reports, now) > 2);
    assert.deepEqual(factors, [true, true, false]);
  });

  // Guards against servers that get no keys because they always report the same.
  it("is 1 without a report, or with one that is as usual", () => {
    assert.equal(momentarySlowness(null, 1_000), 1);
    assert.equal(momentarySlowness({ ...reports, mean: 3 }, 1_000), 1);
    assert.equal(momentarySlowness({ ...reports, current: 1.6 }, 1_000), 1);
  });
});
