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
const deaf: RosterReply = { kind: "answered", epoch, hears: false };
const silent: RosterReply = { kind: "silent" };
const ended: RosterReply = { kind: "ended" };

function many(count: number, word: RosterReply): readonly RosterReply[] {
  return Array.from({ length: count }, () => word);
}

function verdict(words: readonly RosterReply[], renewed = true): ClaimVerdict {
  return evaluateClaim(words, { epoch, renewed });
}

// Guards against SHORT: agents in the smaller part of a cut took the group from
// a grantor that all others still heard, six times in 13 s.
describe("a group whose grantor one agent can't reach", () => {
  describe("while most of its servers hear it", () => {
    it("stays with it, however many hear it not", () => {
      assert.equal(verdict([...many(20, hears), ...many(15, deaf)]), "heard");
    });

    it("stays with it if half of those that answer hear it", () => {
      const words = [...many(2, hears), ...many(2, deaf), silent];
      assert.equal(verdict(words), "heard");
    });

    it("stays with it though the store was not written lately", () => {
      assert.equal(verdict(many(3, hears), false), "heard");
    });
  });

  describe("while most of its servers don't hear it", () => {
    it("may be claimed", () => {
      const words = [...many(21, deaf), ...many(5, hears), ...many(9, silent)];
      assert.equal(verdict(words), "may-claim");
    });

    it("may be claimed where the servers hear an earlier grantor", () => {
      const earlier: RosterReply = { kind: "answered", epoch: 3, hears: true };
      assert.equal(verdict(many(3, earlier)), "may-claim");
    });
  });

  describe("from the smaller part of a cut", () => {
    const words = [...many(14, deaf), ...many(21, silent)];

    it("may not be claimed while its delegation is renewed", () => {
      assert.equal(verdict(words), "too-few");
    });

    it("may be claimed once nobody renews its delegation", () => {
      assert.equal(verdict(words, false), "may-claim");
    });

    it("may be claimed if the other servers have ended", () => {
      assert.equal(verdict([deaf, ...many(2, ended)]), "may-claim");
    });
  });

  describe("from one of two equal halves", () => {
    it("may be claimed by the first server's half only", () => {
      assert.equal(verdict([deaf, silent]), "may-claim");
      assert.equal(verdict([silent, deaf]), "too-few");
    });
  });

  describe("of which a later epoch is known", () => {
    it("has been claimed already", () => {
      const later: RosterReply = { kind: "answered", epoch: 5, hears: false };
      assert.equal(verdict([...many(5, deaf), later]), "replaced");
    });
  });

  describe("without any server", () => {
    it("may be claimed", () => assert.equal(verdict([]), "may-claim"));
  });
});

describe("a canvass that goes on", () => {
  const servers = 35;

  function decided(words: readonly RosterReply[]): boolean {
    return isDecided(words, { servers, epoch });
  }

  it("is decided once most are known to hear, or not to hear", () => {
    assert.ok(!decided(many(17, hears)));
    assert.ok(decided(many(18, hears)));
    assert.ok(!decided(many(17, deaf)));
    assert.ok(decided(many(18, deaf)));
  });

  it("counts no process that has ended", () => {
    assert.ok(decided([...many(33, ended), hears]));
  });
});
