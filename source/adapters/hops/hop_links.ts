/**
 * Forwards requests to other agents over links: WebSockets that carry many
 * requests at a time. Requests with large bodies go to another forwarder, so
 * that they delay no other request on the link.
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
import { type Address, type AgentId, isAddress } from "../../core/agent.ts";
import {
  type Failure,
  notRun,
  unknownOutcome,
} from "../../core/request/outcome.ts";
import type { SilenceReport } from "../../core/request/silence.ts";
import type {
  Forwarder,
  ProxyAnswer,
  ProxyRequest,
} from "../../ports/upstream.ts";
import {
  createDecoder,
  createEncoder,
  type DecodeMessage,
  type EncodeMessage,
  type RequestMessage,
  type ServerMessage,
} from "./hop_messages.ts";
import {
  createHopSequence,
  type HopCopy,
  type HopSequence,
} from "./hop_deduplication.ts";
import type { LogicalClock } from "../logs/logical_clock.ts";
import { timeLeft } from "./time_left.ts";
import { isAnswerStatus } from "../targets/exchange.ts";
import type { StampDeparture } from "./transit.ts";

/** Settings of the links to all agents. */
export interface HopLinkSettings {
  readonly maxLinksPerAgent: number;
  /**
   * Another link to an agent is opened when this many requests wait on each of
   * its links. Not a bound: with the maximum of links, more may wait on each.
   */
  readonly requestsPerLink: number;
  readonly connectTimeoutMilliseconds: number;
  /**
   * A link is suspected lost when requests wait on it and nothing is received
   * for this long.
   */
  readonly silenceMilliseconds: number;
  /** Larger bodies, and streams, go to the forwarder for large bodies. */
  readonly longestBodyBytes: number;
}

/** What a forwarder over links needs. */
export interface HopLinksOptions {
  readonly settings: HopLinkSettings;
  readonly now: () => number;
  readonly clock: LogicalClock;
  /** The name of this set of links; no other sender ever has the same. */
  readonly sender: string;
  readonly depart: StampDeparture;
  /**
   * Called for each request that is sent again or fails because its link is
   * silent.
   */
  readonly onSilence: (address: Address, note: SilenceReport) => void;
  readonly largeBodyForwarder: Forwarder;
}

/**
 * The path under which agents accept links. It changes with the format of the
 * messages, so that agents of incompatible releases refuse each other before
 * any request is sent.
 */
export const linkPath = "/-/links/3";

type SettleRequest = (result: Result<ProxyAnswer, Failure>) => void;

/** A request that waits for its answer. */
interface PendingRequest {
  readonly sequence: number;
  /** The process that is expected at the address. */
  readonly receiver: AgentId;
  readonly request: ProxyRequest;
  readonly bytes: Uint8Array;
  /** The number of the latest copy, from 1. */
  copy: number;
  /** When the latest copy was sent; 0 before the first. */
  sentAt: number;
  readonly settle: SettleRequest;
}

/**
 * Agents with open links; beyond this number the links to the best recently
 * used agent are closed.
 */
const maxAgents = 256;
const messageKinds: ReadonlySet<ServerMessage["kind"]> = new Set([
  "answer",
  "failure",
]);

/**
 * Creates a forwarder over links, which are opened as requests need them.
 * Failures, also of the links themselves, are returned as errors.
 */
export function openHopLinks(options: HopLinksOptions): Forwarder {
  const { settings } = options;
  const agents = new Map<Address, Set<Link>>();
  const numbers = createHopSequence();

  function selectLink(address: Address): Link {
    const links = linksOf(address);
    let best: Link | null = null;
    for (const link of links) {
      if (best === null || link.waiting() < best.waiting()) best = link;
    }
    const full = best !== null &&
      best.waiting() >= settings.requestsPerLink;
    if (best !== null && (!full || links.size >= settings.maxLinksPerAgent)) {
      return best;
    }
    const link = openLink(address, {
      ...options,
      numbers,
      onClose: () => links.delete(link),
    });
    links.add(link);
    return link;
  }

  function linksOf(address: Address): Set<Link> {
    const links = agents.get(address) ?? new Set<Link>();
    agents.delete(address);
    agents.set(address, links);
    const [oldest] = agents;
    if (agents.size > maxAgents && oldest !== undefined) {
      agents.delete(oldest[0]);
      for (const link of oldest[1]) link.close();
    }
    return links;
  }

  return {
    async forward(address, request, { body, receiver }) {
      if (!isAddress(address)) return Result.err(notRun("target-unreachable"));
      const large = body.kind === "stream" ||
        body.bytes.length > settings.longestBodyBytes;
      if (large) {
        return await options.largeBodyForwarder.forward(address, request, {
          body,
          receiver,
        });
      }
      const sequence = numbers.allocate();
      const result = await selectLink(address).send({
        sequence,
        receiver,
        request,
        bytes: body.bytes,
      });
      numbers.settle(sequence);
      return result;
    },
    async close() {
      for (const links of agents.values()) {
        for (const link of links) link.close();
      }
      await options.largeBodyForwarder.close();
    },
  };
}

/** One link to an agent, whose connection may be replaced. */
interface Link {
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

function openLink(
  address: Address,
  options: HopLinksOptions & {
    readonly numbers: HopSequence;
    readonly onClose: () => void;
  },
): Link {
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

  function receive(from: Connection, data: Buffer): void {
    lastReceivedAt = now();
    const received = from.decode(data);
    if (received === null) return fail(connection);
    const { message, bytes } = received;
    options.clock.observe(message.clock);
    const entry = pending.get(message.hop.sequence);
    if (entry === undefined) return;
    if (message.kind === "failure") {
      // An earlier copy may have failed because the latest one replaced it.
      if (entry.copy !== message.hop.copy) return;
      // Agents of an earlier release leave the owner out.
      const { owner = null } = message.failure;
      const failure = { ...message.failure, owner };
      return entry.settle(
        Result.err(failureAfterCopies(entry, failure)),
      );
    }
    const { status, headers, load, slowness } = message;
    if (!isAnswerStatus(status)) {
      return entry.settle(Result.err(unknownOutcome("connection-lost")));
    }
    const body = { kind: "whole", bytes } as const;
    entry.settle(Result.ok({ status, headers, load, slowness, body }));
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

  function isOpen(): boolean {
    return connection.socket.readyState === WebSocket.OPEN;
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
          const late = now() >= request.deadlineAt;
          const reason = late ? "deadline-passed" : "caller-left";
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

function connect(address: Address, settings: HopLinkSettings): Connection {
  const socket = new WebSocket(`ws://${address}${linkPath}`, {
    handshakeTimeout: settings.connectTimeoutMilliseconds,
    perMessageDeflate: false,
  });
  const decode = createDecoder<ServerMessage>(messageKinds);
  return { socket, encode: createEncoder(), decode };
}

/** What the identity of a copy is made from, besides its request. */
interface HopNaming {
  readonly sender: string;
  readonly numbers: HopSequence;
}

function hopOf(entry: PendingRequest, options: HopNaming): HopCopy {
  const { sequence, receiver, copy } = entry;
  const settledBelow = options.numbers.settledBelow();
  return { sender: options.sender, receiver, sequence, copy, settledBelow };
}

function composeRequest(
  entry: PendingRequest,
  options: HopNaming & {
    readonly clock: LogicalClock;
    readonly depart: StampDeparture;
  },
): RequestMessage {
  const { request, sentAt } = entry;
  const { method, path, authority, headers, service, key, rank } = request;
  const { account } = request;
  return {
    kind: "request",
    hop: hopOf(entry, options),
    clock: options.clock.next(),
    departure: options.depart(),
    request: {
      id: request.id,
      method,
      path,
      authority,
      headers,
      service,
      key,
      rank,
      idempotent: request.idempotent,
      ...(account === undefined ? {} : { account }),
    },
    ...timeLeft(request, sentAt),
  };
}

/** The outcome is unknown after several copies: an earlier one may have run. */
function failureAfterCopies(
  entry: PendingRequest,
  failure: Failure,
): Failure {
  return entry.copy === 1 ? failure : unknownOutcome(failure.reason);
}
