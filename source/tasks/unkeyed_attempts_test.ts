import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { Result } from "true-myth";
import { testAgent } from "../../tests/test_agent.ts";
import { testRequest } from "../../tests/test_request.ts";
import {
  type Failure,
  notRun,
  unknownOutcome,
} from "../core/request/outcome.ts";
import {
  leaveOutFailing,
  type LeavesOut,
} from "../core/routing/failing_targets.ts";
import type { EventKind } from "../ports/events.ts";
import { startUnkeyedAttempts } from "./unkeyed_attempts.ts";

/** Sends requests to two targets, of which the first one fails all. */
async function sendTo(failure: Failure, leavesOut?: LeavesOut) {
  const recorded: EventKind[] = [];
  const sent: string[] = [];
  let avoided = 0;
  const attempts = startUnkeyedAttempts({
    agent: testAgent("entry"),
    evacuated: () => new Set(),
    restrictedRegions: () => new Set(),
    targetsOf: () => ["failing", "healthy"].map((id) => testAgent(id)),
    peers: {
      call: () =>
        Promise.resolve(Result.err({ kind: "unreachable", detail: "" })),
      close: () => Promise.resolve(),
    },
    random: () => 0.9,
    ...(leavesOut === undefined ? {} : { leavesOut }),
    onFailingAvoided: () => avoided += 1,
    events: { record: (kind) => void recorded.push(kind) },
    readPendingInput: () => Promise.resolve(),
    sendTo: ({ id }) => {
      sent.push(id);
      const body = { kind: "whole", bytes: new Uint8Array() } as const;
      return Promise.resolve(
        id === "failing"
          ? Result.err(failure)
          : Result.ok({ status: 200, headers: {}, body, load: null }),
      );
    },
  });
  const body = { kind: "kept", bytes: new Uint8Array() } as const;
  const { signal } = new AbortController();
  const request = testRequest({
    deadlineAt: performance.now() + 9_000,
    signal,
  });
  // A second try leads to the other target, as in a retry.
  for (let round = 0; round < 4; round += 1) {
    const tried = new Set<string>(["healthy"]);
    await attempts.attempt(request, { body, tried });
  }
  sent.length = 0;
  await attempts.attempt(request, { body, tried: new Set() });
  return { recorded, avoided, next: sent };
}

describe("an entry whose requests fail at a target", () => {
  const failures = {
    "with connections that are reset": unknownOutcome("connection-lost"),
    "as its agent says": notRun("target-failing"),
  };
  for (const [name, failure] of Object.entries(failures)) {
    it(`${name} leaves it out, and reports that once`, async () => {
      const { recorded, avoided, next } = await sendTo(
        failure,
        leaveOutFailing,
      );
      assert.deepEqual(next, ["healthy"]);
      assert.deepEqual(recorded, ["target-avoided"]);
      assert.ok(avoided > 0);
    });
  }

  // Guards against lines and refusals where the settings lack the bound.
  it("reports nothing when none is to be left out", async () => {
    const { recorded, avoided } = await sendTo(failures["as its agent says"]);
    assert.deepEqual([recorded, avoided], [[], 0]);
  });

  // Guards against taking a full target for a failing one.
  it("leaves out none that is full", async () => {
    const { recorded } = await sendTo(notRun("queue-full"), leaveOutFailing);
    assert.deepEqual(recorded, []);
  });
});
