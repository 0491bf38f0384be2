import assert from "node:assert/strict";
import { once } from "node:events";
import { type AddressInfo, connect, createServer, type Socket } from "node:net";
import { describe, it } from "node:test";
import { startStallTolerantTimer } from "./stall_tolerant_timer.ts";

/** Keeps this process from doing anything else. */
function holdUp(milliseconds: number): void {
  const end = performance.now() + milliseconds;
  while (performance.now() < end);
}

/** A connection within this process. */
async function connectPair(): Promise<readonly [Socket, Socket]> {
  const server = createServer();
  server.listen(0, "127.0.0.1");
  await once(server, "listening");
  const { port } = server.address() as AddressInfo;
  const near = connect(port, "127.0.0.1");
  const [far] = await once(server, "connection") as [Socket];
  server.close();
  return [near, far];
}

describe("a time limit for an answer", () => {
  // Guards against a process that is held up taking its own pause for the
  // silence of all others.
  it("is not over before what came meanwhile has been read", async () => {
    const [near, far] = await connectPair();
    const order: string[] = [];
    near.on("data", () => order.push("answer"));
    const ended = new Promise<void>((resolve) =>
      startStallTolerantTimer(() => {
        order.push("end");
        resolve();
      }, 50)
    );
    far.write("answer");
    holdUp(100);
    await ended;
    near.destroy();
    far.destroy();
    assert.deepEqual(order, ["answer", "end"]);
  });

  it("is over in time when nothing holds this process up", async () => {
    const startedAt = performance.now();
    await new Promise<void>((resolve) => startStallTolerantTimer(resolve, 50));
    const took = performance.now() - startedAt;
    assert.ok(took >= 49, `${took}`);
  });

  it("is not over once it was called off", async () => {
    let ended = false;
    const timer = startStallTolerantTimer(() => ended = true, 20);
    holdUp(40);
    await new Promise((resolve) => setTimeout(resolve, 5));
    timer.stop();
    await new Promise((resolve) => setTimeout(resolve, 60));
    assert.equal(ended, false);
  });
});
