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

/** What became of offers that may still wait. */
function offerAll(room: ReturnType<typeof startRoom>, count: number) {
  const replies = new Map<string, BodyOfferReply["kind"]>();
  const ended = Array.from({ length: count }, async (_, index) => {
    const reply = await room.offer(question(`r-${index}`));
    replies.set(`r-${index}`, reply.kind);
  });
  return { replies, ended: Promise.all(ended) };
}

const body = { kind: "kept", bytes: new Uint8Array() } as const;

describe("room for bodies at a target's agent", () => {
  describe("that more is offered than it lets come", () => {
    it("lets the next one come when one has arrived", async () => {
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

    it("waits for the end of a body that comes in parts", async () => {
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

    it("refuses what has waited too long", async () => {
      const room = startRoom();
      const { replies, ended } = offerAll(room, 5);
      await ended;
      assert.equal(replies.get("r-4"), "refused");
      room.stop();
    });
  });

  describe("beside a target that takes no new work", () => {
    it("refuses every body", async () => {
      const room = startRoom(false);
      const reply = await room.offer(question("r-1"));
      assert.equal(reply.kind, "refused");
      room.stop();
    });

    it("refuses what waits when the agent stops", async () => {
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
