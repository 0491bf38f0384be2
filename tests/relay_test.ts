import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { createSharedLink } from "./relay.ts";

/** One byte takes 10 microseconds. */
const bytesPerSecond = 100_000;
const messages = 22;

/** Nothing else runs in this process meanwhile. */
function standStill(milliseconds: number): void {
  const nothing = new Int32Array(new SharedArrayBuffer(4));
  Atomics.wait(nothing, 0, 0, milliseconds);
}

describe("the link that tests send over", () => {
  describe("in a process that stands still until all has passed", () => {
    // Guards against a question that overtakes the request that it is about,
    // and finds that nothing has come: copies were sent though none was due.
    it("brings everything in the order in which it was sent", async () => {
      const link = createSharedLink(bytesPerSecond);
      const came: number[] = [];
      const all = Array.from({ length: messages }, (_, index) => index);
      await new Promise<void>((resolve) => {
        const send = (message: number, bytes: number) =>
          link.transmit(bytes, () => {
            came.push(message);
            if (came.length === messages) resolve();
          });
        const [first = 0, second = 1, ...later] = all;
        send(first, 5_050);
        send(second, 1_000);
        standStill(20);
        for (const message of later) send(message, 100);
        standStill(100);
      });
      assert.deepEqual(came, all);
    });
  });
});
