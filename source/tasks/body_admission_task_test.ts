import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { PassThrough } from "node:stream";
import type { BodyOfferReply, BodyOfferRequest } from "../ports/peers.ts";
import { startBodyAdmission } from "./body_admission_task.ts";

const question = (request: string): BodyOfferRequest => ({
  request,
  service: "media",
  bytes: 60_000,
  objectiveMilliseconds: 10_000,
  deadlineMilliseconds: 10_000,
});

function startRoom(accepts = true) {
  return startBodyAdmission({
    service: "media",
    accepts: () => accepts,
    events: { record: () => undefined },
    tickMilliseconds: 10,
  });
}

/** Makes `count` offers; `replies` has those that were answered so far. */
function offerAll(room: ReturnType<typeof startRoom>, count: number) {
  const replies = new Map<string, BodyOfferReply["kind"]>();
  const ended = Array.from({ length: count }, async (_, index) => {
    const reply = await room.offer(question(`r-${index}`));
    replies.set(`r-${index}`, reply.kind);
  });
  return { replies, ended: Promise.all(ended) };
}

const body = { kind: "kept", bytes: new Uint8Array() } as const;

describe("admission of large bodies by a target's agent", () => {
  describe("while more bodies are offered than it admits at once", () => {
    it("admits the next one when one has arrived", async () => {
      const room = startRoom();
      const { replies, ended } = offerAll(room, 5);
      await Promise.resolve();
      assert.equal(replies.size, 4);
      for (const id of ["r-0", "r-1", "r-2", "r-3"]) {
        room.recordArrival({ id }, body);
      }
      await ended;
      assert.equal(replies.get("r-4"), "come");
      room.stop();
    });

    it("counts a streamed body as arrived only at its end", async () => {
      const room = startRoom();
      const { replies } = offerAll(room, 5);
      const stream = new PassThrough();
      for (const id of ["r-0", "r-1", "r-2", "r-3"]) {
        room.recordArrival({ id }, {
          kind: "stream",
          stream,
          used: false,
          maxBytes: 1_000_000,
        });
      }
      await new Promise((resolve) => setTimeout(resolve, 20));
      assert.equal(replies.size, 4);
      stream.resume();
      stream.end();
      await new Promise((resolve) => setTimeout(resolve, 20));
      assert.equal(replies.get("r-4"), "come");
      room.stop();
    });

    it("refuses an offer that has waited too long", async () => {
      const room = startRoom();
      const { replies, ended } = offerAll(room, 5);
      await ended;
      assert.equal(replies.get("r-4"), "refused");
      room.stop();
    });
  });

  describe("when the target or the agent takes no such body", () => {
    it("refuses every body while the target takes no new work", async () => {
      const room = startRoom(false);
      const reply = await room.offer(question("r-1"));
      assert.equal(reply.kind, "refused");
      room.stop();
    });

    it("refuses waiting offers when the agent stops", async () => {
      const room = startRoom();
      const { replies, ended } = offerAll(room, 5);
      room.stop();
      await ended;
      assert.equal(replies.get("r-4"), "refused");
    });

    it("refuses bodies for other services", async () => {
      const room = startRoom();
      const reply = await room.offer({ ...question("r-1"), service: "other" });
      assert.equal(reply.kind, "refused");
      room.stop();
    });
  });
});
