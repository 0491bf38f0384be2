/**
 * Whether callers are still there: their connections, and the requests on
 * them that have not been answered.
 *
 * @module
 */
import type { ServerResponse } from "node:http";
import type { Socket } from "node:net";

/** The connections of callers. */
export interface CallerConnections {
  /**
   * Calls back when the caller leaves before the answer has been written; at
   * once if it has left.
   */
  onDisconnect(
    call: { readonly response: ServerResponse; readonly socket: Socket },
    leave: () => void,
  ): void;
  /** Requests on a connection that have not been answered. */
  unanswered(socket: Socket): number;
  /** Whether this answers the last request that was read on its connection. */
  isLast(response: ServerResponse): boolean;
  /** Requests on all connections whose answers have not gone out. */
  totalUnanswered(): number;
  /** Whether some answer has been composed and is still going out. */
  isWriting(): boolean;
}

/** The requests on a connection, in order, with what to do if it is lost. */
type Waiting = Map<ServerResponse, () => void>;

/**
 * Starts without connections. A response that waits behind another on its
 * connection has no event yet, so connections are watched.
 */
export function trackCallerConnections(): CallerConnections {
  const connections = new WeakMap<Socket, Waiting>();
  const unanswered = new Set<ServerResponse>();

  function watch(socket: Socket): Waiting {
    const waiting: Waiting = new Map();
    const leave = () => {
      for (const [response, callback] of [...waiting]) {
        unanswered.delete(response);
        callback();
      }
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
    onDisconnect({ response, socket }, leave) {
      const waiting = connections.get(socket) ?? watch(socket);
      if (socket.destroyed || socket.readableEnded) return leave();
      const left = () => {
        if (!response.writableFinished) leave();
      };
      waiting.set(response, left);
      unanswered.add(response);
      response.once("close", () => {
        unanswered.delete(response);
        if (waiting.delete(response)) left();
      });
    },
    totalUnanswered: () => unanswered.size,
    isWriting: () =>
      [...unanswered].some(({ writableEnded, writableFinished }) =>
        writableEnded && !writableFinished
      ),
    unanswered: (socket) => connections.get(socket)?.size ?? 0,
    isLast(response) {
      const waiting = connections.get(response.req.socket);
      return [...waiting?.keys() ?? []].at(-1) === response;
    },
  };
}
