/**
 * Tracks the connections of callers and the unanswered requests on them, and
 * detects when callers disconnect.
 *
 * @module
 */
import type { ServerResponse } from "node:http";
import type { Socket } from "node:net";

/** Connections of callers with their unanswered requests. */
export interface CallerConnections {
  /**
   * Calls `leave` when the caller disconnects before the answer has been
   * written; at once if it already has.
   */
  onDisconnect(
    call: { readonly response: ServerResponse; readonly socket: Socket },
    leave: () => void,
  ): void;
  /** Number of unanswered requests on a connection. */
  unanswered(socket: Socket): number;
  /** Whether this is the response to the last request read on its connection. */
  isLast(response: ServerResponse): boolean;
  /** Number of requests on all connections whose answers are not yet sent. */
  totalUnanswered(): number;
  /** Whether an answer has been ended and is still being sent. */
  isWriting(): boolean;
}

/** Unanswered requests of one connection, in order, with their callbacks. */
type PendingResponses = Map<ServerResponse, () => void>;

/**
 * Starts without connections. A response that waits for an earlier one on its
 * connection emits no close event, so the connections are observed.
 */
export function trackCallerConnections(): CallerConnections {
  const connections = new WeakMap<Socket, PendingResponses>();
  const unanswered = new Set<ServerResponse>();

  function watch(socket: Socket): PendingResponses {
    const pending: PendingResponses = new Map();
    const leave = () => {
      for (const [response, callback] of [...pending]) {
        unanswered.delete(response);
        callback();
      }
      pending.clear();
    };
    // The end or an error is reported one event loop turn before the close.
    socket.once("end", leave);
    socket.once("error", leave);
    socket.once("close", leave);
    connections.set(socket, pending);
    return pending;
  }

  return {
    onDisconnect({ response, socket }, leave) {
      const pending = connections.get(socket) ?? watch(socket);
      if (socket.destroyed || socket.readableEnded) return leave();
      const onClosed = () => {
        if (!response.writableFinished) leave();
      };
      pending.set(response, onClosed);
      unanswered.add(response);
      response.once("close", () => {
        unanswered.delete(response);
        if (pending.delete(response)) onClosed();
      });
    },
    totalUnanswered: () => unanswered.size,
    isWriting: () =>
      [...unanswered].some(({ writableEnded, writableFinished }) =>
        writableEnded && !writableFinished
      ),
    unanswered: (socket) => connections.get(socket)?.size ?? 0,
    isLast(response) {
      const pending = connections.get(response.req.socket);
      return [...pending?.keys() ?? []].at(-1) === response;
    },
  };
}
