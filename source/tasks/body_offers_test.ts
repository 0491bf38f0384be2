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

/** An entry whose targets' agents answer an offer in the stated way. */
function startOffering(
  answer: (name: string) => Result<BodyOfferReply, PeerFault>,
  options: {
    readonly answerMilliseconds?: number;
    /** Whether its caller leaves, as an unread message says. */
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
      mostSaved: 3,
      firstDelayMilliseconds: 0,
      longestDelayMilliseconds: 0,
    }),
    shortestTableAgeMilliseconds: 0,
  });
  const send = (bytes: number) =>
    entry.handle(
      testRequest({
        service: "media",
        mostAttempts: 3,
        objectiveAt: performance.now() + objectiveMilliseconds,
        deadlineAt: performance.now() + 10_000,
        signal: caller.signal,
      }),
      { body: { kind: "kept", bytes: new Uint8Array(bytes) } },
    );
  return { send, asked, sent };
}

/** A burst of uploads filled links with bodies that were refused or late. */
describe("an entry with a large body", () => {
  describe("that no target's link has room for", () => {
    const { send, asked, sent } = startOffering((name) =>
      Result.ok(full(name === "beside-1" ? 200 : 700))
    );

    it("refuses it before any byte was sent", async () => {
      const result = await send(largeBytes);
      assert.ok(result.isErr);
      assert.equal(result.error.outcome, "not-run");
      assert.equal(result.error.reason, "queue-full");
      assert.deepEqual(sent, []);
    });

    it("tells the caller to return when the first link is free", async () => {
      const result = await send(largeBytes);
      assert.ok(result.isErr);
      assert.equal(result.error.retryAfterMilliseconds, 200);
    });

    it("asks few agents, the near ones first", async () => {
      asked.length = 0;
      await send(largeBytes);
      assert.deepEqual(asked.slice(0, 2), ["near-1", "beside-1"]);
      assert.equal(asked.length, 3);
    });
  });

  describe("whose caller leaves while it is offered", () => {
    // Guards against work for callers that have left (GONE): the offer was
    // taken before the word of the caller was read, and the body was sent.
    it("is not sent", async () => {
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
    /** Callers were held while one agent after the other was asked. */
    it("asks no other once an eighth of the objective has gone", async () => {
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

  describe("that a farther target has room for", () => {
    it("sends it there only once the near ones have none", async () => {
      const { send, sent } = startOffering((name) =>
        Result.ok(name.startsWith("far") ? come : full(500))
      );
      assert.ok((await send(largeBytes)).isOk);
      assert.equal(sent.length, 1);
      assert.match(sent[0] ?? "", /^far/);
    });

    it("sends it near while there is room", async () => {
      const { send, sent } = startOffering(() => Result.ok(come));
      await send(largeBytes);
      assert.deepEqual(sent, ["near-1"]);
    });
  });

  describe("that targets don't answer for", () => {
    it("sends none to an agent that is gone", async () => {
      const { send, sent } = startOffering((name) =>
        name === "near-1" ? Result.err(unreachable) : Result.ok(come)
      );
      await send(largeBytes);
      assert.deepEqual(sent, ["beside-1"]);
    });

    it("asks another one however long the silence was", async () => {
      const { send, sent } = startOffering(
        (name) => name === "near-1" ? Result.err(unreachable) : Result.ok(come),
        { answerMilliseconds: objectiveMilliseconds / 6 },
      );
      await send(largeBytes);
      assert.deepEqual(sent, ["beside-1"]);
    });

    it("sends it to an agent of an earlier release at once", async () => {
      const { send, sent } = startOffering(() =>
        Result.err({ kind: "rejected", detail: "no such call" })
      );
      await send(largeBytes);
      assert.deepEqual(sent, ["near-1"]);
    });
  });

  describe("beside a small one", () => {
    it("offers only the large one", async () => {
      const { send, asked, sent } = startOffering(() => Result.ok(come));
      await send(1_000);
      assert.deepEqual(asked, []);
      assert.equal(sent.length, 1);
    });
  });
});
