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

/** A target with one slot, and the agent's part that serves with it. */
function startOneSlot(options: {
  /** What is read before work that has waited is begun. */
  readonly read: () => void;
  readonly mayBegin?: MayBegin;
}) {
  const ends: (() => void)[] = [];
  const sent: string[] = [];
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
    events: { record: () => undefined },
    metrics: { count: () => undefined, time: () => undefined },
    ...(options.mayBegin === undefined ? {} : { mayBegin: options.mayBegin }),
  });
  return {
    sent,
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

describe("a request that waits for a slot", () => {
  describe("whose caller has left, as an unread message says", () => {
    // Guards against work for callers that have left (GONE): the slot came free
    // before the word of the caller was read, and the request was sent.
    it("is not sent, and leaves its slot to the next", async () => {
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

  describe("of an agent that stops before the request's time ends", () => {
    // Guards against requests that are cut off at the end of a planned stop
    // (LOST): one that had waited was sent though the rest was too short.
    it("is refused once its slot is free, for the sender to go elsewhere", async () => {
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
      assert.deepEqual(slot.sent, ["first"]);
      assert.ok((await first).isOk);
      slot.stop();
    });
  });
});
