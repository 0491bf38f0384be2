import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { createSharedLink } from "./relay.ts";

/** The transmission of one byte takes 10 microseconds. */
const bytesPerSecond = 100_000;
const messages = 22;

/** Blocks the event loop. */
function blockEventLoop(milliseconds: number): void {
  const nothing = new Int32Array(new SharedArrayBuffer(4));
  Atomics.wait(nothing, 0, 0, milliseconds);
}

describe("a shared link", () => {
  describe("in a process whose event loop blocks until all is transmitted", () => {
    // Guards against a hop probe that overtakes the request that it asks about
    // and reports it as not received, so that copies are sent without need.
    it("delivers everything in the order in which it was sent", async () => {
      const link = createSharedLink(bytesPerSecond);
      const delivered: number[] = [];
      const all = Array.from({ length: messages }, (_, index) => index);
      await new Promise<void>((resolve) => {
        const send = (message: number, bytes: number) =>
          link.transmit(bytes, () => {
            delivered.push(message);
            if (delivered.length === messages) resolve();
          });
        const [first = 0, second = 1, ...later] = all;
        send(first, 5_050);
        send(second, 1_000);
        blockEventLoop(20);
        for (const message of later) send(message, 100);
        blockEventLoop(100);
      });
      assert.deepEqual(delivered, all);
    });
  });
});
