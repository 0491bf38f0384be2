/**
 * Sends requests on to other agents over links: WebSockets that carry many
 * requests at a time. A large body goes by itself, so that it holds up no
 * other request.
 *
 * A link that says nothing is compared with a new one to the same agent:
 * - the new one opens and the old one stays silent: its connection is lost, and
 *   what waits on it is sent once more, as later copies of the same requests;
 * - the old one speaks again: the agent was only slow, nothing is sent twice;
 * - neither: the agent does not respond, and what waits on it has failed.
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
  decodeMessage,
  encodeMessage,
  type RequestMessage,
  type ServerMessage,
} from "./hop_messages.ts";
import {
  type HopCopy,
  type HopNumbers,
  startHopNumbers,
} from "./hop_ledger.ts";
import type { LogicalClock } from "../logs/logical_clock.ts";
import { timeLeft } from "./time_left.ts";
import type { Depart } from "./transit.ts";

/** Settings of links. */
export interface HopLinkSettings {
  /** Most links to one agent. */
  readonly linksPerAgent: number;
  /** Requests that wait on a link before another one is opened. */
  readonly requestsPerLink: number;
  readonly connectTimeoutMilliseconds: number;
  /** A link is doubted when requests wait and it says nothing for so long. */
  readonly silenceMilliseconds: number;
  /** A larger body does not go over a link. */
  readonly longestBodyBytes: number;
}

/** What links need. */
export interface HopLinksOptions {
  readonly settings: HopLinkSettings;
  readonly now: () => number;
  readonly clock: LogicalClock;
  /** Names these links among all senders; never used again. */
  readonly sender: string;
  readonly depart: Depart;
  /** Called for each request that is sent once more, or tried elsewhere. */
  readonly onSilence: (address: Address, note: SilenceReport) => void;
  /** Takes requests with large bodies. */
  readonly large: Forwarder;
}

/**
 * The path under which agents accept links; it changes with the messages, so
 * that agents of two releases refuse each other before anything is sent.
 */
export const linkPath = "/-/links/2";

type Settle = (result: Result<ProxyAnswer, Failure>) => void;

/** A request that waits for its answer. */
interface Pending {
  readonly sequence: number;
  /** The process that is believed to be at the other end. */
  readonly receiver: AgentId;
  readonly request: ProxyRequest;
  readonly bytes: Uint8Array;
  /** Counts from 1. */
  copy: number;
  /** Of the latest copy; 0 while none was sent. */
  sentAt: number;
  readonly settle: Settle;
}

/** Most agents with open links; the one used least lately is closed. */
const mostAgents = 256;
const kinds: ReadonlySet<ServerMessage["kind"]> = new Set([
  "answer",
  "failure",
]);

/** Opens links as requests need them. */
export function openHopLinks(options: HopLinksOptions): Forwarder {
  const { settings } = options;
  const agents = new Map<Address, Set<Link>>();
  const numbers = startHopNumbers();

  function linkTo(address: Address): Link {
    const links = linksOf(address);
    let best: Link | null = null;
    for (const link of links) {
      if (best === null || link.waiting() < best.waiting()) best = link;
    }
    const full = best !== null && best.waiting() >= settings.requestsPerLink;
    if (best !== null && (!full || links.size >= settings.linksPerAgent)) {
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
    if (agents.size > mostAgents && oldest !== undefined) {
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
        return await options.large.forward(address, request, {
          body,
          receiver,
        });
      }
      const sequence = numbers.begin();
      const result = await linkTo(address).send({
        sequence,
        receiver,
        request,
        bytes: body.bytes,
      });
      numbers.end(sequence);
      return result;
    },
    async close() {
      for (const links of agents.values()) {
        for (const link of links) link.close();
      }
      await options.large.close();
    },
  };
}

interface Link {
  send(
    outgoing: Pick<Pending, "sequence" | "receiver" | "request" | "bytes">,
  ): Promise<Result<ProxyAnswer, Failure>>;
  waiting(): number;
  /** Ends the link once nothing waits on it any more. */
  close(): void;
}

function openLink(
  address: Address,
  options: HopLinksOptions & {
    readonly numbers: HopNumbers;
    readonly onClose: () => void;
  },
): Link {
  const { settings, now } = options;
  const pending = new Map<number, Pending>();
  let socket = connect(address, settings);
  let heardAt = now();
  let timer: ReturnType<typeof setTimeout> | null = null;
  let closed = false;
  let retired = false;
  listen(socket);

  function listen(opened: WebSocket): void {
    opened.on("open", () => {
      heardAt = now();
      for (const entry of pending.values()) transmit(entry);
    });
    opened.on("message", (data: Buffer) => hear(data));
    opened.on("pong", () => heardAt = now());
    opened.on("error", () => fail(opened));
    opened.on("close", () => fail(opened));
  }

  function hear(data: Buffer): void {
    heardAt = now();
    const received = decodeMessage<ServerMessage>(data, kinds);
    if (received === null) return fail(socket);
    const { message, bytes } = received;
    options.clock.observe(message.clock);
    const entry = pending.get(message.hop.sequence);
    if (entry === undefined) return;
    if (message.kind === "failure") {
      // An earlier copy may have failed for the sake of the latest.
      if (entry.copy !== message.hop.copy) return;
      // An agent of an earlier release names no owner.
      const { owner = null } = message.failure;
      const failure = { ...message.failure, owner };
      return entry.settle(Result.err(afterCopies(entry, failure)));
    }
    const { status, headers, load } = message;
    const body = { kind: "whole", bytes } as const;
    entry.settle(Result.ok({ status, headers, load, body }));
  }

  function transmit(entry: Pending): void {
    entry.sentAt = now();
    const message = composeRequest(entry, options);
    socket.send(encodeMessage(message, entry.bytes), { binary: true });
  }

  /** Nothing more comes over this connection, nor over another one. */
  function fail(failed: WebSocket): void {
    if (failed !== socket || closed) return;
    closed = true;
    options.onClose();
    if (timer !== null) clearTimeout(timer);
    socket.terminate();
    for (const entry of [...pending.values()]) {
      const sent = entry.sentAt > 0;
      entry.settle(Result.err(
        sent ? unknownOutcome("connection-lost") : notRun("target-unreachable"),
      ));
    }
  }

  /** Time matters only while requests wait; a link without any sleeps. */
  function watch(): void {
    if (timer !== null || closed) return;
    timer = setTimeout(() => {
      timer = null;
      if (pending.size === 0 || closed) return;
      if (socket.readyState === socket.OPEN) checkSilence();
      watch();
    }, settings.silenceMilliseconds / 2);
  }

  function checkSilence(): void {
    const silentFor = now() - Math.max(heardAt, firstSentAt());
    if (silentFor >= settings.silenceMilliseconds) return compareWithNew();
    if (silentFor >= settings.silenceMilliseconds / 3) socket.ping();
  }

  function firstSentAt(): number {
    const [first] = pending.values();
    return first?.sentAt ?? now();
  }

  let comparing = false;

  function compareWithNew(): void {
    if (comparing || retired) return;
    comparing = true;
    const doubtedAt = now();
    const other = connect(address, settings);
    other.on("error", () => {
      comparing = false;
      if (heardAt < doubtedAt) retire();
    });
    other.once("open", () => {
      comparing = false;
      if (closed || heardAt >= doubtedAt) return other.terminate();
      replaceWith(other);
    });
  }

  /**
   * The agent does not respond. What may be repeated elsewhere has failed; the
   * rest may still be answered, if only late.
   */
  function retire(): void {
    retired = true;
    options.onClose();
    for (const entry of [...pending.values()]) {
      if (!entry.request.idempotent) continue;
      noteSilence(entry, { found: "unreachable", follows: "fail" });
      cancel(entry);
      entry.settle(Result.err(unknownOutcome("connection-lost")));
    }
  }

  function noteSilence(
    { request, copy }: Pending,
    decided: Pick<SilenceReport, "found" | "follows">,
  ): void {
    options.onSilence(address, { request: request.id, copy, ...decided });
  }

  function cancel(entry: Pending): void {
    if (entry.sentAt === 0 || socket.readyState !== socket.OPEN) return;
    const hop = nameCopy(entry, options);
    socket.send(encodeMessage({ kind: "cancel", hop }), { binary: true });
  }

  function replaceWith(other: WebSocket): void {
    const silent = socket;
    socket = other;
    listen(other);
    heardAt = now();
    for (const entry of pending.values()) {
      noteSilence(entry, { found: "overtaken", follows: "copy" });
      entry.copy += 1;
      transmit(entry);
    }
    endOnceHeard(silent, other);
  }

  /**
   * The end of a link ends what runs for it. So the former one ends when the
   * agent has been heard on the new one, and has taken the copies before that.
   */
  function endOnceHeard(former: WebSocket, later: WebSocket): void {
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
        const entry: Pending = {
          ...outgoing,
          copy: 1,
          sentAt: 0,
          settle(result) {
            pending.delete(sequence);
            if (retired && pending.size === 0) fail(socket);
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
        if (socket.readyState === socket.OPEN) transmit(entry);
        watch();
      });
    },
    waiting: () => pending.size,
    close() {
      retired = true;
      if (pending.size === 0) fail(socket);
    },
  };
}

function connect(address: Address, settings: HopLinkSettings): WebSocket {
  return new WebSocket(`ws://${address}${linkPath}`, {
    handshakeTimeout: settings.connectTimeoutMilliseconds,
    perMessageDeflate: false,
  });
}

interface NamingOptions {
  readonly sender: string;
  readonly numbers: HopNumbers;
}

function nameCopy(entry: Pending, options: NamingOptions): HopCopy {
  const { sequence, receiver, copy } = entry;
  const settledBelow = options.numbers.settledBelow();
  return { sender: options.sender, receiver, sequence, copy, settledBelow };
}

function composeRequest(
  entry: Pending,
  options: NamingOptions & {
    readonly clock: LogicalClock;
    readonly depart: Depart;
  },
): RequestMessage {
  const { request, sentAt } = entry;
  const { method, path, authority, headers, service, key, rank } = request;
  return {
    kind: "request",
    hop: nameCopy(entry, options),
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
    },
    ...timeLeft(request, sentAt),
  };
}

/** An earlier copy may have run, whatever became of the latest one. */
function afterCopies(entry: Pending, failure: Failure): Failure {
  return entry.copy === 1 ? failure : unknownOutcome(failure.reason);
}
