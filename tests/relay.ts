/**
 * A relay between two ends of a connection, which can lose track of it.
 *
 * @module
 */
import { connect, createServer, type Server, type Socket } from "node:net";

/** What a middle box does to connections that it has lost track of. */
export interface Relay {
  readonly server: Server;
  readonly port: number;
  /** Existing connections pass nothing on; new ones work. */
  stallConnections(direction: "requests" | "answers"): void;
  refuseConnections(): void;
  /**
   * Requests on connections to come are so long on their way, in milliseconds:
   * the first entry holds for the next connection, and so on.
   */
  delayConnections(delays: readonly number[]): void;
  /** Requests on all connections to come share a link of this rate. */
  limitRequestRate(bytesPerSecond: number): void;
  /** How long the shared link is taken by what has come, in milliseconds. */
  queueMilliseconds(): number;
  /** Bytes of requests that have come to the relay. */
  requestBytes(): number;
}

/** Both ends of a connection, and what tells the far one of the near one's end. */
interface Pair {
  readonly near: Socket;
  readonly far: Socket;
  readonly end: () => void;
}

/** Starts a relay to this port of the loopback address. */
export function startRelay(port: number): Promise<Relay> {
  const pairs = new Set<Pair>();
  let delays: readonly number[] = [];
  let link: SharedLink | null = null;
  let bytes = 0;
  const server = createServer((near) => {
    const far = connect(port, "127.0.0.1");
    const [delayMilliseconds = 0, ...later] = delays;
    delays = later;
    near.on("data", (chunk) => bytes += chunk.length);
    if (link !== null) passOnInTurn(near, far, link);
    else if (delayMilliseconds === 0) near.pipe(far);
    else passOnLate(near, far, delayMilliseconds);
    far.pipe(near);
    const end = () => far.destroy();
    if (link === null && delayMilliseconds === 0) near.once("close", end);
    pairs.add({ near, far, end });
    for (const socket of [near, far]) {
      socket.on("error", () => socket.destroy());
    }
  });
  return new Promise((resolve) => {
    server.listen(0, "127.0.0.1", () =>
      resolve({
        server,
        port: portOf(server),
        refuseConnections: () => void server.close(),
        delayConnections: (next) => delays = next,
        limitRequestRate: (bytesPerSecond) =>
          link = createSharedLink(bytesPerSecond),
        queueMilliseconds: () => link?.queueMilliseconds() ?? 0,
        requestBytes: () => bytes,
        stallConnections(direction) {
          for (const { near, far, end } of pairs) {
            if (direction === "answers") far.unpipe(near);
            else {
              near.unpipe(far);
              near.off("close", end);
            }
          }
        },
      }));
  });
}

/** What the near end has sent arrives even after it has closed. */
function passOnLate(near: Socket, far: Socket, delayMilliseconds: number) {
  near.on("data", (chunk) => {
    setTimeout(() => far.write(chunk), delayMilliseconds);
  });
  near.on("close", () => {
    setTimeout(() => far.destroy(), delayMilliseconds);
  });
}

/** A link that brings everything in the order in which it was sent. */
export interface SharedLink {
  /** Calls back when what was sent before has passed, and then these bytes. */
  transmit(bytes: number, passed: () => void): void;
  queueMilliseconds(): number;
}

/** Starts empty. */
export function createSharedLink(bytesPerSecond: number): SharedLink {
  /** In order; a timer runs for the first. */
  const queue: { readonly at: number; readonly passed: () => void }[] = [];
  let freeAt = 0;
  const queueMilliseconds = () => Math.max(0, freeAt - performance.now());

  function passNext(): void {
    const [next] = queue;
    if (next === undefined) return;
    setTimeout(() => {
      queue.shift();
      next.passed();
      passNext();
    }, Math.max(0, next.at - performance.now()));
  }

  return {
    transmit(bytes, passed) {
      const takes = bytes / bytesPerSecond * 1_000;
      freeAt = performance.now() + queueMilliseconds() + takes;
      queue.push({ at: freeAt, passed });
      if (queue.length === 1) passNext();
    },
    queueMilliseconds,
  };
}

/** What the near end has sent takes its turn even after that has closed. */
function passOnInTurn(near: Socket, far: Socket, link: SharedLink) {
  near.on(
    "data",
    (chunk) => link.transmit(chunk.length, () => far.write(chunk)),
  );
  near.on("close", () => link.transmit(0, () => far.destroy()));
}

function portOf(server: Server): number {
  const address = server.address();
  return typeof address === "object" ? address?.port ?? 0 : 0;
}
