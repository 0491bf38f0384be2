import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { Result } from "true-myth";
import {
  type Delegation,
  successorDelegation,
} from "../core/ownership/delegation.ts";
import type { Repository } from "../ports/store.ts";
import { removeStoppedGrantor } from "./stopped_grantor.ts";

const claim = {
  group: "timetable.0",
  grantorAddress: "127.0.0.1:9",
  durationMilliseconds: 60_000,
  hashedSlices: 8,
};
const first = successorDelegation(null, {
  ...claim,
  grantor: "replaced/1",
  writerMark: "mark-1",
});
const second = successorDelegation(first, {
  ...claim,
  grantor: "successor/1",
  writerMark: "mark-2",
});

/**
 * Runs the removal on a store with the successor's delegation; returns writes.
 */
async function runRemoval(options: {
  readonly onRead: () => void;
  readonly isCancelled: () => boolean;
}): Promise<readonly Delegation[]> {
  const written: Delegation[] = [];
  const delegations: Repository<Delegation> = {
    read() {
      options.onRead();
      return Promise.resolve(Result.ok({ value: second, version: "2" }));
    },
    write(_name, value) {
      written.push(value);
      return Promise.resolve(Result.ok("3"));
    },
  };
  await removeStoppedGrantor({
    delegations,
    group: claim.group,
    grantor: "replaced/1",
    newWriterMark: () => "mark-3",
    delayMilliseconds: 0,
    retryMilliseconds: 1,
    timeoutMilliseconds: 100,
    isCancelled: options.isCancelled,
  });
  return written;
}

describe("a superseded grantor", () => {
  it("removes itself from its successor's earlier grantors", async () => {
    const written = await runRemoval({
      onRead: () => {},
      isCancelled: () => false,
    });
    assert.deepEqual(written.map((value) => value.earlierGrantors), [[]]);
  });

  // Guards against two owners of a slice (OWNER): a late removal for a former
  // epoch removed the same agent's grantor of a later epoch.
  it("writes nothing once its agent has claimed the group again", async () => {
    let cancelled = false;
    const written = await runRemoval({
      onRead: () => cancelled = true,
      isCancelled: () => cancelled,
    });
    assert.deepEqual(written, []);
  });
});
