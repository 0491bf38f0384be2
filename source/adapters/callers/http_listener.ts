/**
 * HTTP listeners for callers and agents: reads requests, passes them to a
 * handler, and writes the answers. An answer that cannot be completed ends with
 * its connection.
 *
 * @module
 */
import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from "node:http";
import { type AddressInfo, Server as NetServer, type Socket } from "node:net";
import { Result } from "true-myth";
import type { AgentId } from "../../core/agent.ts";
import type { Configuration } from "../../core/document/document.ts";
import { type Failure, notRun } from "../../core/request/outcome.ts";
import type { Body, ProxyAnswer, ProxyRequest } from "../../ports/upstream.ts";
import {
  type PageContent,
  refuseInvalidHttp,
  writeAnswer,
  type WriteContext,
  writeFailure,
  writeFailureImmediately,
  writePage,
} from "./answer_writer.ts";
import {
  type CallerProtocol,
  productCallerProtocol,
} from "./caller_protocol.ts";
import { trackCallerConnections } from "./caller_connections.ts";
import { boundCallers, type CallerLoadOptions } from "./caller_load.ts";
import { fields, firstValue } from "../headers.ts";
import {
  createHopProgressTracker,
  formatProgress,
  progressPath,
} from "../hops/hop_progress.ts";
import {
  createCancelController,
  createHopCancellations,
} from "../hops/hop_cancellations.ts";
import {
  type AbandonedRequest,
  type ReceivedCopy,
  runReceivedCopy,
  startIfWanted,
} from "../hops/request_start.ts";
import {
  createHopDeduplicator,
  entryOf,
  type HopCopy,
  parseHop,
} from "../hops/hop_deduplication.ts";
import type { LogicalClock } from "../logs/logical_clock.ts";
import type { PendingInputGate } from "./pending_input.ts";
import {
  defaultMaxKeptBytes,
  readBody,
  readForwardedRequest,
} from "./request_reader.ts";
import { discardAfterAnswer } from "./unread_body.ts";
import { compileRoutes, type MatchRoute } from "./route_matcher.ts";
import {
  type ArrivalReport,
  type MeasureTransitDelay,
  parseDeparture,
} from "../hops/transit.ts";

/** Handles a request until it has an answer or has failed. */
export type HandleRequest = (
  request: ProxyRequest,
  options: { readonly body: Body },
) => Promise<Result<ProxyAnswer, Failure>>;

/** An open HTTP listener. */
export interface HttpListener {
  readonly server: Server;
  readonly port: number;
  /**
   * Accepts no more connections, and closes each connection after the answer
   * to the last request that was read on it.
   */
  drain(): void;
  /**
   * Closes the connections without unanswered requests. Closes none while an
   * answer is still being sent on any connection.
   */
  closeIdle(): void;
  /** Number of requests that were read and whose answers are not yet sent. */
  unanswered(): number;
  /** Closes the listener and all connections at once. */
  close(): void;
}

/** Whose requests a listener accepts. */
export type ListenerKind = "callers" | "agents";

/** Renders a page for operators. */
export type OperatorPage = () => Promise<PageContent>;

/** Options of {@link openHttpListener}. */
export interface HttpListenerOptions {
  /** Id of the agent of this process. */
  readonly agent: AgentId;
  readonly kind: ListenerKind;
  readonly host: string;
  readonly port: number;
  readonly configuration: () => Configuration;
  readonly handle: HandleRequest;
  /** Pages for operators, by path. */
  readonly pages: ReadonlyMap<string, OperatorPage>;
  /** The monotonic clock, in milliseconds. */
  readonly now: () => number;
  /** Measures the transit delay of requests forwarded by other agents. */
  readonly measureTransitDelay: MeasureTransitDelay;
  /** Called for each request that was received completely from another agent. */
  readonly onArrival: (note: ArrivalReport) => void;
  /** Delays new work until pending socket input has been read. */
  readonly pendingInput: PendingInputGate;
  /** Called for each request whose caller had left before it was started. */
  readonly onAbandoned: (note: AbandonedRequest) => void;
  /** Orders events by cause and effect across agents. */
  readonly clock: LogicalClock;
  /** Upper bound of the header fields of a request, in bytes. */
  readonly maxHeaderBytes: number;
  /** Protocol of the callers; defaults to the product's own. */
  readonly callerProtocol?: CallerProtocol;
  /** Bodies up to this size are buffered, so that they can be sent again. */
  readonly maxRetainedBodyBytes?: number;
  /** Bounds what callers make this process hold; when left out, nothing does. */
  readonly callerLoad?: CallerLoadOptions;
}

/** Longer than other agents keep an idle connection to this one open. */
const keepAliveMilliseconds = 65_000;
/** Unanswered requests allowed on one connection. */
const maxPipelined = 256;
/** After the deadline, the refusal of the next hop is awaited this long. */
const deadlineGraceMilliseconds = 20;
/** An answer started before the deadline may end this much after it. */
const answerGraceMilliseconds = 250;

/** A copy of a forwarded request whose body may be incomplete. */
type IncomingCopy = Pick<ReceivedCopy, "hop" | "lateMilliseconds">;

/** Opens a listener; returns an error message when it cannot be opened. */
export function openHttpListener(
  options: HttpListenerOptions,
): Promise<Result<HttpListener, string>> {
  const routes = cachedRoutes();
  const hops = createHopDeduplicator(options.agent);
  const cancels = createHopCancellations();
  const arrivals = createHopProgressTracker();
  const callers = trackCallerConnections();
  const protocol = options.callerProtocol ?? productCallerProtocol;
  const read = options.kind === "callers"
    ? protocol.read
    : readForwardedRequest;
  const closingSockets = new WeakSet<Socket>();
  const writeContext: WriteContext = {
    protocol,
    beforeHead: closeAfterLast,
  };
  let draining = false;
  const server = createServer(
    { maxHeaderSize: options.maxHeaderBytes },
    (message, response) => {
      // The answer before it closes the connection.
      if (closingSockets.has(message.socket)) return;
      discardAfterAnswer(response);
      void answer(message, response);
    },
  );
  // By default, header lines beyond 2,000 are dropped without a word.
  server.maxHeadersCount = 0;
  server.keepAliveTimeout = keepAliveMilliseconds;
  server.requestTimeout = 0;
  server.on("clientError", refuseInvalidHttp);
  const load = options.callerLoad === undefined
    ? null
    : boundCallers(server, options.callerLoad);
  const maxKeptBytes = options.maxRetainedBodyBytes ?? defaultMaxKeptBytes;

  /**
   * Announces, while draining, that the connection closes after this answer.
   * Does nothing if other answers have to follow or part of the request is
   * unread: closing a connection with unread bytes resets it, and the answer
   * could be lost.
   */
  function closeAfterLast(response: ServerResponse): void {
    if (!draining) return;
    const { req: message } = response;
    if (!message.complete || !callers.isLast(response)) return;
    closingSockets.add(message.socket);
    response.setHeader("connection", "close");
  }

  async function answer(
    message: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const page = options.pages.get(message.url ?? "");
    if (page !== undefined) return writePage(response, await page());
    if (load?.read(response, maxKeptBytes) === false) {
      const failure = notRun("memory-full");
      return writeFailureImmediately(
        response,
        { failure, text: "", id: "" },
        writeContext,
      );
    }
    const name = options.kind === "agents"
      ? firstValue(message.headers, fields.hop)
      : null;
    const hop = parseHop(name);
    if (hop === null && name !== null) return refuseHop(response, writeContext);
    if (hop !== null && message.url === progressPath) {
      return reportProgress(response, hop);
    }
    const cancel = hop === null
      ? createCancelController()
      : cancels.acquire(hop);
    if (hop !== null) {
      response.once("close", () => cancels.release(hop));
      cancel.signal.addEventListener("abort", () => destroyIncomplete(message));
    }
    callers.onDisconnect({ response, socket: message.socket }, () => {
      if (hop === null || !hops.isSuperseded(hop)) cancel.abort();
    });
    if (callers.unanswered(message.socket) > maxPipelined) {
      const failure = notRun("queue-full");
      return writeFailureImmediately(
        response,
        { failure, text: "", id: "" },
        writeContext,
      );
    }
    const configuration = options.configuration();
    const lateMilliseconds = transitDelayOf(message, options);
    const request = read(message, {
      configuration,
      matchRoute: routes(configuration),
      signal: cancel.signal,
      arrivedAt: options.now() - lateMilliseconds,
    });
    if (options.kind === "agents") observeClock(message, options);
    if (request.isErr) {
      const { reason, message: text } = request.error;
      return writeFailure(response, {
        failure: notRun(reason),
        text,
        id: "",
      }, writeContext);
    }
    const arrival = hop === null ? null : { hop, lateMilliseconds };
    await handle(message, {
      response,
      cancel,
      request: hop === null
        ? request.value
        : { ...request.value, entry: entryOf(hop) },
      arrival,
    });
  }

  async function handle(
    message: IncomingMessage,
    context: {
      readonly response: ServerResponse;
      readonly cancel: AbortController;
      readonly request: ProxyRequest;
      readonly arrival: IncomingCopy | null;
    },
  ): Promise<void> {
    const { response, cancel, request, arrival } = context;
    const grace = options.kind === "callers" ? deadlineGraceMilliseconds : 0;
    const timer = setTimeout(
      () => cancel.abort(),
      request.deadlineAt - options.now() + grace,
    );
    const markComplete = arrival === null
      ? null
      : arrivals.track(arrival.hop, { message, response });
    const body = await readBody(message, {
      maxBytes: request.longestBodyBytes,
      maxKeptBytes,
    });
    markComplete?.();
    if (await load?.start(response, cancel.signal) === false) {
      clearTimeout(timer);
      const failure = notRun("memory-full");
      return writeFailure(
        response,
        { failure, id: request.id, text: "" },
        writeContext,
      );
    }
    const result = body === null
      ? Result.err<ProxyAnswer, Failure>(notRun("caller-left"))
      : await handleOnce(request, { body, arrival });
    if (result === null) {
      clearTimeout(timer);
      return void response.destroy();
    }
    if (result.isErr) {
      clearTimeout(timer);
      load?.fail(response);
      setClockField(response);
      const { id } = request;
      return writeFailure(
        response,
        { failure: result.error, id, text: "" },
        writeContext,
      );
    }
    clearTimeout(timer);
    if (result.value.body.kind === "stream") {
      const last = setTimeout(
        () => cancel.abort(),
        request.deadlineAt - options.now() + answerGraceMilliseconds,
      );
      response.on("close", () => clearTimeout(last));
    }
    setClockField(response);
    load?.hold(response, heldBytes(result.value));
    writeAnswer(response, {
      answer: result.value,
      headers: protocol.answerHeaders(result.value, request.id),
      signal: cancel.signal,
    }, writeContext);
  }

  function reportProgress(response: ServerResponse, hop: HopCopy): void {
    const fate = hops.fateOf(hop);
    const started = fate === "joins" || fate === "settled";
    const state = { kind: started ? "answered" : "unseen" } as const;
    response.setHeader("content-type", "text/plain");
    response.end(formatProgress(arrivals.progressOf(hop) ?? state));
  }

  function handleOnce(
    request: ProxyRequest,
    context: { readonly body: Body; readonly arrival: IncomingCopy | null },
  ): Promise<Result<ProxyAnswer, Failure> | null> {
    const { body, arrival } = context;
    const start = () =>
      startIfWanted(request, {
        ...options,
        start: () => options.handle(request, { body }),
      });
    if (arrival === null) return start();
    const expired = options.now() >= request.deadlineAt;
    return runReceivedCopy({ ...arrival, request: request.id, expired }, {
      deduplicator: hops,
      onArrival: options.onArrival,
      start,
    });
  }

  function setClockField(response: ServerResponse): void {
    if (options.kind === "callers" || response.destroyed) return;
    response.setHeader(fields.clock, String(options.clock.next()));
  }

  return new Promise((resolve) => {
    server.once("error", (error) => resolve(Result.err(error.message)));
    server.listen(options.port, options.host, () => {
      server.on("error", () => undefined);
      const { port } = server.address() as AddressInfo;
      resolve(Result.ok({
        server,
        port,
        drain() {
          draining = true;
          // `close` of the HTTP server would also close idle connections, on
          // which a caller may be sending its next request.
          NetServer.prototype.close.call(server);
        },
        closeIdle() {
          // The server counts a connection as idle while its answer is sent.
          if (!callers.isWriting()) server.closeIdleConnections();
        },
        unanswered: callers.totalUnanswered,
        close() {
          server.close();
          server.closeAllConnections();
        },
      }));
    });
  });
}

/**
 * For how many milliseconds the request was delayed: in transit when an agent
 * forwarded it and stated the departure, or else unread in this process.
 */
function transitDelayOf(
  message: IncomingMessage,
  config: HttpListenerOptions,
): number {
  if (config.kind !== "agents") return config.pendingInput.unreadMilliseconds();
  const departure = firstValue(message.headers, fields.departure);
  return config.measureTransitDelay(parseDeparture(departure));
}

function cachedRoutes(): (configuration: Configuration) => MatchRoute {
  let compiled: { configuration: Configuration; match: MatchRoute } | null =
    null;
  return (configuration) => {
    if (compiled?.configuration !== configuration) {
      const match = compileRoutes(configuration.services);
      compiled = { configuration, match };
    }
    return compiled.match;
  };
}

/** Buffered of an answer that is streamed. */
const streamedBytes = 65_536;

function heldBytes({ body }: ProxyAnswer): number {
  return body.kind === "whole" ? body.bytes.length : streamedBytes;
}

function observeClock(
  message: IncomingMessage,
  options: HttpListenerOptions,
): void {
  const time = Number(message.headers[fields.clock]);
  if (Number.isSafeInteger(time)) options.clock.observe(time);
}

/** Closes the connection of an abandoned request whose body is incomplete. */
function destroyIncomplete(message: IncomingMessage): void {
  if (!message.complete) message.destroy();
}

/**
 * Refuses a forwarded request whose copy cannot be identified: it could run
 * twice.
 */
function refuseHop(
  response: ServerResponse,
  writeContext: WriteContext,
): void {
  const failure = notRun("configuration-stale");
  const text = "the agent that forwarded this is of an incompatible release";
  writeFailure(response, { failure, text, id: "" }, writeContext);
}
