import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { Result } from "true-myth";
import { testAgent } from "../../tests/test_agent.ts";
import { testGrantorSettings } from "../../tests/test_grantor.ts";
import {
  type Delegation,
  successorDelegation,
} from "../core/ownership/delegation.ts";
import { startGrantor } from "./grantor_task.ts";

const formerSlices = testGrantorSettings.hashedSlices / 2;

const former: Delegation = successorDelegation(null, {
  group: "timetable.0",
  grantor: "former/1",
  grantorAddress: "127.0.0.1:9",
  durationMilliseconds: 60_000,
  hashedSlices: formerSlices,
  writerMark: "mark-1",
});

/** Starts the successor of that grantor, whose release divides otherwise. */
async function startSuccessor() {
  return await startGrantor({
    agent: testAgent("successor", { service: "none" }),
    group: "timetable.0",
    settings: testGrantorSettings,
    times: {
      tickMilliseconds: 100,
      callTimeoutMilliseconds: 100,
      storeRetryMilliseconds: 100,
    },
    delegations: {
      read: () => Promise.resolve(Result.ok(null)),
      write: () => Promise.resolve(Result.ok("2")),
    },
    peers: {
      call: () =>
        Promise.resolve(Result.err({ kind: "unreachable", detail: "" })),
      close: () => Promise.resolve(),
    },
    events: { record: () => undefined },
    newMark: () => "mark-2",
    former: { value: former, version: "1" },
    formerReachable: false,
    ownHandover: () => null,
    hasEnded: () => true,
    hasDeparted: () => false,
    onClaimed: () => undefined,
  });
}

/**
 * Seen as OWNER 177 on the users' platform: a release with twice as many
 * slices met one that still ran, and their servers held the same keys.
 */
describe("a grantor whose release divides keys in another way", () => {
  it("divides them as the group was first divided", async () => {
    const grantor = await startSuccessor();
    try {
      assert.equal(grantor?.table().hashedSlices, formerSlices);
      assert.equal(grantor?.table().owners.length, formerSlices);
    } finally {
      await grantor?.stop();
    }
  });
});
