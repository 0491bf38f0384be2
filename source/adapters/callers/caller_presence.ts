/**
 * Whether callers are still there: their connections, and the requests on
 * them that have not been answered.
 *
 * @module
 */
import type { ServerResponse } from "node:http";
import type { Socket } from "node:net";

/** The connections of callers. */
export interface CallerPresence {
  /**
   * Calls back when the caller leaves before the answer has been written; at
   * once if it has left.
   */
  onLeft(
    call: { readonly response: ServerResponse; readonly socket: Socket },
    leave: () => void,
  ): void;
  /** Requests on a connection that have not been answered. */
  unanswered(socket: Socket): number;
}

/**
 * Starts without connections. A response that waits behind another on its
 * connection has no event yet, so connections are watched.
 */
export function watchCallers(): CallerPresence {
  const connections = new WeakMap<Socket, Set<() => void>>();

  function watch(socket: Socket): Set<() => void> {
    const waiting = new Set<() => void>();
    const leave = () => {
      for (const callback of [...waiting]) callback();
      waiting.clear();
    };
    // The end and an error are known a turn of the event loop before the close.
    socket.once("end", leave);
    socket.once("error", leave);
    socket.once("close", leave);
    connections.set(socket, waiting);
    return waiting;
  }

  return {
    onLeft({ response, socket }, leave) {
      const waiting = connections.get(socket) ?? watch(socket);
      if (socket.destroyed || socket.readableEnded) return leave();
      const left = () => {
        if (!response.writableFinished) leave();
      };
      waiting.add(left);
      response.once("close", () => {
        if (waiting.delete(left)) left();
      });
    },
    unanswered: (socket) => connections.get(socket)?.size ?? 0,
  };
}
