/**
 * WebSockets on an HTTP listener, told apart by their path.
 *
 * @module
 */
import type { Server } from "node:http";
import { WebSocketServer } from "ws";
import { compression } from "./compression.ts";

/** The WebSockets of one path. */
export interface UpgradePath {
  /** Null for every path that no other entry names. */
  readonly path: string | null;
  readonly longestMessageBytes: number;
  /** Whether messages may be compressed. */
  readonly compressed: boolean;
}

/** Accepts WebSockets on these paths; brings a server for each by its name. */
export function acceptUpgrades<Name extends string>(
  server: Server,
  paths: Readonly<Record<Name, UpgradePath>>,
): Readonly<Record<Name, WebSocketServer>> {
  const entries = Object.entries<UpgradePath>(paths).map(([name, entry]) => ({
    name,
    path: entry.path,
    sockets: new WebSocketServer({
      noServer: true,
      maxPayload: entry.longestMessageBytes,
      perMessageDeflate: entry.compressed ? compression : false,
    }),
  }));
  const other = entries.find(({ path }) => path === null);
  server.on("upgrade", (request, socket, head) => {
    const named = entries.find(({ path }) => path === request.url) ?? other;
    if (named === undefined) return socket.destroy();
    const { sockets } = named;
    sockets.handleUpgrade(request, socket, head, (opened) => {
      sockets.emit("connection", opened, request);
    });
  });
  return Object.fromEntries(
    entries.map(({ name, sockets }) => [name, sockets]),
  ) as Record<Name, WebSocketServer>;
}

/** Ends all WebSockets of a server. */
export function closeSockets(sockets: WebSocketServer): void {
  for (const client of sockets.clients) client.terminate();
  sockets.close();
}
