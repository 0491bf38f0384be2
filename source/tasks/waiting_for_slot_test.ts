import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { Result } from "true-myth";
import { testRequest } from "../../tests/test_request.ts";
import type { ProxyAnswer } from "../ports/upstream.ts";
import { startAdmission } from "./admission_task.ts";
import { startServing } from "./serve_task.ts";
import type { MayBegin } from "./stop_gate.ts";

const deadlineMilliseconds = 2_000;
const body = { kind: "kept", bytes: new Uint8Array() } as const;
const answer: ProxyAnswer = {
  status: 200,
  headers: {},
  body: { kind: "whole", bytes: new Uint8Array() },
  load: null,
};

/** Starts a serve task whose target has one slot. */
function startOneSlot(options: {
  /**
   * Called when pending input is read, before a request that waited is sent.
   */
  readonly read: () => void;
  readonly mayBegin?: MayBegin;
  readonly allowsRegion?: () => boolean;
  readonly isConfigured?: () => boolean;
}) {
  const ends: (() => void)[] = [];
  const { mayBegin = () => true, allowsRegion = () => true } = options;
  const { isConfigured = () => true } = options;
  const sent: string[] = [];
  const stated: unknown[] = [];
  const admission = startAdmission({
    settings: {
      slots: 1,
      ranks: [{ name: "any", share: 0 }],
      queueLength: 8,
      initialShare: 1,
    },
    tickMilliseconds: 10,
  });
  const { serve } = startServing({
    service: "booking",
    holder: () => null,
    admission,
    workOf: () => null,
    accepts: () => true,
    target: {
      send({ request }) {
        sent.push(request.id);
        return new Promise((resolve) => {
          ends.push(() => resolve(Result.ok(answer)));
        });
      },
      health: () => Promise.resolve(null),
      close: () => Promise.resolve(),
    },
    readPendingInput() {
      options.read();
      return Promise.resolve();
    },
    events: {
      record(kind, detail) {
        if (kind === "request-refused") stated.push(detail?.["evacuated"]);
      },
    },
    describeEvacuated: () => ({ evacuated: "kol-a" }),
    metrics: { count: () => undefined, time: () => undefined },
    mayBegin,
    allowsRegion,
    isConfigured,
  });
  return {
    sent,
    /** The evacuated data centres that each refusal states. */
    stated,
    send: (id: string, signal: AbortSignal) =>
      serve(
        testRequest({
          id,
          deadlineAt: performance.now() + deadlineMilliseconds,
          signal,
        }),
        { body },
      ),
    endFirst: () => ends.shift()?.(),
    stop: () => admission.stop(),
  };
}

function rest(): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, 20));
}

describe("a request at an agent without a configuration", () => {
  // Guards against requests in a region that is not allowed, at an agent that
  // knows no routes yet.
  it("is refused", async () => {
    const slot = startOneSlot({
      read: () => undefined,
      isConfigured: () => false,
    });
    const sending = slot.send("first", new AbortController().signal);
    await rest();
    slot.endFirst();
    const result = await sending;
    assert.equal(result.isErr && result.error.reason, "configuration-stale");
    assert.deepEqual(slot.sent, []);
    slot.stop();
  });
});

describe("a request that waits for a slot", () => {
  describe("whose caller has left, as pending input says", () => {
    // Guards against work for callers that have left (GONE): the slot became
    // free before the caller's cancellation had been read, and the request was
    // sent.
    it("is not sent and passes its slot to the next request", async () => {
      const caller = new AbortController();
      const slot = startOneSlot({ read: () => caller.abort() });
      const stays = new AbortController().signal;
      const first = slot.send("first", stays);
      await rest();
      const second = slot.send("second", caller.signal);
      const third = slot.send("third", stays);
      await rest();
      slot.endFirst();
      const result = await second;
      assert.equal(result.isErr && result.error.reason, "caller-left");
      await rest();
      assert.deepEqual(slot.sent, ["first", "third"]);
      slot.endFirst();
      assert.ok((await first).isOk && (await third).isOk);
      slot.stop();
    });
  });

  describe("at an agent that will stop before the request's deadline", () => {
    // Guards against requests that are cut off at the end of a planned stop
    // (LOST): one that had waited was sent although too little time was left
    // for it.
    it("is refused once a slot is free, so that the sender can try another agent", async () => {
      let stopping = false;
      const slot = startOneSlot({
        read: () => undefined,
        mayBegin: () => !stopping,
      });
      const stays = new AbortController().signal;
      const first = slot.send("first", stays);
      await rest();
      const second = slot.send("second", stays);
      await rest();
      stopping = true;
      slot.endFirst();
      const result = await second;
      assert.equal(result.isErr && result.error.reason, "target-leaving");
      assert.equal(result.isErr && result.error.outcome, "not-run");
      // Guards against refusals that don't show the evacuation.
      assert.deepEqual(slot.stated, ["kol-a"]);
      assert.deepEqual(slot.sent, ["first"]);
      assert.ok((await first).isOk);
      slot.stop();
    });
  });

  describe("at an agent that learns meanwhile that its region is not allowed", () => {
    // Guards against requests in a region that is not allowed, sent by an entry
    // with an older configuration.
    it("is refused, as are those that arrive then", async () => {
      let allowed = true;
      const slot = startOneSlot({
        read: () => undefined,
        allowsRegion: () => allowed,
      });
      const stays = new AbortController().signal;
      const first = slot.send("first", stays);
      await rest();
      const second = slot.send("second", stays);
      await rest();
      allowed = false;
      const third = await slot.send("third", stays);
      slot.endFirst();
      for (const result of [await second, third]) {
        assert.equal(result.isErr && result.error.reason, "region-not-allowed");
      }
      assert.deepEqual(slot.stated, [undefined, undefined]);
      assert.ok((await first).isOk);
      assert.deepEqual(slot.sent, ["first"]);
      slot.stop();
    });
  });
});
