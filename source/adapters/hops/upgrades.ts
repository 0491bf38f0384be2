/**
 * WebSockets on an HTTP listener, with one WebSocket server for each path.
 *
 * @module
 */
import type { Server } from "node:http";
import { WebSocketServer } from "ws";
import { compression } from "./compression.ts";

/** Settings of the WebSockets on one path. */
export interface UpgradePath {
  /** Null matches every path that no other entry names. */
  readonly path: string | null;
  readonly maxMessageBytes: number;
  /** Whether messages may be compressed. */
  readonly compressed: boolean;
}

/**
 * Accepts WebSockets on these paths; returns the WebSocket server of each entry
 * under the entry's name. Upgrades on other paths are closed without an answer.
 */
export function acceptUpgrades<Name extends string>(
  server: Server,
  paths: Readonly<Record<Name, UpgradePath>>,
): Readonly<Record<Name, WebSocketServer>> {
  const entries = Object.entries<UpgradePath>(paths).map(([name, entry]) => ({
    name,
    path: entry.path,
    sockets: new WebSocketServer({
      noServer: true,
      maxPayload: entry.maxMessageBytes,
      perMessageDeflate: entry.compressed ? compression : false,
    }),
  }));
  const fallback = entries.find(({ path }) => path === null);
  server.on("upgrade", (request, socket, head) => {
    const match = entries.find(({ path }) => path === request.url) ?? fallback;
    if (match === undefined) return socket.destroy();
    const { sockets } = match;
    sockets.handleUpgrade(request, socket, head, (opened) => {
      sockets.emit("connection", opened, request);
    });
  });
  return Object.fromEntries(
    entries.map(({ name, sockets }) => [name, sockets]),
  ) as Record<Name, WebSocketServer>;
}

/** Terminates all WebSockets of a server, and closes the server. */
export function closeSockets(sockets: WebSocketServer): void {
  for (const client of sockets.clients) client.terminate();
  sockets.close();
}
