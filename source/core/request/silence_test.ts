import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { decideOnSilence, type ProbeResult } from "./silence.ts";

describe("a forwarded request for which nothing is received", () => {
  function decide(
    found: ProbeResult,
    { former = null, idempotent = false }: {
      readonly former?: ProbeResult | null;
      readonly idempotent?: boolean;
    } = {},
  ) {
    return decideOnSilence({ found, former, idempotent });
  }

  describe("on a connection that is lost", () => {
    it("is sent again if it has not arrived", () => {
      assert.equal(decide({ kind: "unseen" }), "copy");
    });

    it("is sent again if its acknowledgement is lost", () => {
      assert.equal(decide({ kind: "acknowledged" }), "copy");
    });

    it("is sent again if no more of its body has arrived", () => {
      const former = { kind: "arriving", bytes: 3_000 } as const;
      assert.equal(decide(former, { former }), "copy");
    });
  });

  describe("on a connection that is slow", () => {
    // Guards against copies that lengthen the queue by which they are delayed.
    it("is waited for while more of its body arrives", () => {
      const former = { kind: "arriving", bytes: 3_000 } as const;
      assert.equal(decide(former), "wait");
      assert.equal(
        decide({ kind: "arriving", bytes: 3_001 }, { former }),
        "wait",
      );
    });

    it("is waited for once all of it has arrived", () => {
      assert.equal(decide({ kind: "arrived" }), "wait");
    });

    it("is waited for once its answer has been sent", () => {
      assert.equal(decide({ kind: "answered" }), "wait");
      const former = { kind: "answered" } as const;
      assert.equal(decide(former, { former }), "wait");
    });
  });

  describe("and whose progress can't be found out", () => {
    it("fails over to another agent if it is idempotent", () => {
      const idempotent = true;
      assert.equal(decide({ kind: "unreachable" }, { idempotent }), "fail");
      assert.equal(decide({ kind: "unreachable" }), "wait");
    });

    it("is waited for if the reply decides nothing", () => {
      assert.equal(decide({ kind: "unclear" }, { idempotent: true }), "wait");
    });
  });
});
