/**
 * Serves other agents on the peer listener: their calls, by tRPC over
 * WebSocket, and the requests that they forward over links.
 *
 * @module
 */
import type { Server } from "node:http";
import { initTRPC } from "@trpc/server";
import { applyWSSHandler } from "@trpc/server/adapters/ws";
import { z } from "zod";
import type { PeerMethod, PeerMethods } from "../../ports/peers.ts";
import { type HopLinkServerOptions, serveHopLinks } from "./hop_link_server.ts";
import { linkPath } from "./hop_link.ts";
import type { LogicalClock } from "../logs/logical_clock.ts";
import { peerSchemas } from "../schemas.ts";
import { acceptUpgrades, closeSockets } from "./upgrades.ts";

const trpc = initTRPC.create();
const maxCallBytes = 8_000_000;
/** Above any request that is sent over a link, and any answer of a target. */
const maxLinkMessageBytes = 64_000_000;

/** The schema of a message together with the logical time of its sender. */
function envelopeOf<Schema extends z.ZodType>(message: Schema) {
  return z.strictObject({ clock: z.number().int().min(0), message });
}

/** Builds the tRPC router that serves these methods. */
function buildPeerRouter(
  methods: PeerMethods,
  clock: LogicalClock,
) {
  function procedure<Method extends PeerMethod>(method: Method) {
    const schema: z.ZodType = peerSchemas[method].message;
    const serve = methods[method] as (message: unknown) => Promise<unknown>;
    return trpc.procedure.input(envelopeOf(schema)).mutation(
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
    handover: procedure("handover"),
    hearsGrantor: procedure("hearsGrantor"),
    identify: procedure("identify"),
    nudge: procedure("nudge"),
    table: procedure("table"),
    reportWatch: procedure("reportWatch"),
    storeDepartures: procedure("storeDepartures"),
    departuresOf: procedure("departuresOf"),
    census: procedure("census"),
    events: procedure("events"),
    offerBody: procedure("offerBody"),
    lendRetries: procedure("lendRetries"),
    roster: procedure("roster"),
  });
}

/** The type of the router, which clients are type-checked against. */
export type PeerRouter = ReturnType<typeof buildPeerRouter>;

/** Serves other agents. */
export interface PeerServer {
  /** Bytes of answers that have not been sent yet, on all links. */
  backlogBytes(): number;
  close(): void;
}

/**
 * Serves calls, and links if wanted, on an HTTP server. Closing terminates the
 * WebSockets, and leaves the HTTP server open.
 */
export function servePeers(options: {
  readonly server: Server;
  readonly methods: PeerMethods;
  readonly clock: LogicalClock;
  /** Absent when requests are forwarded by HTTP only. */
  readonly links?: HopLinkServerOptions;
}): PeerServer {
  const { calls, links } = acceptUpgrades(options.server, {
    calls: {
      path: null,
      maxMessageBytes: maxCallBytes,
      compressed: true,
    },
    links: {
      path: linkPath,
      maxMessageBytes: maxLinkMessageBytes,
      compressed: false,
    },
  });
  const served = options.links === undefined
    ? null
    : serveHopLinks(links, options.links);
  calls.on(
    "connection",
    (socket) => socket.on("error", () => socket.terminate()),
  );
  applyWSSHandler({
    wss: calls,
    router: buildPeerRouter(options.methods, options.clock),
  });
  return {
    backlogBytes: () => served?.backlogBytes() ?? 0,
    close() {
      closeSockets(calls);
      closeSockets(links);
    },
  };
}
