/**
 * HTTP listeners: reads requests, hands them to a handler, and writes answers
 * whole or visibly broken off.
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
import { fields, firstValue } from "../headers.ts";
import {
  formatProgress,
  progressPath,
  startHopArrivals,
} from "../hops/hop_arrivals.ts";
import { openCancel, startHopCancels } from "../hops/hop_cancels.ts";
import {
  type AbandonNote,
  type HopArrival,
  startWanted,
  takeIn,
} from "../hops/hop_intake.ts";
import { type HopCopy, parseHop, startHopLedger } from "../hops/hop_ledger.ts";
import type { LogicalClock } from "../logs/logical_clock.ts";
import type { PendingInputGate } from "./pending_input.ts";
import { readBody, readForwardedRequest } from "./request_reader.ts";
import { compileRoutes, type MatchRoute } from "./route_matcher.ts";
import {
  type ArrivalNote,
  type MeasureLateness,
  parseDeparture,
} from "../hops/transit.ts";

/** Takes a request to its end. */
export type HandleRequest = (
  request: ProxyRequest,
  options: { readonly body: Body },
) => Promise<Result<ProxyAnswer, Failure>>;

/** A listener. */
export interface HttpListener {
  readonly server: Server;
  readonly port: number;
  /**
   * Takes no new connections, and closes each after the answer to the last
   * request that was read on it.
   */
  drain(): void;
  /**
   * Closes the connections on which no request is being answered, or none
   * while an answer still goes out.
   */
  closeIdle(): void;
  /** Requests that were read, and whose answers have not gone out. */
  unanswered(): number;
  close(): void;
}

/** Whose requests a listener takes. */
export type ListenerKind = "callers" | "agents";

/** A page for operators, by path. */
export type OperatorPage = () => Promise<PageContent>;

/** What a listener needs. */
export interface HttpListenerOptions {
  /** This process. */
  readonly agent: AgentId;
  readonly kind: ListenerKind;
  readonly host: string;
  readonly port: number;
  readonly configuration: () => Configuration;
  readonly handle: HandleRequest;
  readonly pages: ReadonlyMap<string, OperatorPage>;
  readonly now: () => number;
  /** Of what other agents send on. */
  readonly lateness: MeasureLateness;
  /** Hears of each whole request that another agent has sent on. */
  readonly onArrival: (note: ArrivalNote) => void;
  /** Of this process. */
  readonly intake: PendingInputGate;
  /** Hears of each request that nobody wanted any more before it began. */
  readonly onAbandoned: (note: AbandonNote) => void;
  /** Carries causes and effects between the time lines of agents. */
  readonly clock: LogicalClock;
  /** Bytes of header fields that a request may have. */
  readonly longestHeaderBytes: number;
  /** How callers talk; the product's own way when left out. */
  readonly callerProtocol?: CallerProtocol;
  /** Bodies up to this size are kept, so that they can be sent again. */
  readonly keptBodyBytes?: number;
}

/** Longer than any agent keeps an idle connection to this one. */
const keepAliveMilliseconds = 65_000;
/** Requests on one connection that may wait for their answers. */
const mostPipelined = 256;
/** After the deadline the next hop's own refusal is still awaited this long. */
const deadlineGraceMilliseconds = 20;
/** An answer that has begun before the deadline may end this much after it. */
const answerGraceMilliseconds = 250;

/** The copy of a forwarded request, while its body may still come. */
type ComingCopy = Pick<HopArrival, "hop" | "lateMilliseconds">;

/** Opens a listener; fails when the address can't be used. */
export function openHttpListener(
  options: HttpListenerOptions,
): Promise<Result<HttpListener, string>> {
  const routes = cachedRoutes();
  const hops = startHopLedger(options.agent);
  const cancels = startHopCancels();
  const arrivals = startHopArrivals();
  const callers = trackCallerConnections();
  const dialect = options.callerProtocol ?? productCallerProtocol;
  const read = options.kind === "callers" ? dialect.read : readForwardedRequest;
  const closing = new WeakSet<Socket>();
  const writing: WriteContext = {
    protocol: dialect,
    beforeHead: closeAfterLast,
  };
  let draining = false;
  const server = createServer(
    { maxHeaderSize: options.longestHeaderBytes },
    (message, response) => {
      // Its answer could not be written any more.
      if (closing.has(message.socket)) return;
      void answer(message, response);
    },
  );
  server.keepAliveTimeout = keepAliveMilliseconds;
  server.requestTimeout = 0;
  server.on("clientError", refuseInvalidHttp);

  /**
   * Tells the caller that this answer is the last on its connection, unless
   * others have to follow, or the rest of a body: closing on unread bytes would
   * drop the answer on its way.
   */
  function closeAfterLast(response: ServerResponse): void {
    if (!draining) return;
    const { req: message } = response;
    if (!message.complete || !callers.isLast(response)) return;
    closing.add(message.socket);
    response.setHeader("connection", "close");
  }

  async function answer(
    message: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const page = options.pages.get(message.url ?? "");
    if (page !== undefined) return writePage(response, await page());
    const name = options.kind === "agents"
      ? firstValue(message.headers, fields.hop)
      : null;
    const hop = parseHop(name);
    if (hop === null && name !== null) return refuseHop(response, writing);
    if (hop !== null && message.url === progressPath) {
      return tellProgress(response, hop);
    }
    const cancel = hop === null ? openCancel() : cancels.begin(hop);
    if (hop !== null) {
      response.once("close", () => cancels.end(hop));
      cancel.signal.addEventListener("abort", () => dropUnread(message));
    }
    callers.onDisconnect({ response, socket: message.socket }, () => {
      if (hop === null || !hops.superseded(hop)) cancel.abort();
    });
    if (callers.unanswered(message.socket) > mostPipelined) {
      const failure = notRun("queue-full");
      return writeFailureImmediately(
        response,
        { failure, text: "", id: "" },
        writing,
      );
    }
    const configuration = options.configuration();
    const lateMilliseconds = latenessOf(message, options);
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
      }, writing);
    }
    const arrival = hop === null ? null : { hop, lateMilliseconds };
    await handle(message, {
      response,
      cancel,
      request: request.value,
      arrival,
    });
  }

  async function handle(
    message: IncomingMessage,
    context: {
      readonly response: ServerResponse;
      readonly cancel: AbortController;
      readonly request: ProxyRequest;
      readonly arrival: ComingCopy | null;
    },
  ): Promise<void> {
    const { response, cancel, request, arrival } = context;
    const grace = options.kind === "callers" ? deadlineGraceMilliseconds : 0;
    const timer = setTimeout(
      () => cancel.abort(),
      request.deadlineAt - options.now() + grace,
    );
    const noteWhole = arrival === null
      ? null
      : arrivals.begin(arrival.hop, { message, response });
    const body = await readBody(message, {
      maxBytes: request.longestBodyBytes,
      ...(options.keptBodyBytes === undefined
        ? {}
        : { maxKeptBytes: options.keptBodyBytes }),
    });
    noteWhole?.();
    const result = body === null
      ? Result.err<ProxyAnswer, Failure>(notRun("caller-left"))
      : await handleOnce(request, { body, arrival });
    if (result === null) {
      clearTimeout(timer);
      return void response.destroy();
    }
    if (result.isErr) {
      clearTimeout(timer);
      stampClock(response);
      const { id } = request;
      return writeFailure(
        response,
        { failure: result.error, id, text: "" },
        writing,
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
    stampClock(response);
    writeAnswer(response, {
      answer: result.value,
      headers: dialect.answerHeaders(result.value, request.id),
      signal: cancel.signal,
    }, writing);
  }

  function tellProgress(response: ServerResponse, hop: HopCopy): void {
    const fate = hops.fateOf(hop);
    const begun = fate === "joins" || fate === "settled";
    const known = { kind: begun ? "answered" : "unseen" } as const;
    response.setHeader("content-type", "text/plain");
    response.end(formatProgress(arrivals.find(hop) ?? known));
  }

  function handleOnce(
    request: ProxyRequest,
    context: { readonly body: Body; readonly arrival: ComingCopy | null },
  ): Promise<Result<ProxyAnswer, Failure> | null> {
    const { body, arrival } = context;
    const start = () =>
      startWanted(request, {
        ...options,
        start: () => options.handle(request, { body }),
      });
    if (arrival === null) return start();
    const expired = options.now() >= request.deadlineAt;
    return takeIn({ ...arrival, request: request.id, expired }, {
      ledger: hops,
      onArrival: options.onArrival,
      start,
    });
  }

  function stampClock(response: ServerResponse): void {
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
          // The HTTP server's own close would break idle connections, on
          // which a caller may be sending its next request.
          NetServer.prototype.close.call(server);
        },
        closeIdle() {
          // The server takes an answer that still goes out for done.
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

/** Only agents say when their requests departed. */
function latenessOf(
  message: IncomingMessage,
  options: HttpListenerOptions,
): number {
  if (options.kind !== "agents") return options.intake.unreadMilliseconds();
  const departure = firstValue(message.headers, fields.departure);
  return options.lateness(parseDeparture(departure));
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

function observeClock(
  message: IncomingMessage,
  options: HttpListenerOptions,
): void {
  const time = Number(message.headers[fields.clock]);
  if (Number.isSafeInteger(time)) options.clock.observe(time);
}

/** Nobody waits for a request whose body still comes when it is given up. */
function dropUnread(message: IncomingMessage): void {
  if (!message.complete) message.destroy();
}

/** Copies whose names can't be read could run twice. */
function refuseHop(response: ServerResponse, writing: WriteContext): void {
  const failure = notRun("configuration-stale");
  const text = "the agent that sent this on is of another release";
  writeFailure(response, { failure, text, id: "" }, writing);
}
