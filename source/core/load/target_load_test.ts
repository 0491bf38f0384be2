import assert from "node:assert/strict";
import { describe, it } from "node:test";
import {
  type AdmissionEvent,
  type AdmissionState,
  createAdmission,
  stepAdmission,
} from "../admission/admission.ts";
import { expectedWithSlowness, recordSlowness } from "./target_load.ts";

/** The expected time of 100 ms of work after these reports, 1 s apart. */
function expectedAfter(
  reports: readonly number[],
  ageMilliseconds: number,
): number {
  const last = reports.length * 1_000;
  const slowness = reports.reduce(
    (known: ReturnType<typeof recordSlowness>, slowness, index) =>
      recordSlowness(known, { slowness, now: (index + 1) * 1_000 }),
    null,
  );
  const now = last + ageMilliseconds;
  return expectedWithSlowness(slowness, { milliseconds: 100, now });
}

describe("the expected time of work on a slow machine", () => {
  it("is longer for a moment, and less so the older the report", () => {
    const fresh = expectedAfter([1, 1, 2], 0);
    const older = expectedAfter([1, 1, 2], 300);
    assert.ok(fresh > 130 && fresh < 200, `${fresh}`);
    assert.ok(older > 100 && older < fresh, `${older}`);
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
    let state: AdmissionState = createAdmission({
      slots: 2,
      ranks: [{ name: "any", share: 0 }],
      queueLength: 8,
      initialShare: 1,
    });
    const feed = (event: AdmissionEvent) => {
      const next = stepAdmission(state, event);
      state = next.state;
      return next.effects.map(({ kind }) => kind);
    };
    const arrive = (id: number, now: number) =>
      feed({ kind: "arrived", id, rank: 0, deadlineAt: now + 150, now });
    for (const [index, slowness] of [1, 1, 3].entries()) {
      const now = index * 1_000;
      arrive(index, now);
      const finished = { kind: "finished", finish: "answered" } as const;
      feed({ ...finished, id: index, slowness, now: now + 100 });
    }
    assert.deepEqual(arrive(10, 2_110), ["refuse"]);
    assert.deepEqual(arrive(11, 2_600), ["start"]);
  });
});
