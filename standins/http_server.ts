/**
 * Listeners on the loopback address, for stand-ins and tests.
 *
 * @module
 */
import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerOptions,
  type ServerResponse,
} from "node:http";
import type { AddressInfo, Server as SocketServer } from "node:net";

/** Serves with this; a message that can't be served is broken off. */
export function serverOf(
  serve: (message: IncomingMessage, response: ServerResponse) => Promise<void>,
  options: ServerOptions = {},
): Server {
  return createServer(options, (message, response) => {
    void serve(message, response).catch(() => response.destroy());
  });
}

/** Listens on the loopback address; brings the port. */
export function listen(server: SocketServer, port: number): Promise<number> {
  return new Promise((resolve, reject) => {
    server.once("error", reject);
    server.listen(port, "127.0.0.1", () => {
      resolve((server.address() as AddressInfo).port);
    });
  });
}

/** Closes a server and all its connections. */
export function closeServer(server: Server): Promise<void> {
  return new Promise((resolve) => {
    server.close(() => resolve());
    server.closeAllConnections();
  });
}

/** Reads a message's body as text. */
export async function readText(message: IncomingMessage): Promise<string> {
  const chunks: string[] = [];
  message.setEncoding("utf8");
  for await (const chunk of message) chunks.push(String(chunk));
  return chunks.join("");
}
