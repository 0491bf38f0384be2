import assert from "node:assert/strict";
import { once } from "node:events";
import { type AddressInfo, connect, createServer, type Socket } from "node:net";
import { describe, it } from "node:test";
import { startStallTolerantTimer } from "./stall_tolerant_timer.ts";

/** Blocks the event loop. */
function blockEventLoop(milliseconds: number): void {
  const end = performance.now() + milliseconds;
  while (performance.now() < end);
}

/** Opens a connection and returns both of its ends. */
async function connectPair(): Promise<readonly [Socket, Socket]> {
  const server = createServer();
  server.listen(0, "127.0.0.1");
  await once(server, "listening");
  const { port } = server.address() as AddressInfo;
  const client = connect(port, "127.0.0.1");
  const [peer] = await once(server, "connection") as [Socket];
  server.close();
  return [client, peer];
}

describe("a time limit for an answer", () => {
  // Guards against a stalled process that mistakes its own stall for silence of
  // the other processes.
  it("does not expire before input that arrived during a stall is read", async () => {
    const [client, peer] = await connectPair();
    const order: string[] = [];
    client.on("data", () => order.push("answer"));
    const ended = new Promise<void>((resolve) =>
      startStallTolerantTimer(() => {
        order.push("end");
        resolve();
      }, 50)
    );
    peer.write("answer");
    blockEventLoop(100);
    await ended;
    client.destroy();
    peer.destroy();
    assert.deepEqual(order, ["answer", "end"]);
  });

  it("expires in time in a process without stalls", async () => {
    const startedAt = performance.now();
    await new Promise<void>((resolve) => startStallTolerantTimer(resolve, 50));
    const elapsed = performance.now() - startedAt;
    assert.ok(elapsed >= 49, `${elapsed}`);
  });

  it("does not expire after it was cancelled", async () => {
    let ended = false;
    const timer = startStallTolerantTimer(() => ended = true, 20);
    blockEventLoop(40);
    await new Promise((resolve) => setTimeout(resolve, 5));
    timer.stop();
    await new Promise((resolve) => setTimeout(resolve, 60));
    assert.equal(ended, false);
  });
});
