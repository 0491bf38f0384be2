import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { clocksAt, testTakeover } from "../../../tests/test_grantor.ts";
import { type Delegation, successorDelegation } from "./delegation.ts";
import { stepGrantor } from "./grantor.ts";
import {
  earlierErasEndAt,
  epochLimit,
  nextEpoch,
  noteAnsweredEra,
  noteToldEra,
  restoreDelayMilliseconds,
  unknownEra,
} from "./store_era.ts";
import { emptyTable } from "./table.ts";
import { createGrantor } from "./takeover.ts";
import { fencingNumber } from "./token.ts";

const server = { id: "timetable-1/1", peerAddress: "127.0.0.1:1" };
const claim = {
  group: "timetable.0",
  grantor: "media-1/1",
  grantorAddress: "127.0.0.1:9",
  durationMilliseconds: 60_000,
  hashedSlices: 8,
  writerMark: "mark",
};

describe("the era of the store", () => {
  it("doesn't change with the first answer, nor with a late one", () => {
    const first = noteAnsweredEra(unknownEra, 4, 1_000);
    assert.ok(!first.changed);
    const next = noteAnsweredEra(first, 5, 2_000);
    assert.deepEqual(next, {
      era: 5,
      known: true,
      since: 2_000,
      changed: true,
    });
    assert.equal(noteAnsweredEra(next, 4, 3_000), next);
  });

  // Guards against two holders (OWNER): an agent that starts after the change
  // takes a group without a record for one that never had any.
  it("is known to have changed to an agent that started later", () => {
    const started = noteAnsweredEra(unknownEra, 5, 1_000);
    const told = noteToldEra(started, 5, 2_000);
    assert.deepEqual(told, { ...started, changed: true });
  });
});

describe("the epoch of a claim", () => {
  const claimsSinceCopy = 1_000;

  it("is above all that were claimed since the copy", () => {
    const copied = { epoch: 70, era: 1 };
    const lost = copied.epoch + claimsSinceCopy;
    const next = nextEpoch(copied, { era: 2, acceptedEpoch: 0 });
    assert.ok(next > lost, `${next}`);
    const lostAgain = next + claimsSinceCopy;
    const later = nextEpoch(copied, { era: 3, acceptedEpoch: 0 });
    assert.ok(later > lostAgain, `${later}`);
  });

  it("is above those of earlier eras without any record", () => {
    const before = nextEpoch(null, { era: 3, acceptedEpoch: 0 });
    const next = nextEpoch(null, { era: 4, acceptedEpoch: 0 });
    assert.ok(next > before + claimsSinceCopy);
    assert.equal(nextEpoch(null, { era: 0, acceptedEpoch: 0 }), 1);
  });

  // Guards against a store whose first era is a large number, and whose groups
  // nobody could claim or claim again.
  it("leaves as many epochs to later claims, whatever the first era is", () => {
    const first = nextEpoch(null, { era: 10 ** 9, acceptedEpoch: 0 });
    const record = { epoch: first, era: 10 ** 9 };
    const next = nextEpoch(record, { era: 10 ** 9 + 1, acceptedEpoch: 0 });
    assert.ok(next > first + claimsSinceCopy);
    assert.ok(next < epochLimit);
  });

  it("is above what the servers report", () => {
    assert.equal(nextEpoch(null, { era: 1, acceptedEpoch: 9_000 }), 9_001);
  });

  it("has exact fencing numbers up to its limit", () => {
    const token = { epoch: epochLimit - 1, sequence: 2 ** 24 - 1 };
    assert.ok(Number.isSafeInteger(fencingNumber(token, "release", 255)));
  });
});

describe("a claim after the store has lost records", () => {
  const lostTable = {
    ...emptyTable(claim.group),
    version: { epoch: 3, sequence: 8 },
    hashedSlices: 16,
    isolatedKeys: [{ key: "class-1", slice: 16, base: 2 }],
  };
  const lost = { servers: [server], table: lostTable, acceptedEpoch: 3 };
  const copied: Delegation = {
    ...successorDelegation(null, { ...claim, era: 1 }),
    hashedSlices: 16,
  };

  // Guards against two holders of a key (OWNER): the server of its base slice
  // and that of its own slice.
  it("keeps the isolated keys that a server knows", () => {
    const next = successorDelegation(copied, { ...claim, era: 2 }, {
      ...lost,
      table: { ...lostTable, version: { epoch: copied.epoch, sequence: 8 } },
    });
    assert.deepEqual(next.isolatedKeys, lostTable.isolatedKeys);
  });

  // Guards against two holders (OWNER): servers that divide keys differently.
  it("keeps the division of the keys without any record", () => {
    const next = successorDelegation(null, { ...claim, era: 2 }, lost);
    assert.equal(next.hashedSlices, lostTable.hashedSlices);
    assert.deepEqual(next.roster.map(({ id }) => id), [server.id]);
    assert.equal(next.unlistedServers, true);
  });

  // Guards against two holders (OWNER): the lost roster may no longer have had
  // the server, so that its slices were given on.
  it("gives no grants under an ended lease back", () => {
    const token = { epoch: 1, sequence: 5 };
    const next = successorDelegation(copied, { ...claim, era: 2 }, lost);
    const state = createGrantor(testTakeover({
      epoch: next.epoch,
      roster: next.roster,
      unlistedUntil: 90_000,
      answers: [{
        id: server.id,
        held: [],
        lapsed: [{ slice: 0, token }],
        weight: 8,
        checksFencing: true,
        leaving: false,
      }],
    }));
    assert.equal(state.slices[0]?.kind, "reserved");
  });
});

describe("a grantor whose roster may lack servers", () => {
  const unlistedUntil = earlierErasEndAt(10_000, {
    delegationMilliseconds: 60_000,
    leaseMilliseconds: 4_000,
    longestDeadlineMilliseconds: 1_000,
  });
  const roster = [server];
  const answer = {
    id: server.id,
    held: [{ slice: 3, token: { epoch: 1, sequence: 4 } }],
    weight: 8,
    checksFencing: true,
    leaving: false,
  };
  const state = createGrantor(testTakeover({
    epoch: 1_026,
    roster,
    answers: [answer],
    now: clocksAt(11_000),
    askedAt: clocksAt(11_000),
    unlistedUntil,
  }));

  function reservedUntil(slices: typeof state.slices): readonly number[] {
    return slices.flatMap((slice) =>
      slice.kind === "reserved" ? [slice.availableAt] : []
    );
  }

  it("reserves what no server reports, though all have responded", () => {
    assert.equal(unlistedUntil, 75_000);
    assert.equal(state.slices[3]?.kind, "held");
    assert.deepEqual(reservedUntil(state.slices), Array(7).fill(75_000));
  });

  it("reserves it as long when the known earlier grantors have ended", () => {
    const event = { kind: "earlierEnded", now: clocksAt(12_000) } as const;
    const next = stepGrantor(state, event).state;
    assert.deepEqual(reservedUntil(next.slices), Array(7).fill(75_000));
  });
});

describe("entries that are written again", () => {
  const storeWritesPerSecond = 1_200;

  for (const agents of [72, 10_000]) {
    it(`leaves room in the store with ${agents} agents`, () => {
      const spread = restoreDelayMilliseconds(agents, 1);
      const writes = agents * 2 / (spread / 1_000);
      assert.ok(writes <= storeWritesPerSecond / 3, `${writes} a second`);
    });
  }
});
