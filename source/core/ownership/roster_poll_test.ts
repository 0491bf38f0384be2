import assert from "node:assert/strict";
import { describe, it } from "node:test";
import {
  type ClaimVerdict,
  evaluateClaim,
  isDecided,
  type RosterReply,
} from "./roster_poll.ts";

const epoch = 4;
const hears: RosterReply = { kind: "answered", epoch, hears: true };
const cutOff: RosterReply = { kind: "answered", epoch, hears: false };
const silent: RosterReply = { kind: "silent" };
const ended: RosterReply = { kind: "ended" };

function many(count: number, reply: RosterReply): readonly RosterReply[] {
  return Array.from({ length: count }, () => reply);
}

function verdict(
  replies: readonly RosterReply[],
  renewed = true,
): ClaimVerdict {
  return evaluateClaim(replies, { epoch, renewed });
}

// Guards against SHORT: agents in the smaller part of a network partition
// claimed the group from a grantor that all others still reached, six times in
// 13 s.
describe("a group whose grantor one agent can't reach", () => {
  describe("while most of its servers reach the grantor", () => {
    it("may not be claimed, although many don't reach it", () => {
      assert.equal(
        verdict([...many(20, hears), ...many(15, cutOff)]),
        "heard",
      );
    });

    it("may not be claimed if half of those that answer reach it", () => {
      const replies = [...many(2, hears), ...many(2, cutOff), silent];
      assert.equal(verdict(replies), "heard");
    });

    it("may not be claimed though its delegation is not renewed", () => {
      assert.equal(verdict(many(3, hears), false), "heard");
    });
  });

  describe("while most of its servers don't reach the grantor", () => {
    it("may be claimed", () => {
      const replies = [
        ...many(21, cutOff),
        ...many(5, hears),
        ...many(9, silent),
      ];
      assert.equal(verdict(replies), "may-claim");
    });

    it("may be claimed if the servers reach an earlier grantor only", () => {
      const earlier: RosterReply = { kind: "answered", epoch: 3, hears: true };
      assert.equal(verdict(many(3, earlier)), "may-claim");
    });
  });

  describe("from the smaller part of a partition", () => {
    const replies = [...many(14, cutOff), ...many(21, silent)];

    it("may not be claimed while its delegation is renewed", () => {
      assert.equal(verdict(replies), "too-few");
    });

    it("may be claimed once nobody renews its delegation", () => {
      assert.equal(verdict(replies, false), "may-claim");
    });

    it("may be claimed if the other servers have ended", () => {
      assert.equal(verdict([cutOff, ...many(2, ended)]), "may-claim");
    });
  });

  describe("from one of two equal halves", () => {
    it("may be claimed by the first server's half only", () => {
      assert.equal(verdict([cutOff, silent]), "may-claim");
      assert.equal(verdict([silent, cutOff]), "too-few");
    });
  });

  describe("with a server that has accepted a later epoch", () => {
    it("is reported as already claimed", () => {
      const later: RosterReply = { kind: "answered", epoch: 5, hears: false };
      assert.equal(verdict([...many(5, cutOff), later]), "replaced");
    });
  });

  describe("without any server", () => {
    it("may be claimed", () => assert.equal(verdict([]), "may-claim"));
  });
});

describe("a roster poll in progress", () => {
  const servers = 35;

  function decided(replies: readonly RosterReply[]): boolean {
    return isDecided(replies, { servers, epoch });
  }

  it("is decided once most servers reach the grantor, or most don't", () => {
    assert.ok(!decided(many(17, hears)));
    assert.ok(decided(many(18, hears)));
    assert.ok(!decided(many(17, cutOff)));
    assert.ok(decided(many(18, cutOff)));
  });

  it("counts no process that has ended", () => {
    assert.ok(decided([...many(33, ended), hears]));
  });
});
