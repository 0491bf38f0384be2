import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { Result } from "true-myth";
import { testGrantorOptions } from "../../tests/test_grantor.ts";
import {
  type Delegation,
  successorDelegation,
} from "../core/ownership/delegation.ts";
import type { Repository } from "../ports/store.ts";
import { claimEpoch } from "./epoch_claim.ts";

const former: Delegation = successorDelegation(null, {
  group: "timetable.0",
  grantor: "former/1",
  grantorAddress: "127.0.0.1:9",
  durationMilliseconds: 60_000,
  hashedSlices: 8,
  writerMark: "mark-1",
  era: 2,
});

/** Claims in era 2; the reply to the write is lost. */
async function claimWithLostReply(eraOfNextRead: number) {
  let written: Delegation | null = null;
  const delegations: Repository<Delegation> = {
    read: () =>
      Promise.resolve(Result.ok(
        written && { value: written, version: "8", era: eraOfNextRead },
      )),
    write(_name, value) {
      written = value;
      return Promise.resolve(Result.err({ kind: "uncertain", detail: "lost" }));
    },
  };
  return await claimEpoch(testGrantorOptions({
    delegations,
    former: { value: former, version: "7", era: 2 },
  }));
}

describe("a claim whose reply is lost", () => {
  it("counts if the store has its mark", async () => {
    const claimed = await claimWithLostReply(2);
    assert.equal(claimed?.stored.value.epoch, former.epoch + 1);
    assert.equal(claimed?.stored.value.era, 2);
  });

  // Guards against two grantors (OWNER): the write may have replaced another
  // agent's claim, whose revision was the one that it was meant for.
  it("doesn't count if the store has gone back since", async () => {
    assert.equal(await claimWithLostReply(3), null);
  });
});
