import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { Result } from "true-myth";
import {
  testGrantorOptions,
  testGrantorSettings,
} from "../../tests/test_grantor.ts";
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

/** Starts its successor, whose release divides keys into more slices. */
async function startSuccessor() {
  return await startGrantor(testGrantorOptions({
    delegations: {
      read: () => Promise.resolve(Result.ok(null)),
      write: () => Promise.resolve(Result.ok("2")),
    },
    former: { value: former, version: "1" },
  }));
}

/**
 * Guards against two owners of one key (OWNER, 177 on the users' platform):
 * during an upgrade to a release with twice as many slices, servers of both
 * releases held the same keys.
 */
describe("a grantor whose release has another number of slices", () => {
  it("keeps the number of slices stored for the group", async () => {
    const grantor = await startSuccessor();
    try {
      assert.equal(grantor?.table().hashedSlices, formerSlices);
      assert.equal(grantor?.table().owners.length, formerSlices);
    } finally {
      await grantor?.stop();
    }
  });
});
