/**
 * Answers the requests of an HTTP listener: reads each of them, passes it to
 * the handler, and writes its answer.
 *
 * @module
 */
import type { IncomingMessage, ServerResponse } from "node:http";
import { Result } from "true-myth";
import type { Configuration } from "../../core/document/document.ts";
import { type Failure, notRun } from "../../core/request/outcome.ts";
import type { Body, ProxyAnswer, ProxyRequest } from "../../ports/upstream.ts";
import {
  writeAnswer,
  type WriteContext,
  writeFailure,
  writeFailureImmediately,
  writePage,
} from "./answer_writer.ts";
import type { CallerConnections } from "./caller_connections.ts";
import type { CallerLoad } from "./caller_load.ts";
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
import type { HttpListenerOptions } from "./listener_options.ts";
import {
  defaultMaxKeptBytes,
  readBody,
  readForwardedRequest,
} from "./request_reader.ts";
import { compileRoutes, type MatchRoute } from "./route_matcher.ts";
import { parseDeparture } from "../hops/transit.ts";

/** Unanswered requests allowed on one connection. */
const maxPipelined = 256;
/** After the deadline, the refusal of the next hop is awaited this long. */
const deadlineGraceMilliseconds = 20;
/** An answer started before the deadline may end this much after it. */
const answerGraceMilliseconds = 250;

/** A copy of a forwarded request whose body may be incomplete. */
type IncomingCopy = Pick<ReceivedCopy, "hop" | "lateMilliseconds">;

/** What the requests of one listener have in common. */
interface AnswerContext {
  readonly callers: CallerConnections;
  /** Null when nothing bounds what callers make this process hold. */
  readonly load: CallerLoad | null;
  readonly writeContext: WriteContext;
}

/** Returns a function that answers one request. */
export function answerRequests(
  options: HttpListenerOptions,
  { callers, load, writeContext }: AnswerContext,
): (message: IncomingMessage, response: ServerResponse) => Promise<void> {
  const routes = cachedRoutes();
  const hops = createHopDeduplicator(options.agent);
  const cancels = createHopCancellations();
  const arrivals = createHopProgressTracker();
  const { protocol } = writeContext;
  const read = options.kind === "callers"
    ? protocol.read
    : readForwardedRequest;
  const maxKeptBytes = options.maxRetainedBodyBytes ?? defaultMaxKeptBytes;

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

  return answer;
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
