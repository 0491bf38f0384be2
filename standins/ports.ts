/**
 * Ports for processes that are still to start. They lie below the range from
 * which systems take ports for outgoing connections, and whoever gives them
 * has blocks of its own, so that a port is still free when it is listened on.
 *
 * @module
 */
import { createServer, type Server } from "node:net";
import process from "node:process";

/** Systems give this port and those above it to outgoing connections. */
export const firstEphemeralPort = 32_768;
const firstPort = 10_000;
const portsPerBlock = 64;
const blockCount = Math.floor((firstEphemeralPort - firstPort) / portsPerBlock);

/** Brings a port that nothing listens on, and that it gives only once. */
export type GivePort = () => Promise<number>;

/**
 * Gives ports of blocks that no other giver has, in this process or another:
 * a giver listens on the first port of its block until its process ends.
 */
export function portGiver(): GivePort {
  let latest: Promise<unknown> = Promise.resolve();
  let next = 0;
  let end = 0;

  async function takeNext(): Promise<number> {
    for (;;) {
      if (next === end) {
        const first = await claimBlock();
        next = first + 1;
        end = first + portsPerBlock;
      }
      const port = next;
      next += 1;
      const listener = await tryListening(port);
      if (listener === null) continue;
      await new Promise((resolve) => listener.close(resolve));
      return port;
    }
  }

  return () => {
    const port = latest.then(takeNext);
    latest = port.catch(() => undefined);
    return port;
  };
}

/** The giver of this process. */
export const freePort: GivePort = portGiver();

/** Brings the first port of a block that is this process's own from now on. */
async function claimBlock(): Promise<number> {
  for (let count = 0; count < blockCount; count += 1) {
    const block = (process.pid + count) % blockCount;
    const first = firstPort + block * portsPerBlock;
    const claim = await tryListening(first);
    if (claim === null) continue;
    claim.unref();
    return first;
  }
  throw new Error("every block of ports is taken");
}

/** Null when something else has the port. */
function tryListening(port: number): Promise<Server | null> {
  const server = createServer();
  return new Promise((resolve) => {
    server.once("error", () => resolve(null));
    server.listen(port, "127.0.0.1", () => resolve(server));
  });
}
