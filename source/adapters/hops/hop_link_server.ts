/**
 * Serves requests that other agents send on over links: one WebSocket carries
 * many requests at a time, each a message, and their answers in any order.
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
import { type HopCancels, startHopCancels } from "./hop_cancels.ts";
import {
  type ClientMessage,
  decodeMessage,
  encodeMessage,
  type RequestMessage,
  type ServerMessage,
} from "./hop_messages.ts";
import { type AbandonNote, startWanted, takeIn } from "./hop_intake.ts";
import { type HopCopy, type HopLedger, startHopLedger } from "./hop_ledger.ts";
import type { HandleRequest } from "../callers/http_listener.ts";
import type { LogicalClock } from "../logs/logical_clock.ts";
import type { PendingInputGate } from "../callers/pending_input.ts";
import type { ArrivalNote, MeasureLateness } from "./transit.ts";
import { readWhole } from "../targets/exchange.ts";

/** What serving needs. */
export interface HopLinkServerOptions {
  /** This process. */
  readonly agent: AgentId;
  readonly handle: HandleRequest;
  readonly now: () => number;
  readonly lateness: MeasureLateness;
  /** Hears of each request that comes. */
  readonly onArrival: (note: ArrivalNote) => void;
  /** Of this process. */
  readonly intake: PendingInputGate;
  /** Hears of each request that nobody wanted any more before it began. */
  readonly onAbandoned: (note: AbandonNote) => void;
  readonly clock: LogicalClock;
  /** Called when a link is closed because of what came over it. */
  readonly onMalformed: () => void;
}

const kinds: ReadonlySet<ClientMessage["kind"]> = new Set([
  "request",
  "cancel",
]);

/** Serves the links that this listener accepts. */
export function serveHopLinks(
  sockets: WebSocketServer,
  options: HopLinkServerOptions,
): void {
  const ledger = startHopLedger(options.agent);
  const cancels = startHopCancels();
  sockets.on("connection", (socket) => {
    serveLink(socket, { ...options, ledger, cancels });
  });
}

interface LinkContext extends HopLinkServerOptions {
  readonly ledger: HopLedger;
  readonly cancels: HopCancels;
}

function serveLink(socket: WebSocket, context: LinkContext): void {
  /** Copies that came over this link and have not ended. */
  const running = new Set<HopCopy>();

  socket.on("message", (data: Buffer) => {
    const received = decodeMessage<ClientMessage>(data, kinds);
    if (received === null) {
      context.onMalformed();
      return socket.terminate();
    }
    const { message, bytes } = received;
    if (message.kind === "cancel") {
      context.ledger.cancel(message.hop);
      return context.cancels.abort(message.hop);
    }
    context.clock.observe(message.clock);
    void serveRequest(message, bytes);
  });
  socket.on("error", () => socket.terminate());
  socket.on("close", () => {
    for (const hop of running) {
      // A later copy on another link has taken the place of this one.
      if (context.ledger.superseded(hop)) continue;
      context.cancels.abort(hop);
    }
  });

  async function serveRequest(
    message: RequestMessage,
    bytes: Uint8Array,
  ): Promise<void> {
    const { hop, departure = null } = message;
    const cancel = context.cancels.begin(hop);
    running.add(hop);
    const now = context.now();
    const lateMilliseconds = context.lateness(departure);
    /** When it would have arrived had nothing held it up. */
    const dueAt = now - lateMilliseconds;
    const deadlineAt = dueAt + message.deadlineMilliseconds;
    const expired = now >= deadlineAt;
    const timer = setTimeout(() => cancel.abort(), deadlineAt - now);
    const { id } = message.request;
    const arrival = { request: id, hop, lateMilliseconds, expired };
    const result = await takeIn(arrival, {
      ...context,
      start: () => start(message, { bytes, cancel, dueAt }),
    });
    clearTimeout(timer);
    running.delete(hop);
    context.cancels.end(hop);
    if (result !== null) await reply(message, result);
  }

  function start(
    message: RequestMessage,
    held: {
      readonly bytes: Uint8Array;
      readonly cancel: AbortController;
      readonly dueAt: number;
    },
  ): Promise<Result<ProxyAnswer, Failure>> {
    const { dueAt } = held;
    const { deadlineMilliseconds, objectiveMilliseconds } = message;
    const request: ProxyRequest = {
      ...message.request,
      longestBodyBytes: held.bytes.length,
      mostAttempts: null,
      objectiveAt: objectiveMilliseconds === null
        ? null
        : dueAt + objectiveMilliseconds,
      deadlineAt: dueAt + deadlineMilliseconds,
      signal: held.cancel.signal,
    };
    const body = { kind: "kept", bytes: held.bytes } as const;
    return startWanted(request, {
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
    const whole = result.isOk ? await wholeOf(result.value.body) : null;
    if (result.isErr || whole === null) {
      const failure = result.isErr
        ? result.error
        : unknownOutcome("connection-lost");
      return send({ kind: "failure", hop, clock, failure });
    }
    const { status, headers, load } = result.value;
    send({ kind: "answer", hop, clock, status, headers, load }, whole);
  }

  function send(message: ServerMessage, bytes?: Uint8Array): void {
    if (socket.readyState !== socket.OPEN) return;
    socket.send(encodeMessage(message, bytes), { binary: true });
  }
}

/** Null for a body that broke off. */
async function wholeOf(body: AnswerBody): Promise<Uint8Array | null> {
  if (body.kind === "whole") return body.bytes;
  try {
    return await readWhole(body.stream);
  } catch {
    return null;
  }
}
