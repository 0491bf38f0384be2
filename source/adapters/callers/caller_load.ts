/**
 * Bounds what callers make the process hold: connections, requests and answers
 * that they don't read. Carries out what `held_memory.ts` decides.
 *
 * @module
 */
import type { IncomingMessage, Server, ServerResponse } from "node:http";
import type { Socket } from "node:net";
import {
  bytesHeldBy,
  connectionToClose,
  type HeldMemoryBounds,
  type HeldMemoryEffect,
  type HeldMemoryEvent,
  isRefusedTooOften,
  nothingHeld,
  reasonNotToStart,
  stepHeldMemory,
} from "../../core/load/held_memory.ts";
import type { Events } from "../../ports/events.ts";
import type { Metrics } from "../../ports/metrics.ts";
import { hasBody, memoryOfMessage } from "./message_memory.ts";

/** Bounds of what callers make a process hold. */
export interface CallerBounds extends HeldMemoryBounds {
  readonly maxConnections: number;
  /** A connection of which nothing is read for so long is closed. */
  readonly maxUnreadMilliseconds: number;
}

/** What bounding callers needs. */
export interface CallerLoadOptions {
  readonly bounds: CallerBounds;
  readonly events: Events;
  readonly metrics: Metrics;
  /** Called with the bytes of each request and each answer. */
  readonly countPassedBytes: (bytes: number) => void;
}

/** What is held for callers. */
export interface CallerLoad {
  /** Counts a request that has been read; false if it is not to be run. */
  read(response: ServerResponse, maxKeptBytes: number): boolean;
  /**
   * Resolves when the request may run or is given up; with false if it is not
   * to be run, since requests that take much memory run already.
   */
  start(response: ServerResponse, signal: AbortSignal): Promise<boolean>;
  /** Notes that a request that was started has failed. */
  fail(response: ServerResponse): void;
  /** Counts an answer until it has been taken. */
  hold(response: ServerResponse, bytes: number): void;
}

/** A connection. */
interface Entry {
  readonly connection: number;
  readonly socket: Socket;
  /** Responses that are not finished, with what is held for them. */
  readonly responses: Map<ServerResponse, Held>;
  /** The request that was read last. */
  latest: IncomingMessage | null;
  stopped: boolean;
  /**
   * Requests refused since the last answer that were sent before earlier ones
   * were answered.
   */
  refusedAhead: number;
  /** Requests that have been read and are not started yet. */
  waiting: readonly Waiting[];
}

interface Waiting {
  readonly response: ServerResponse;
  /** Starts the request, or refuses it if it may not run. */
  readonly settle: (mayRun: boolean) => void;
}

interface Held {
  readonly requestBytes: number;
  /** Whether it was read before earlier ones were answered. */
  readonly ahead: boolean;
  answerBytes: number;
  /** Whether the request is running. */
  started: boolean;
}

/** How long a request waits for memory to run before it is refused. */
const startCheckMilliseconds = 100;

/** Bounds what the callers of a server make this process hold. */
export function boundCallers(
  server: Server,
  { bounds, events, metrics, countPassedBytes }: CallerLoadOptions,
): CallerLoad {
  const entries = new Map<number, Entry>();
  const bySocket = new WeakMap<Socket, Entry>();
  /** The connections with requests that are not started yet. */
  const waiting = new Set<Entry>();
  /** Connections on which reading is to resume, in this order. */
  const toReadOn = new Set<Entry>();
  let held = nothingHeld;
  let connections = 0;

  function accept(socket: Socket): Entry {
    connections += 1;
    const entry: Entry = {
      connection: connections,
      socket,
      responses: new Map(),
      latest: null,
      stopped: false,
      refusedAhead: 0,
      waiting: [],
    };
    entries.set(entry.connection, entry);
    bySocket.set(socket, entry);
    socket.once("close", () => {
      entries.delete(entry.connection);
      toReadOn.delete(entry);
      apply({ kind: "closed", connection: entry.connection });
      startWaiting();
    });
    // Reading the body of a request resumes its connection.
    socket.on("resume", () => pauseIfStopped(entry));
    return entry;
  }

  server.on("connection", (socket: Socket) => {
    accept(socket);
    if (entries.size <= bounds.maxConnections) return;
    const open = [...entries.values()].map(({ connection, responses }) => ({
      connection,
      busy: responses.size > 0,
    }));
    const closed = connectionToClose(open);
    if (closed !== null) close(closed, "too-many-connections");
  });
  server.timeout = bounds.maxUnreadMilliseconds;
  // With a listener the server does not close connections that time out.
  server.on("timeout", (socket: Socket) => {
    const entry = bySocket.get(socket);
    const [first] = entry?.responses.values() ?? [];
    if (entry === undefined || first === undefined) {
      // Idle after an answer; a new connection has the time for its head.
      if (socket.timeout !== server.timeout) socket.destroy();
    } else if (first.answerBytes > 0 && socket.writableLength > 0) {
      // A target that sends the next part of an answer late is not counted.
      close(entry.connection, "answer-unread");
    }
  });

  function apply(event: HeldMemoryEvent): readonly HeldMemoryEffect[] {
    const before = held;
    const { state, effects } = stepHeldMemory(held, event, bounds);
    held = state;
    for (const effect of effects) {
      const entry = entries.get(effect.connection);
      if (entry === undefined) continue;
      if (effect.kind === "close") {
        close(effect.connection, "memory-full", before.totalBytes);
      } else if (effect.kind === "stop-reading") {
        metrics.count("caller_reads_stopped");
        entry.stopped = true;
        pauseIfStopped(entry);
      } else if (effect.kind === "read-on") {
        entry.stopped = false;
        readOn(entry);
      }
    }
    return effects;
  }

  function close(
    connection: number,
    reason: string,
    totalBytes = held.totalBytes,
  ): void {
    const entry = entries.get(connection);
    if (entry === undefined) return;
    metrics.count("caller_connections_closed", { reason });
    events.record("caller-connection-closed", {
      reason,
      unanswered: entry.responses.size,
      heldBytes: sum(entry),
      totalBytes,
      connections: entries.size,
    });
    // After an ordinary close, the system keeps what it has to send.
    if (holdsAnswer(entry)) entry.socket.resetAndDestroy();
    else entry.socket.destroy();
  }

  /**
   * Reads on from one connection in each turn of the event loop. If all were
   * read on from at once, a turn would take as long as all their next requests,
   * and those of ordinary clients would wait for it.
   */
  function readOn(entry: Entry): void {
    if (toReadOn.size === 0) setImmediate(readOnNext);
    toReadOn.add(entry);
  }

  function readOnNext(): void {
    const [entry] = toReadOn;
    if (entry === undefined) return;
    toReadOn.delete(entry);
    if (toReadOn.size > 0) setImmediate(readOnNext);
    if (!entry.stopped) entry.socket.resume();
  }

  /** Stops reading once the rest of the request that is read now has come. */
  function pauseIfStopped(entry: Entry): void {
    if (!entry.stopped) return;
    const { latest } = entry;
    if (latest !== null && !latest.complete && hasBody(latest)) {
      latest.once("close", () => pauseIfStopped(entry));
      return;
    }
    entry.socket.pause();
  }

  /** Starts the requests of each connection that may start now, in order. */
  function startWaiting(): void {
    for (const entry of waiting) {
      for (const { response, settle } of entry.waiting) {
        const gone = entry.socket.destroyed;
        if (!gone && reasonToWait(entry, response) !== null) break;
        settle(true);
      }
    }
  }

  function reasonToWait(entry: Entry, response: ServerResponse) {
    const { connection } = entry;
    const bytes = entry.responses.get(response)?.requestBytes ?? 0;
    return reasonNotToStart(held, { connection, bytes }, bounds);
  }

  function start(entry: Entry, response: ServerResponse): void {
    const started = entry.responses.get(response);
    if (started === undefined || entry.socket.destroyed) return;
    started.started = true;
    const { connection } = entry;
    const { requestBytes: bytes } = started;
    apply({ kind: "request-started", connection, bytes });
  }

  function end(entry: Entry, response: ServerResponse): void {
    const ended = entry.responses.get(response);
    if (ended === undefined || !ended.started) return;
    ended.started = false;
    const { connection } = entry;
    const { requestBytes: bytes } = ended;
    apply({ kind: "request-ended", connection, bytes });
  }

  /** Waits until a request may start; false when it is to be refused. */
  function waitForStart(
    entry: Entry,
    response: ServerResponse,
    signal: AbortSignal,
  ): Promise<boolean> {
    return new Promise((resolve) => {
      const settle = (mayRun: boolean) => {
        clearInterval(timer);
        signal.removeEventListener("abort", giveUp);
        entry.waiting = entry.waiting.filter((other) => other !== own);
        if (entry.waiting.length === 0) waiting.delete(entry);
        if (mayRun && !signal.aborted) start(entry, response);
        resolve(mayRun);
      };
      // What has been given up is not run by the handler.
      const giveUp = () => settle(true);
      const timer = setInterval(() => {
        if (reasonToWait(entry, response) === "memory-full") settle(false);
      }, startCheckMilliseconds);
      const own = { response, settle };
      entry.waiting = [...entry.waiting, own];
      waiting.add(entry);
      signal.addEventListener("abort", giveUp, { once: true });
    });
  }

  function release(entry: Entry, response: ServerResponse): void {
    end(entry, response);
    const released = entry.responses.get(response);
    if (released === undefined) return;
    entry.responses.delete(response);
    const { connection } = entry;
    const { requestBytes, answerBytes } = released;
    const sent = response.writableFinished;
    apply({ kind: "released", connection, requestBytes, answerBytes, sent });
    startWaiting();
  }

  /** Records that a request is not run for lack of memory. */
  function recordRefused(entry: Entry, bytes: number): void {
    metrics.count("caller_requests_refused");
    events.record("caller-request-refused", {
      reason: "memory-full",
      bytes,
      heldBytes: bytesHeldBy(held, entry.connection),
      startedBytes: held.startedBytes,
      totalBytes: held.totalBytes,
      connections: entries.size,
    });
  }

  /** Closes a connection that sends on however often it is refused. */
  function closeIfRefusedOften(entry: Entry, ahead: boolean): void {
    if (!ahead) return;
    entry.refusedAhead += 1;
    if (!isRefusedTooOften(entry.refusedAhead)) return;
    close(entry.connection, "refused-repeatedly");
  }

  return {
    read(response, maxKeptBytes) {
      const { req: message } = response;
      // What was read together with the request that had it closed.
      if (message.socket.destroyed) return false;
      const entry = bySocket.get(message.socket) ?? accept(message.socket);
      entry.latest = message;
      const bytes = memoryOfMessage(message, maxKeptBytes);
      const { connection } = entry;
      countPassedBytes(bytes);
      const effects = apply({ kind: "request-read", connection, bytes });
      const refused = effects.some(({ kind }) => kind === "refuse");
      const ahead = entry.responses.size > 0;
      entry.responses.set(response, {
        requestBytes: refused ? 0 : bytes,
        ahead,
        answerBytes: 0,
        started: false,
      });
      response.once("close", () => release(entry, response));
      if (!refused) return true;
      // Its answer may wait for others, and must hold little meanwhile.
      message.rawHeaders = [];
      recordRefused(entry, bytes);
      closeIfRefusedOften(entry, ahead);
      return false;
    },
    async start(response, signal) {
      const entry = bySocket.get(response.req.socket);
      if (entry === undefined || entry.socket.destroyed) return true;
      // Given up while its body was read: the handler does not run it.
      if (signal.aborted) return true;
      const first = entry.waiting.length === 0;
      if (first && reasonToWait(entry, response) === null) {
        start(entry, response);
        return true;
      }
      const mayRun = await waitForStart(entry, response, signal);
      const refused = mayRun ? undefined : entry.responses.get(response);
      if (refused !== undefined) {
        recordRefused(entry, refused.requestBytes);
        closeIfRefusedOften(entry, refused.ahead);
      }
      return mayRun;
    },
    fail(response) {
      const entry = bySocket.get(response.req.socket);
      if (entry === undefined) return;
      end(entry, response);
      startWaiting();
    },
    hold(response, bytes) {
      const entry = bySocket.get(response.req.socket);
      const former = entry?.responses.get(response);
      if (entry === undefined || former === undefined) return;
      // What is held for a connection has been released with it.
      if (entry.socket.destroyed) return;
      countPassedBytes(bytes);
      end(entry, response);
      entry.refusedAhead = 0;
      former.answerBytes += bytes;
      apply({ kind: "answer-held", connection: entry.connection, bytes });
      startWaiting();
    },
  };
}

function sum(entry: Entry): number {
  return [...entry.responses.values()].reduce(
    (bytes, held) => bytes + held.requestBytes + held.answerBytes,
    0,
  );
}

function holdsAnswer({ responses }: Entry): boolean {
  return [...responses.values()].some(({ answerBytes }) => answerBytes > 0);
}
