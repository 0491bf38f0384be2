/**
 * A TCP relay that can stall, delay or refuse connections and limit their rate.
 *
 * @module
 */
import { connect, createServer, type Server, type Socket } from "node:net";

/** A relay that behaves like a middlebox which has lost connection state. */
export interface Relay {
  readonly server: Server;
  readonly port: number;
  /** Existing connections forward nothing in this direction; new ones do. */
  stallConnections(direction: "requests" | "answers"): void;
  refuseConnections(): void;
  /**
   * Delays requests on future connections, in milliseconds: the first entry
   * applies to the next connection, and so on.
   */
  delayConnections(delays: readonly number[]): void;
  /** Requests on all future connections share a link of this rate. */
  limitRequestRate(bytesPerSecond: number): void;
  /** Time until the shared link has transmitted its queue, in ms. */
  queueMilliseconds(): number;
  /** Bytes of requests that the relay has received. */
  requestBytes(): number;
}

/** The two sockets of a relayed connection: near is the client's side. */
interface RelayedConnection {
  readonly near: Socket;
  readonly far: Socket;
  readonly end: () => void;
}

/** Starts a relay to this port on the loopback address. */
export function startRelay(port: number): Promise<Relay> {
  const pairs = new Set<RelayedConnection>();
  let delays: readonly number[] = [];
  let link: SharedLink | null = null;
  let bytes = 0;
  const server = createServer((near) => {
    const far = connect(port, "127.0.0.1");
    const [delayMilliseconds = 0, ...later] = delays;
    delays = later;
    near.on("data", (chunk) => bytes += chunk.length);
    if (link !== null) forwardOverLink(near, far, link);
    else if (delayMilliseconds === 0) near.pipe(far);
    else forwardDelayed(near, far, delayMilliseconds);
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

/** Forwards with a delay what near sends, also after near has closed. */
function forwardDelayed(near: Socket, far: Socket, delayMilliseconds: number) {
  near.on("data", (chunk) => {
    setTimeout(() => far.write(chunk), delayMilliseconds);
  });
  near.on("close", () => {
    setTimeout(() => far.destroy(), delayMilliseconds);
  });
}

/** A link of limited rate that delivers everything in sending order. */
export interface SharedLink {
  /** Queues these bytes; calls `onTransmitted` once they are transmitted. */
  transmit(bytes: number, onTransmitted: () => void): void;
  queueMilliseconds(): number;
}

/** Creates a link with an empty queue. */
export function createSharedLink(bytesPerSecond: number): SharedLink {
  /** In sending order; a timer runs for the first entry. */
  const queue: { readonly at: number; readonly onTransmitted: () => void }[] =
    [];
  let freeAt = 0;
  const queueMilliseconds = () => Math.max(0, freeAt - performance.now());

  function transmitNext(): void {
    const [next] = queue;
    if (next === undefined) return;
    setTimeout(() => {
      queue.shift();
      next.onTransmitted();
      transmitNext();
    }, Math.max(0, next.at - performance.now()));
  }

  return {
    transmit(bytes, onTransmitted) {
      const takes = bytes / bytesPerSecond * 1_000;
      freeAt = performance.now() + queueMilliseconds() + takes;
      queue.push({ at: freeAt, onTransmitted });
      if (queue.length === 1) transmitNext();
    },
    queueMilliseconds,
  };
}

/** Forwards over the link what near sends, also after near has closed. */
function forwardOverLink(near: Socket, far: Socket, link: SharedLink) {
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
