import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { Result } from "true-myth";
import { testRequest } from "../../tests/test_request.ts";
import type { FinishKind } from "../core/admission/concurrency_limit.ts";
import {
  type FailureReason,
  notRun,
  unknownOutcome,
} from "../core/request/outcome.ts";
import type { TargetFailure } from "../ports/upstream.ts";
import { startServing } from "./serve_task.ts";

const body = { kind: "kept", bytes: new Uint8Array() } as const;

/** How the slot is finished when the target's answer is `failure`. */
async function finishAfter(
  failure: TargetFailure,
): Promise<readonly FinishKind[]> {
  const finishes: FinishKind[] = [];
  const slot = { finish: (kind: FinishKind) => void finishes.push(kind) };
  const { serve } = startServing({
    service: "booking",
    holder: () => null,
    admission: {
      enter: () => Promise.resolve(Result.ok(slot)),
      load: () => 1,
      throughput: () => 1,
      coldRequestsPerSecond: () => null,
      describeLimits: () => ({}),
      usualMilliseconds: () => 1,
      configure: () => undefined,
      limitColdStarts: () => undefined,
      refuseWaiting: () => undefined,
      close: () => undefined,
      stop: () => undefined,
    },
    workOf: () => null,
    accepts: () => true,
    target: {
      send: () => Promise.resolve(Result.err(failure)),
      health: () => Promise.resolve(null),
      close: () => Promise.resolve(),
    },
    readPendingInput: () => Promise.resolve(),
    events: { record: () => undefined },
    metrics: { count: () => undefined, time: () => undefined },
  });
  const request = testRequest({
    deadlineAt: performance.now() + 1_000,
    signal: new AbortController().signal,
  });
  const result = await serve(request, { body });
  assert.ok(result.isErr);
  return finishes;
}

describe("a request with a slot", () => {
  describe("that never reached its target", () => {
    const reasons: readonly FailureReason[] = [
      "caller-left",
      "deadline-passed",
      "target-unreachable",
    ];
    for (const reason of reasons) {
      // Guards against requests that are refused while slots are free (SHORT):
      // each caller that left before its request was sent counted as a refusal
      // by the target and reduced its slots by a fifth.
      it(`returns the slot as unused after ${reason}`, async () => {
        assert.deepEqual(await finishAfter(notRun(reason)), ["unused"]);
      });
    }
  });

  describe("that was refused by its target", () => {
    it("returns the slot as refused", async () => {
      const failure = notRun("target-refused");
      assert.deepEqual(await finishAfter(failure), ["refused"]);
    });
  });

  describe("that its target answered as meant for another one", () => {
    // Guards against a cold target that gets less than its rate: requests that
    // it doesn't count had used up starts.
    it("returns the slot as misdirected", async () => {
      const failure = { ...notRun("target-refused"), misdirected: true };
      assert.deepEqual(await finishAfter(failure), ["misdirected"]);
    });
  });

  describe("that may have run", () => {
    it("returns the slot as failed", async () => {
      const failure = unknownOutcome("deadline-passed");
      assert.deepEqual(await finishAfter(failure), ["failed"]);
    });
  });
});
