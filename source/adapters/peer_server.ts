/**
 * Serves other agents' calls: tRPC over WebSocket on the peer listener.
 *
 * @module
 */
import type { Server } from "node:http";
import { initTRPC } from "@trpc/server";
import { applyWSSHandler } from "@trpc/server/adapters/ws";
import { WebSocketServer } from "ws";
import { z } from "zod";
import type { PeerMethod, PeerMethods } from "../ports/peers.ts";
import type { LogicalClock } from "./logical_clock.ts";
import { peerSchemas } from "./schemas.ts";

const trpc = initTRPC.create();
const longestMessageBytes = 8_000_000;

/** A message or an answer with its sender's logical time. */
function enveloped<Schema extends z.ZodType>(message: Schema) {
  return z.strictObject({ clock: z.number().int().min(0), message });
}

/** Builds the router that serves these methods. */
function buildPeerRouter(
  methods: PeerMethods,
  clock: LogicalClock,
) {
  function procedure<Method extends PeerMethod>(method: Method) {
    const schema: z.ZodType = peerSchemas[method].message;
    const serve = methods[method] as (message: unknown) => Promise<unknown>;
    return trpc.procedure.input(enveloped(schema)).mutation(
      async ({ input }) => {
        clock.observe(input.clock);
        const answer = await serve(input.message);
        return { clock: clock.next(), answer };
      },
    );
  }
  return trpc.router({
    exchange: procedure("exchange"),
    compare: procedure("compare"),
    transfer: procedure("transfer"),
    renew: procedure("renew"),
    locateGrantor: procedure("locateGrantor"),
    takeEpoch: procedure("takeEpoch"),
    sealGrantor: procedure("sealGrantor"),
    nudge: procedure("nudge"),
    table: procedure("table"),
    census: procedure("census"),
    events: procedure("events"),
    roster: procedure("roster"),
  });
}

/** The type that clients are checked against. */
export type PeerRouter = ReturnType<typeof buildPeerRouter>;

/** Serves calls on an HTTP server's WebSocket upgrades. */
export function servePeers(options: {
  readonly server: Server;
  readonly methods: PeerMethods;
  readonly clock: LogicalClock;
}): { close(): void } {
  const sockets = new WebSocketServer({
    server: options.server,
    maxPayload: longestMessageBytes,
    perMessageDeflate: false,
  });
  sockets.on(
    "connection",
    (socket) => socket.on("error", () => socket.terminate()),
  );
  applyWSSHandler({
    wss: sockets,
    router: buildPeerRouter(options.methods, options.clock),
  });
  return {
    close() {
      for (const client of sockets.clients) client.terminate();
      sockets.close();
    },
  };
}
