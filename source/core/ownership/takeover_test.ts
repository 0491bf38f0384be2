import assert from "node:assert/strict";
import { describe, it } from "node:test";
import {
  clocksAt,
  testGrantorSettings,
  testRenewal,
} from "../../../tests/test_grantor.ts";
import type { RosterEntry } from "./delegation.ts";
import { stepGrantor } from "./grantor.ts";
import type { GrantorState, Slice } from "./grantor_state.ts";
import { handoverOf } from "./handover.ts";
import type { Grant, TakeoverAnswer } from "./renewal.ts";
import { beginGrantor, type Takeover } from "./takeover.ts";

const now = 100_000;
const since = { epoch: 1, sequence: 2 };
const roster: readonly RosterEntry[] = ["a/1", "b/1", "c/1"].map((id) => ({
  id,
  peerAddress: "127.0.0.1:1",
  since,
}));

function grants(
  slices: readonly number[],
  token = { epoch: 1, sequence: 9 },
): readonly Grant[] {
  return slices.map((slice) => ({ slice, token }));
}

function answer(
  id: string,
  report: Pick<TakeoverAnswer, "held" | "lapsed">,
): TakeoverAnswer {
  return { id, weight: 8, checksFencing: true, leaving: false, ...report };
}

function begin(change: Partial<Takeover>): GrantorState {
  return beginGrantor({
    group: "timetable.0",
    epoch: 2,
    settings: testGrantorSettings,
    roster,
    answers: [],
    earlierStopped: false,
    claimedFromOther: true,
    formerDurationMilliseconds: testGrantorSettings.delegationMilliseconds,
    askedAt: clocksAt(now),
    isolatedKeys: [],
    now: clocksAt(now),
    ...change,
  });
}

function ownersOf(slices: readonly Slice[]): readonly (string | null)[] {
  return slices.map((slice) => slice.kind === "held" ? slice.owner : null);
}

/** How long each slice waits; 0 for one that doesn't. */
function waitsOf({ slices }: GrantorState): readonly number[] {
  return slices.map((slice) =>
    slice.kind === "reserved" ? slice.availableAt - now : 0
  );
}

// Guards against SHORT: each takeover counted what servers under ended leases
// had held as lost, and nobody got it for former delegation, lease and deadline.
describe("a takeover after the leases have ended", () => {
  describe("by a grantor that hears not all servers", () => {
    const answers = [
      answer("a/1", { held: [], lapsed: grants([0, 1, 2]) }),
      answer("b/1", { held: grants([3, 4]), lapsed: grants([5]) }),
    ];

    it("gives those that answer back what they had", () => {
      const owners = ownersOf(begin({ answers }).slices);
      const expected = ["a/1", "a/1", "a/1", "b/1", "b/1", "b/1", null, null];
      assert.deepEqual(owners, expected);
    });

    it("gives back under new tokens", () => {
      const [slice] = begin({ answers }).slices;
      assert.ok(slice?.kind === "held");
      assert.equal(slice.token.epoch, 2);
    });

    it("gives nothing back from before the server was let in", () => {
      const former = grants([0, 1], since);
      const lapsed = [answer("a/1", { held: [], lapsed: former })];
      const owners = ownersOf(begin({ answers: lapsed }).slices);
      assert.ok(!owners.includes("a/1"));
    });

    it("gives nothing back where the store doesn't say since when", () => {
      const old = roster.map(({ id, peerAddress }) => ({ id, peerAddress }));
      const owners = ownersOf(begin({ answers, roster: old }).slices);
      assert.deepEqual(owners.slice(0, 3), [null, null, null]);
    });

    it("leaves a slice with the server that was given it later", () => {
      const newer = grants([0], { epoch: 1, sequence: 12 });
      const both = [answer("b/1", { held: newer }), ...answers.slice(0, 1)];
      assert.equal(ownersOf(begin({ answers: both }).slices)[0], "b/1");
    });

    it("gives a server that it hears of later back what it had", () => {
      const renewal = testRenewal("c/1", { held: [], lapsed: grants([6, 7]) });
      const event = {
        kind: "renewal" as const,
        renewal,
        now: clocksAt(now + 3_000),
      };
      const { state } = stepGrantor(begin({ answers }), event);
      assert.deepEqual(ownersOf(state.slices).slice(6), ["c/1", "c/1"]);
    });
  });
});

// Guards against SHORT: a takeover while a fleet starts gave all slices to the
// few servers that had come, which had to give most of them back.
describe("a takeover by a grantor that gathers servers first", () => {
  const settings = { ...testGrantorSettings, gatherMilliseconds: 1_500 };

  function assigns(held: readonly number[]): boolean {
    const answers = ["a/1", "b/1", "c/1"].map((id) =>
      answer(id, { held: id === "a/1" ? grants(held) : [] })
    );
    return begin({ answers, settings }).assigns;
  }

  it("waits for more servers while most slices have never been held", () => {
    assert.equal(assigns([]), false);
  });

  it("gives free slices at once in a group that has its servers", () => {
    assert.equal(assigns([0, 1, 2, 3, 4]), true);
  });
});

// Guards against SHORT: after a planned stop 505 of 512 slices waited anew,
// since one server of 36 did not answer.
describe("a takeover from a grantor that has told what it leaves", () => {
  const { leaseMilliseconds } = testGrantorSettings;
  const leaseLeft = 2_500;

  /** Four slices each of a and b, whose leases end in 2.5 s. */
  function former(): GrantorState {
    const state = begin({
      epoch: 1,
      answers: [
        answer("a/1", { held: grants([0, 1, 2, 3]) }),
        answer("b/1", { held: grants([4, 5, 6]) }),
        answer("c/1", { held: [] }),
      ],
      now: clocksAt(now + leaseLeft - leaseMilliseconds),
    });
    return { ...state, slices: state.slices.with(7, { kind: "free" }) };
  }

  const handover = handoverOf(former(), now);

  describe("while one server does not answer", () => {
    const answers = [
      answer("b/1", { held: grants([4, 5]) }),
      answer("c/1", { held: [] }),
    ];
    const state = begin({ answers, handover, earlierStopped: true });

    it("waits for that server's slices only, until its lease has ended", () => {
      const left = [leaseLeft, leaseLeft, leaseLeft, leaseLeft, 0, 0, 0, 0];
      assert.deepEqual(waitsOf(state), left);
    });

    it("gives away what its server did not report", () => {
      assert.equal(state.slices[6]?.kind, "free");
    });

    it("goes on with a wait that has begun, however often it is taken over", () => {
      const next = begin({
        epoch: 3,
        answers,
        handover: handoverOf(state, now + 1_000),
        now: clocksAt(now + 1_000),
      });
      const left = [leaseLeft, leaseLeft, leaseLeft, leaseLeft, 0, 0, 0, 0];
      assert.deepEqual(waitsOf(next), left);
    });
  });

  describe("only once the other one grants", () => {
    const answers = [
      answer("b/1", { held: grants([4, 5]) }),
      answer("c/1", { held: [] }),
    ];
    const begun = begin({ answers });
    const { state } = stepGrantor(begun, {
      kind: "handover",
      handover,
      now: clocksAt(now),
    });

    it("waits no longer for the whole delegation", () => {
      assert.ok(waitsOf(begun).some((left) => left > 60_000));
      const left = [leaseLeft, leaseLeft, leaseLeft, leaseLeft, 0, 0, 0, 0];
      assert.deepEqual(waitsOf(state), left);
    });

    it("gives away at once what nobody held", () => {
      const owner = ownersOf(state.slices)[7];
      assert.ok(owner === "b/1" || owner === "c/1");
    });
  });

  describe("which has told of no key's own slice", () => {
    const isolatedKeys = [{ key: "hot", slice: 8, base: 4 }];

    it("leaves that slice with the holder of the base", () => {
      const answers = [answer("b/1", { held: grants([4]) })];
      const state = begin({ answers, handover, isolatedKeys });
      assert.equal(ownersOf(state.slices)[8], "b/1");
    });
  });
});
