/**
 * One link to another agent: a WebSocket that carries many requests at a time.
 *
 * When nothing is received on a link though requests wait on it, a new
 * connection to the same agent is opened for comparison:
 * - The new connection opens, and the old one stays silent: the old one is
 *   lost. The requests that wait on it are sent again over the new one, as
 *   further copies.
 * - Something is received on the old connection: the agent was only slow, and
 *   nothing is sent twice.
 * - Neither happens: the agent does not respond. The idempotent requests that
 *   wait on the link fail; the others go on waiting.
 *
 * @module
 */
import type { Buffer } from "node:buffer";
import { Result } from "true-myth";
import { WebSocket } from "ws";
import type { Address } from "../../core/agent.ts";
import {
  type Failure,
  notRun,
  unknownOutcome,
} from "../../core/request/outcome.ts";
import type { SilenceReport } from "../../core/request/silence.ts";
import type { ProxyAnswer } from "../../ports/upstream.ts";
import type { LogicalClock } from "../logs/logical_clock.ts";
import { reasonOfAbort } from "../targets/exchange.ts";
import {
  createDecoder,
  createEncoder,
  type DecodeMessage,
  type EncodeMessage,
} from "./hop_codec.ts";
import type { ServerMessage } from "./hop_messages.ts";
import {
  composeRequest,
  type HopNaming,
  hopOf,
  type PendingRequest,
  resultOf,
} from "./hop_requests.ts";
import type { StampDeparture } from "./transit.ts";

/** Settings of one link. */
export interface LinkSettings {
  readonly connectTimeoutMilliseconds: number;
  /**
   * A link is suspected lost when requests wait on it and nothing is received
   * for this long.
   */
  readonly silenceMilliseconds: number;
}

/** What a link needs. */
export interface LinkOptions extends HopNaming {
  readonly settings: LinkSettings;
  readonly now: () => number;
  readonly clock: LogicalClock;
  readonly depart: StampDeparture;
  /**
   * Called for each request that is sent again or fails because its link is
   * silent.
   */
  readonly onSilence: (address: Address, note: SilenceReport) => void;
  /** Called when the link takes no further requests. */
  readonly onClose: () => void;
}

/**
 * The path under which agents accept links. It changes with the format of the
 * messages, so that agents of incompatible releases refuse each other before
 * any request is sent.
 */
export const linkPath = "/-/links/3";

const messageKinds: ReadonlySet<ServerMessage["kind"]> = new Set([
  "answer",
  "failure",
]);

/** One link to an agent, whose connection may be replaced. */
export interface Link {
  send(
    outgoing: Pick<
      PendingRequest,
      "sequence" | "receiver" | "request" | "bytes"
    >,
  ): Promise<Result<ProxyAnswer, Failure>>;
  /** The number of requests that wait on it. */
  waiting(): number;
  /** Closes the link once no request waits on it. */
  close(): void;
}

/** Opens a link, which connects at once. */
export function openLink(address: Address, options: LinkOptions): Link {
  const { settings, now } = options;
  const pending = new Map<number, PendingRequest>();
  let connection = connect(address, settings);
  let lastReceivedAt = now();
  let timer: ReturnType<typeof setTimeout> | null = null;
  let closed = false;
  let retired = false;
  listen(connection);

  function listen(opened: Connection): void {
    const { socket } = opened;
    socket.on("open", () => {
      lastReceivedAt = now();
      for (const entry of pending.values()) transmit(entry);
    });
    socket.on("message", (data: Buffer) => receive(opened, data));
    socket.on("pong", () => lastReceivedAt = now());
    socket.on("error", () => fail(opened));
    socket.on("close", () => fail(opened));
  }

  function isOpen(): boolean {
    return connection.socket.readyState === WebSocket.OPEN;
  }

  function receive(from: Connection, data: Buffer): void {
    lastReceivedAt = now();
    const received = from.decode(data);
    if (received === null) {
      from.socket.terminate();
      return fail(from);
    }
    const { message } = received;
    options.clock.observe(message.clock);
    const entry = pending.get(message.hop.sequence);
    if (entry === undefined) return;
    const result = resultOf(entry, received);
    if (result !== null) entry.settle(result);
  }

  function transmit(entry: PendingRequest): void {
    entry.sentAt = now();
    const { socket, encode } = connection;
    const message = composeRequest(entry, options);
    socket.send(encode(message, entry.bytes), { binary: true });
  }

  /**
   * Closes the link, and fails every request that waits on it. Ignored for a
   * connection that has been replaced.
   */
  function fail(failed: Connection): void {
    if (failed !== connection || closed) return;
    closed = true;
    options.onClose();
    if (timer !== null) clearTimeout(timer);
    failed.socket.terminate();
    for (const entry of [...pending.values()]) {
      const sent = entry.sentAt > 0;
      entry.settle(Result.err(
        sent ? unknownOutcome("connection-lost") : notRun("target-unreachable"),
      ));
    }
  }

  /** Checks for silence as long as requests wait on the link. */
  function watch(): void {
    if (timer !== null || closed) return;
    timer = setTimeout(() => {
      timer = null;
      if (pending.size === 0 || closed) return;
      if (isOpen()) checkSilence();
      watch();
    }, settings.silenceMilliseconds / 2);
  }

  function checkSilence(): void {
    const silentFor = now() - Math.max(lastReceivedAt, oldestSentAt());
    if (silentFor >= settings.silenceMilliseconds) return compareWithNewLink();
    if (silentFor < settings.silenceMilliseconds / 3) return;
    connection.socket.ping();
  }

  function oldestSentAt(): number {
    const [first] = pending.values();
    return first?.sentAt ?? now();
  }

  let comparing = false;

  function compareWithNewLink(): void {
    if (comparing || retired) return;
    comparing = true;
    const suspectedAt = now();
    const other = connect(address, settings);
    other.socket.on("error", () => {
      comparing = false;
      if (lastReceivedAt < suspectedAt) retire();
    });
    other.socket.once("open", () => {
      comparing = false;
      if (closed || lastReceivedAt >= suspectedAt) {
        return other.socket.terminate();
      }
      replaceWith(other);
    });
  }

  /**
   * Takes the link out of use, since the agent does not respond. Idempotent
   * requests fail, so that they can be retried elsewhere; the others may still
   * be answered late.
   */
  function retire(): void {
    retired = true;
    options.onClose();
    for (const entry of [...pending.values()]) {
      if (!entry.request.idempotent) continue;
      reportSilence(entry, { found: "unreachable", follows: "fail" });
      cancel(entry);
      entry.settle(Result.err(unknownOutcome("connection-lost")));
    }
  }

  function reportSilence(
    { request, copy }: PendingRequest,
    decided: Pick<SilenceReport, "found" | "follows">,
  ): void {
    options.onSilence(address, { request: request.id, copy, ...decided });
  }

  function cancel(entry: PendingRequest): void {
    if (entry.sentAt === 0 || !isOpen()) return;
    const { socket, encode } = connection;
    const hop = hopOf(entry, options);
    socket.send(encode({ kind: "cancel", hop }), { binary: true });
  }

  function replaceWith(other: Connection): void {
    const silent = connection;
    connection = other;
    listen(other);
    lastReceivedAt = now();
    for (const entry of pending.values()) {
      reportSilence(entry, { found: "overtaken", follows: "copy" });
      entry.copy += 1;
      transmit(entry);
    }
    closeOnceConfirmed(silent.socket, other.socket);
  }

  /**
   * Closing a connection cancels the requests that run for it. So the former
   * connection is closed only when the agent has answered a ping on the later
   * one: by then it has received the copies that were sent there before.
   */
  function closeOnceConfirmed(former: WebSocket, later: WebSocket): void {
    const end = () => former.terminate();
    later.once("pong", end);
    later.once("close", end);
    later.ping();
  }

  return {
    send(outgoing) {
      const { sequence, request } = outgoing;
      if (request.signal.aborted) {
        return Promise.resolve(Result.err(notRun("caller-left")));
      }
      return new Promise((resolve) => {
        const entry: PendingRequest = {
          ...outgoing,
          copy: 1,
          sentAt: 0,
          settle(result) {
            pending.delete(sequence);
            if (retired && pending.size === 0) fail(connection);
            request.signal.removeEventListener("abort", abort);
            resolve(result);
          },
        };
        const abort = () => {
          const reason = reasonOfAbort({ request, now });
          const sent = entry.sentAt > 0;
          entry.settle(
            Result.err(sent ? unknownOutcome(reason) : notRun(reason)),
          );
          cancel(entry);
        };
        pending.set(sequence, entry);
        request.signal.addEventListener("abort", abort, { once: true });
        if (isOpen()) transmit(entry);
        watch();
      });
    },
    waiting: () => pending.size,
    close() {
      retired = true;
      if (pending.size === 0) fail(connection);
    },
  };
}

/** A connection, and the encodings of its two directions. */
interface Connection {
  readonly socket: WebSocket;
  readonly encode: EncodeMessage;
  readonly decode: DecodeMessage<ServerMessage>;
}

function connect(address: Address, settings: LinkSettings): Connection {
  const socket = new WebSocket(`ws://${address}${linkPath}`, {
    handshakeTimeout: settings.connectTimeoutMilliseconds,
    perMessageDeflate: false,
  });
  const decode = createDecoder<ServerMessage>(messageKinds);
  return { socket, encode: createEncoder(), decode };
}
