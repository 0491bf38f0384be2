/**
 * Serves requests that other agents forward over links. A link is a WebSocket
 * that carries many requests at a time, one message each, and their answers in
 * any order.
 *
 * @module
 */
import type { Buffer } from "node:buffer";
import type { Result } from "true-myth";
import type { WebSocket, WebSocketServer } from "ws";
import type { AgentId } from "../../core/agent.ts";
import { type Failure, unknownOutcome } from "../../core/request/outcome.ts";
import type {
  AnswerBody,
  ProxyAnswer,
  ProxyRequest,
} from "../../ports/upstream.ts";
import {
  createHopCancellations,
  type HopCancellations,
} from "./hop_cancellations.ts";
import { createDecoder, createEncoder } from "./hop_codec.ts";
import type {
  ClientMessage,
  RequestMessage,
  ServerMessage,
} from "./hop_messages.ts";
import {
  type AbandonedRequest,
  runReceivedCopy,
  startIfWanted,
} from "./request_start.ts";
import {
  createHopDeduplicator,
  entryOf,
  type HopCopy,
  type HopDeduplicator,
} from "./hop_deduplication.ts";
import type { HandleRequest } from "../callers/http_listener.ts";
import type { LogicalClock } from "../logs/logical_clock.ts";
import type { PendingInputGate } from "../callers/pending_input.ts";
import type { ArrivalReport, MeasureTransitDelay } from "./transit.ts";
import { readWhole } from "../targets/exchange.ts";

/** What serving links needs. */
export interface HopLinkServerOptions {
  /** The name of this process. */
  readonly agent: AgentId;
  readonly handle: HandleRequest;
  readonly now: () => number;
  readonly measureTransitDelay: MeasureTransitDelay;
  /** Called for each request that is received. */
  readonly onArrival: (note: ArrivalReport) => void;
  /** Holds requests back until pending socket input has been read. */
  readonly pendingInput: PendingInputGate;
  /** Called for each request whose caller had left before it started. */
  readonly onAbandoned: (note: AbandonedRequest) => void;
  readonly clock: LogicalClock;
  /** Called when a link is closed because of a malformed message. */
  readonly onMalformed: () => void;
}

const messageKinds: ReadonlySet<ClientMessage["kind"]> = new Set([
  "request",
  "cancel",
]);

/** The links that other agents have opened. */
export interface ServedLinks {
  /** Bytes of answers that have not been sent yet, on all links. */
  backlogBytes(): number;
}

/** Serves the links that this listener accepts. */
export function serveHopLinks(
  sockets: WebSocketServer,
  options: HopLinkServerOptions,
): ServedLinks {
  const deduplicator = createHopDeduplicator(options.agent);
  const cancels = createHopCancellations();
  sockets.on("connection", (socket) => {
    serveLink(socket, { ...options, deduplicator, cancels });
  });
  return {
    backlogBytes() {
      let bytes = 0;
      for (const { bufferedAmount } of sockets.clients) bytes += bufferedAmount;
      return bytes;
    },
  };
}

interface LinkContext extends HopLinkServerOptions {
  readonly deduplicator: HopDeduplicator;
  readonly cancels: HopCancellations;
}

function serveLink(socket: WebSocket, context: LinkContext): void {
  /** Copies that were received over this link and have not ended. */
  const running = new Set<HopCopy>();
  const encode = createEncoder();
  const decode = createDecoder<ClientMessage>(messageKinds);

  socket.on("message", (data: Buffer) => {
    const received = decode(data);
    if (received === null) {
      context.onMalformed();
      return socket.terminate();
    }
    const { message, bytes } = received;
    if (message.kind === "cancel") {
      context.deduplicator.cancel(message.hop);
      return context.cancels.abort(message.hop);
    }
    context.clock.observe(message.clock);
    void serveRequest(message, bytes);
  });
  socket.on("error", () => socket.terminate());
  socket.on("close", () => {
    for (const hop of running) {
      // A later copy of the request, received over another link, goes on.
      if (context.deduplicator.isSuperseded(hop)) continue;
      context.cancels.abort(hop);
    }
  });

  async function serveRequest(
    message: RequestMessage,
    bytes: Uint8Array,
  ): Promise<void> {
    const { hop, departure } = message;
    const cancel = context.cancels.acquire(hop);
    running.add(hop);
    const now = context.now();
    const lateMilliseconds = context.measureTransitDelay(departure);
    /** When the request would have arrived without a transit delay. */
    const undelayedAt = now - lateMilliseconds;
    const deadlineAt = undelayedAt + message.deadlineMilliseconds;
    const expired = now >= deadlineAt;
    const timer = setTimeout(() => cancel.abort(), deadlineAt - now);
    const { id } = message.request;
    const arrival = { request: id, hop, lateMilliseconds, expired };
    const result = await runReceivedCopy(arrival, {
      ...context,
      start: () => start(message, { bytes, cancel, undelayedAt }),
    });
    clearTimeout(timer);
    running.delete(hop);
    context.cancels.release(hop);
    if (result !== null) await reply(message, result);
  }

  function start(
    message: RequestMessage,
    copy: {
      readonly bytes: Uint8Array;
      readonly cancel: AbortController;
      readonly undelayedAt: number;
    },
  ): Promise<Result<ProxyAnswer, Failure>> {
    const { undelayedAt } = copy;
    const { deadlineMilliseconds, objectiveMilliseconds } = message;
    const request: ProxyRequest = {
      ...message.request,
      longestBodyBytes: copy.bytes.length,
      maxAttempts: null,
      objectiveAt: objectiveMilliseconds === null
        ? null
        : undelayedAt + objectiveMilliseconds,
      deadlineAt: undelayedAt + deadlineMilliseconds,
      signal: copy.cancel.signal,
      entry: entryOf(message.hop),
    };
    const body = { kind: "kept", bytes: copy.bytes } as const;
    return startIfWanted(request, {
      ...context,
      start: () => context.handle(request, { body }),
    });
  }

  async function reply(
    message: RequestMessage,
    result: Result<ProxyAnswer, Failure>,
  ): Promise<void> {
    const { sequence, copy } = message.hop;
    const hop = { sequence, copy };
    const clock = context.clock.next();
    const bytes = result.isOk ? await readBody(result.value.body) : null;
    if (result.isErr || bytes === null) {
      const failure = result.isErr
        ? result.error
        : unknownOutcome("connection-lost");
      return send({ kind: "failure", hop, clock, failure });
    }
    const { status, headers, load, slowness = null } = result.value;
    const answer = { status, headers, load, slowness };
    send({ kind: "answer", hop, clock, ...answer }, bytes);
  }

  function send(message: ServerMessage, bytes?: Uint8Array): void {
    if (socket.readyState !== socket.OPEN) return;
    socket.send(encode(message, bytes), { binary: true });
  }
}

/** Reads a body to its end; null for one that is truncated. */
async function readBody(body: AnswerBody): Promise<Uint8Array | null> {
  if (body.kind === "whole") return body.bytes;
  try {
    return await readWhole(body.stream);
  } catch {
    return null;
  }
}
