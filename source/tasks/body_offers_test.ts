import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { Result } from "true-myth";
import { testAgent } from "../../tests/test_agent.ts";
import { testRequest } from "../../tests/test_request.ts";
import { emptyConfiguration } from "../core/document/document.ts";
import { notRun } from "../core/request/outcome.ts";
import type { BodyOfferReply, PeerFault, Peers } from "../ports/peers.ts";
import { startEntry } from "./entry_task.ts";
import { pause } from "./time.ts";

const largeBytes = 60_000;
const objectiveMilliseconds = 400;
const come: BodyOfferReply = { kind: "come" };
const full = (retryAfterMilliseconds: number): BodyOfferReply => ({
  kind: "refused",
  reason: "queue-full",
  retryAfterMilliseconds,
});
const unreachable: PeerFault = { kind: "unreachable", detail: "" };

const places = {
  "near-1": { dataCenter: "kolkata-1", region: "kolkata" },
  "beside-1": { dataCenter: "kolkata-2", region: "kolkata" },
  "far-1": { dataCenter: "siliguri-1", region: "siliguri" },
  "far-2": { dataCenter: "siliguri-2", region: "siliguri" },
};

/** Starts an entry whose targets' agents reply to offers with `answer`. */
function startOffering(
  answer: (name: string) => Result<BodyOfferReply, PeerFault>,
  options: {
    readonly answerMilliseconds?: number;
    /** Whether pending input says that the caller has left. */
    readonly leaves?: boolean;
  } = {},
) {
  const { answerMilliseconds = 0, leaves = false } = options;
  const caller = new AbortController();
  const asked: string[] = [];
  const sent: string[] = [];
  const peers = {
    async call(address: string) {
      asked.push(address);
      if (answerMilliseconds > 0) await pause(answerMilliseconds);
      return answer(address);
    },
    close: () => Promise.resolve(),
  } as unknown as Peers;
  const entry = startEntry({
    agent: testAgent("entry", { service: "none" }),
    agents: () =>
      Object.entries(places).map(([name, place]) =>
        testAgent(name, { service: "media", place, peerAddress: name })
      ),
    configuration: () => emptyConfiguration,
    localTable: () => null,
    serve: {
      serve: () => Promise.resolve(Result.err(notRun("not-owner"))),
      running: () => 0,
    },
    forwarder: {
      forward(address) {
        sent.push(address);
        return Promise.resolve(Result.ok({
          status: 200,
          headers: {},
          body: { kind: "whole", bytes: new Uint8Array() },
          load: 0,
        }));
      },
      close: () => Promise.resolve(),
    },
    peers,
    events: { record: () => undefined },
    metrics: { count: () => undefined, time: () => undefined },
    hash: () => 0,
    place: () => -1,
    random: () => 0.5,
    readPendingInput: () =>
      Promise.resolve(leaves ? caller.abort() : undefined),
    retries: () => ({
      earnedByRequest: 0.1,
      maxSaved: 3,
      firstDelayMilliseconds: 0,
      maxDelayMilliseconds: 0,
    }),
    minTableAgeMilliseconds: 0,
  });
  const send = (bytes: number, allowedRegions: readonly string[] = []) =>
    entry.handle(
      testRequest({
        service: "media",
        maxAttempts: 3,
        allowedRegions,
        objectiveAt: performance.now() + objectiveMilliseconds,
        deadlineAt: performance.now() + 10_000,
        signal: caller.signal,
      }),
      { body: { kind: "kept", bytes: new Uint8Array(bytes) } },
    );
  return { send, asked, sent };
}

/**
 * Guards against links full of bodies that are refused or arrive too late: a
 * burst of uploads was sent without asking for link capacity first.
 */
describe("an entry with a large body", () => {
  describe("for which no target's link has capacity", () => {
    const { send, asked, sent } = startOffering((name) =>
      Result.ok(full(name === "beside-1" ? 200 : 700))
    );

    it("refuses it before any byte is sent", async () => {
      const result = await send(largeBytes);
      assert.ok(result.isErr);
      assert.equal(result.error.outcome, "not-run");
      assert.equal(result.error.reason, "queue-full");
      assert.deepEqual(sent, []);
    });

    it("tells the caller to retry when the first link has capacity", async () => {
      const result = await send(largeBytes);
      assert.ok(result.isErr);
      assert.equal(result.error.retryAfterMilliseconds, 200);
    });

    it("offers it to three agents, the nearest first", async () => {
      asked.length = 0;
      await send(largeBytes);
      assert.deepEqual(asked.slice(0, 2), ["near-1", "beside-1"]);
      assert.equal(asked.length, 3);
    });
  });

  describe("whose caller leaves while the body is offered", () => {
    // Guards against work for callers that have left (GONE): the offer was
    // admitted before the caller's cancellation had been read, and the body was
    // sent.
    it("does not send it", async () => {
      const { send, asked, sent } = startOffering(() => Result.ok(come), {
        leaves: true,
      });
      const result = await send(largeBytes);
      assert.equal(result.isErr && result.error.reason, "caller-left");
      assert.equal(asked.length, 1);
      assert.deepEqual(sent, []);
    });
  });

  describe("whose target's agents answer slowly", () => {
    /**
     * Guards against callers that wait while one agent after another is asked.
     */
    it("offers it to no other once an eighth of the objective has passed", async () => {
      const refuse = () => Result.ok<BodyOfferReply, PeerFault>(full(500));
      const milliseconds = objectiveMilliseconds / 6;
      const { send, asked } = startOffering(refuse, {
        answerMilliseconds: milliseconds,
      });
      const result = await send(largeBytes);
      assert.ok(result.isErr);
      assert.deepEqual(asked, ["near-1"]);
    });
  });

  describe("for which a farther target has capacity", () => {
    it("sends it there only if the near ones have none", async () => {
      const { send, sent } = startOffering((name) =>
        Result.ok(name.startsWith("far") ? come : full(500))
      );
      assert.ok((await send(largeBytes)).isOk);
      assert.equal(sent.length, 1);
      assert.match(sent[0] ?? "", /^far/);
    });

    it("sends it to a near one while that has capacity", async () => {
      const { send, sent } = startOffering(() => Result.ok(come));
      await send(largeBytes);
      assert.deepEqual(sent, ["near-1"]);
    });
  });

  describe("whose offers fail", () => {
    it("sends it to another agent than the unreachable one", async () => {
      const { send, sent } = startOffering((name) =>
        name === "near-1" ? Result.err(unreachable) : Result.ok(come)
      );
      await send(largeBytes);
      assert.deepEqual(sent, ["beside-1"]);
    });

    it("offers it to another agent however long the first was silent", async () => {
      const { send, sent } = startOffering(
        (name) => name === "near-1" ? Result.err(unreachable) : Result.ok(come),
        { answerMilliseconds: objectiveMilliseconds / 6 },
      );
      await send(largeBytes);
      assert.deepEqual(sent, ["beside-1"]);
    });

    it("sends it without an offer to an agent of an earlier release", async () => {
      const { send, sent } = startOffering(() =>
        Result.err({ kind: "rejected", detail: "no such call" })
      );
      await send(largeBytes);
      assert.deepEqual(sent, ["near-1"]);
    });
  });

  // Guards against bodies in a region that their route doesn't allow.
  describe("for the other region only", () => {
    const { send, asked, sent } = startOffering(() => Result.ok(full(50)));

    it("offers it to no agent elsewhere, though all refuse", async () => {
      assert.ok((await send(largeBytes, ["siliguri"])).isErr);
      assert.deepEqual(new Set(asked), new Set(["far-1", "far-2"]));
    });

    it("refuses it at once where no target is allowed, and a small one", async () => {
      asked.length = 0;
      for (const bytes of [largeBytes, 1_000]) {
        const result = await send(bytes, ["asansol"]);
        assert.ok(result.isErr);
        assert.equal(result.error.reason, "region-not-allowed");
        assert.ok((result.error.retryAfterMilliseconds ?? 0) > 0);
      }
      assert.deepEqual([...asked, ...sent], []);
    });
  });

  describe("and with a small one", () => {
    it("sends the small one without an offer", async () => {
      const { send, asked, sent } = startOffering(() => Result.ok(come));
      await send(1_000);
      assert.deepEqual(asked, []);
      assert.equal(sent.length, 1);
    });
  });
});
