/**
 * HTTP listeners for callers and agents: accept connections, and close them
 * when the listener drains. An answer that cannot be completed ends with its
 * connection.
 *
 * @module
 */
import { createServer, type Server, type ServerResponse } from "node:http";
import { type AddressInfo, Server as NetServer, type Socket } from "node:net";
import { Result } from "true-myth";
import { refuseInvalidHttp, type WriteContext } from "./answer_writer.ts";
import { trackCallerConnections } from "./caller_connections.ts";
import { boundCallers } from "./caller_load.ts";
import { productCallerProtocol } from "./caller_protocol.ts";
import type { HttpListenerOptions } from "./listener_options.ts";
import { answerRequests } from "./request_answers.ts";
import { discardAfterAnswer } from "./unread_body.ts";

export type {
  HandleRequest,
  HttpListenerOptions,
  ListenerKind,
  OperatorPage,
} from "./listener_options.ts";

/** An open HTTP listener. */
export interface HttpListener {
  readonly server: Server;
  readonly port: number;
  /**
   * Accepts no more connections, and closes each connection after the answer
   * to the last request that was read on it.
   */
  drain(): void;
  /**
   * Closes the connections without unanswered requests. Closes none while an
   * answer is still being sent on any connection.
   */
  closeIdle(): void;
  /** Number of requests that were read and whose answers are not yet sent. */
  unanswered(): number;
  /** Closes the listener and all connections at once. */
  close(): void;
}

/** Longer than other agents keep an idle connection to this one open. */
const keepAliveMilliseconds = 65_000;

/** Opens a listener; returns an error message when it cannot be opened. */
export function openHttpListener(
  options: HttpListenerOptions,
): Promise<Result<HttpListener, string>> {
  const callers = trackCallerConnections();
  const closingSockets = new WeakSet<Socket>();
  const writeContext: WriteContext = {
    protocol: options.callerProtocol ?? productCallerProtocol,
    beforeHead: closeAfterLast,
  };
  let draining = false;
  const server = createServer({ maxHeaderSize: options.maxHeaderBytes });
  // By default, header lines beyond 2,000 are dropped without a word.
  server.maxHeadersCount = 0;
  server.keepAliveTimeout = keepAliveMilliseconds;
  server.requestTimeout = 0;
  server.on("clientError", refuseInvalidHttp);
  const load = options.callerLoad === undefined
    ? null
    : boundCallers(server, options.callerLoad);
  const answer = answerRequests(options, { callers, load, writeContext });
  server.on("request", (message, response) => {
    // The answer before it closes the connection.
    if (closingSockets.has(message.socket)) return;
    discardAfterAnswer(response);
    void answer(message, response);
  });

  /**
   * Announces, while draining, that the connection closes after this answer.
   * Does nothing if other answers have to follow or part of the request is
   * unread: closing a connection with unread bytes resets it, and the answer
   * could be lost.
   */
  function closeAfterLast(response: ServerResponse): void {
    if (!draining) return;
    const { req: message } = response;
    if (!message.complete || !callers.isLast(response)) return;
    closingSockets.add(message.socket);
    response.setHeader("connection", "close");
  }

  return new Promise((resolve) => {
    server.once("error", (error) => resolve(Result.err(error.message)));
    server.listen(options.port, options.host, () => {
      server.on("error", () => undefined);
      const { port } = server.address() as AddressInfo;
      resolve(Result.ok({
        server,
        port,
        drain() {
          draining = true;
          // `close` of the HTTP server would also close idle connections, on
          // which a caller may be sending its next request.
          NetServer.prototype.close.call(server);
        },
        closeIdle() {
          // The server counts a connection as idle while its answer is sent.
          if (!callers.isWriting()) server.closeIdleConnections();
        },
        unanswered: callers.totalUnanswered,
        close() {
          server.close();
          server.closeAllConnections();
        },
      }));
    });
  });
}
