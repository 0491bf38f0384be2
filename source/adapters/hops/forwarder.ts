/**
 * Forwards requests to other agents over HTTP, each on a connection that it
 * shares with no other request while it lasts.
 *
 * When nothing is received for a request, the other agent is probed on a new
 * connection. If the silent connection is found lost, a second copy of the
 * request is sent, and the receiver deduplicates the two.
 *
 * @module
 */
import { Result } from "true-myth";
import type { Pool } from "undici";
import { type Address, type AgentId, isAddress } from "../../core/agent.ts";
import {
  type Failure,
  notRun,
  unknownOutcome,
} from "../../core/request/outcome.ts";
import {
  decideOnSilence,
  type ProbeResult,
  type SilenceDecision,
  type SilenceReport,
} from "../../core/request/silence.ts";
import type {
  Body,
  Forwarder,
  Headers,
  ProxyAnswer,
  ProxyRequest,
} from "../../ports/upstream.ts";
import {
  type ConnectionSettings,
  openPool,
} from "../targets/connection_pool.ts";
import {
  type AttemptContext,
  drain,
  failureOfError,
  readWhole,
} from "../targets/exchange.ts";
import { failureFromHeaders, fields, firstValue } from "../headers.ts";
import { useEntry } from "../recently_used.ts";
import { openHopProbes } from "./hop_probes.ts";
import {
  createHopSequence,
  formatHop,
  type HopCopy,
} from "./hop_deduplication.ts";
import type { LogicalClock } from "../logs/logical_clock.ts";
import { hopOf } from "./hop_requests.ts";
import { timeLeft } from "./time_left.ts";
import { formatDeparture, type StampDeparture } from "./transit.ts";
import { sendWithSilenceWatch, type SilentCopy } from "./silence_watch.ts";

/**
 * Addresses with open connections; beyond this number the pool of the least
 * recently used address is closed.
 */
const maxPools = 256;

/**
 * An agent that has received a request answers or acknowledges it well within
 * this time. If it does not, the connection is slow, or is lost and neither end
 * has noticed.
 */
const defaultSilenceMilliseconds = 400;
/**
 * Second copies sent within one second, to all agents together. An agent that
 * is only slow is silent on all its connections at once, and must not be sent
 * all of its work twice.
 */
const maxCopiesPerSecond = 4;

/**
 * Creates a function that returns whether one more second copy may be sent now,
 * and counts the call.
 */
function createCopyLimiter(now: () => number): () => boolean {
  let since = -Infinity;
  let count = 0;
  return () => {
    if (now() - since >= 1_000) {
      since = now();
      count = 0;
    }
    count += 1;
    return count <= maxCopiesPerSecond;
  };
}

/**
 * Opens a forwarder over HTTP. Answers of the target resolve as a result, and
 * refusals and failures of the other agent as an error.
 */
export function openForwarder(options: {
  readonly settings: ConnectionSettings;
  readonly now: () => number;
  readonly clock: LogicalClock;
  /** The name of this forwarder; no other sender ever has the same. */
  readonly sender: string;
  readonly depart: StampDeparture;
  /** Called for each decision on a silent copy, except to go on waiting. */
  readonly onSilence: (address: Address, note: SilenceReport) => void;
}): Forwarder {
  const mayCopy = createCopyLimiter(options.now);
  const { silenceMilliseconds = defaultSilenceMilliseconds } = options.settings;
  const probes = openHopProbes({
    timeoutMilliseconds: silenceMilliseconds,
  });
  const pools = new Map<Address, Pool>();
  const numbers = createHopSequence();
  function poolFor(address: Address): Pool {
    return useEntry(pools, address, {
      max: maxPools,
      create: () => openPool(address, options.settings),
      evict: (pool) => void pool.close(),
    });
  }
  /**
   * Closes the pool of an address once its requests have ended. Its other idle
   * connections may be lost in the same way as the silent one.
   */
  function discardPool(address: Address): void {
    const pool = pools.get(address);
    pools.delete(address);
    void pool?.close().catch(() => undefined);
  }

  async function forward(
    address: Address,
    request: ProxyRequest,
    context: {
      readonly body: Body;
      readonly receiver: AgentId;
      readonly sequence: number;
    },
  ): Promise<Result<ProxyAnswer, Failure>> {
    const { body, receiver, sequence } = context;
    const hopOfCopy = (copy: number): HopCopy =>
      hopOf({ sequence, receiver, copy }, { sender: options.sender, numbers });
    const sendCopy = (copy: number) =>
      sendWithSilenceWatch(poolFor(address), {
        request,
        headers: {
          ...composeHeaders(request, options),
          [fields.hop]: formatHop(hopOfCopy(copy)),
        },
        body,
        now: options.now,
        silence: body.kind === "kept" && copy === 1
          ? { milliseconds: silenceMilliseconds, decide }
          : null,
      });
    let former: ProbeResult | null = null;
    async function decide(signal: AbortSignal): Promise<SilenceDecision> {
      const copy = { hop: hopOfCopy(1), signal };
      const found = await probes.probe(address, copy);
      const { idempotent } = request;
      const decision = decideOnSilence({ found, former, idempotent });
      former = found;
      if (decision === "wait" || signal.aborted) return "wait";
      const withheld = decision === "copy" && !mayCopy();
      options.onSilence(address, {
        request: request.id,
        copy: 1,
        found: found.kind,
        follows: withheld ? "withheld" : decision,
      });
      return withheld ? "wait" : decision;
    }
    const first = await sendCopy(1);
    const result = "follows" in first ? await replaceSilentCopy(first) : first;
    if (result.isErr) return result;
    /**
     * Sends a second copy if that was decided, and resolves with its result or
     * with a late answer to the silent copy. A failure leaves the outcome
     * unknown, since the silent copy may have run. The silent copy is aborted
     * only after the second one has ended, since closing its connection would
     * cancel the request that runs for both.
     */
    async function replaceSilentCopy(
      silent: SilentCopy,
    ): Promise<Result<ProxyAnswer, Failure>> {
      discardPool(address);
      const second = silent.follows === "copy"
        ? await firstAnswer(silent.answer, sendCopy(2))
        : connectionLost;
      const answer = second.isOk
        ? await readAgentAnswer(second.value, { request, now: options.now })
        : second;
      silent.abort();
      return answer.mapErr(({ reason }) => unknownOutcome(reason));
    }
    const time = Number(firstValue(result.value.headers, fields.clock));
    if (Number.isSafeInteger(time)) options.clock.observe(time);
    return await readAgentAnswer(result.value, {
      request,
      now: options.now,
    });
  }

  return {
    async forward(address, request, { body, receiver }) {
      if (!isAddress(address)) return Result.err(notRun("target-unreachable"));
      const sequence = numbers.allocate();
      const context = { body, receiver, sequence };
      const result = await forward(address, request, context);
      numbers.settle(sequence);
      return result;
    },
    async close() {
      await Promise.all([...pools.values()].map((pool) => pool.close()));
    },
  };
}

const connectionLost = Result.err<ProxyAnswer, Failure>(
  unknownOutcome("connection-lost"),
);

/** The result of the second copy, unless the silent one is answered before. */
function firstAnswer(
  silent: Promise<Result<ProxyAnswer, Failure>>,
  second: Promise<Result<ProxyAnswer, Failure> | SilentCopy>,
): Promise<Result<ProxyAnswer, Failure>> {
  return new Promise((resolve) => {
    void silent.then((result) => {
      if (result.isOk) resolve(result);
    });
    void second.then((result) =>
      resolve("follows" in result ? connectionLost : result)
    );
  });
}

/** The header fields of a request that is forwarded now. */
function composeHeaders(
  request: ProxyRequest,
  options: {
    readonly now: () => number;
    readonly clock: LogicalClock;
    readonly depart: StampDeparture;
  },
): Headers {
  const left = timeLeft(request, options.now());
  return {
    ...request.headers,
    host: request.authority,
    [fields.requestId]: request.id,
    [fields.service]: request.service,
    ...(request.account === undefined
      ? {}
      : { [fields.account]: encodeURIComponent(request.account) }),
    [fields.rank]: String(request.rank),
    [fields.departure]: formatDeparture(options.depart()),
    [fields.deadline]: String(left.deadlineMilliseconds),
    ...(left.objectiveMilliseconds === null
      ? {}
      : { [fields.objective]: String(left.objectiveMilliseconds) }),
    [fields.idempotent]: String(request.idempotent),
    [fields.clock]: String(options.clock.next()),
    ...(request.key === null
      ? {}
      : { [fields.key]: encodeURIComponent(request.key) }),
  };
}

/**
 * An answer whose stated length is not above this is read to its end before any
 * of it is passed on.
 */
const maxBufferedAnswerBytes = 262_144;

/** The number in a header field; null without one. */
function numberIn(headers: Headers, name: string): number | null {
  const value = Number(firstValue(headers, name) ?? NaN);
  return Number.isFinite(value) ? value : null;
}

/**
 * Reads the answer of another agent. A header marks a failure that the agent
 * reports, as opposed to an answer of its target. A small answer that is
 * truncated in transit becomes a failure, so that the caller never receives
 * part of it.
 */
async function readAgentAnswer(
  answer: ProxyAnswer,
  attempt: AttemptContext,
): Promise<Result<ProxyAnswer, Failure>> {
  const failure = failureFromHeaders(answer.headers);
  if (answer.body.kind === "whole") {
    return failure === null ? Result.ok(answer) : Result.err(failure);
  }
  const { stream } = answer.body;
  if (failure !== null) {
    drain(stream);
    return Result.err(failure);
  }
  const withLoad = {
    ...answer,
    load: numberIn(answer.headers, fields.load),
    slowness: numberIn(answer.headers, fields.slowness),
  };
  const length = firstValue(answer.headers, "content-length");
  if (length === null || Number(length) > maxBufferedAnswerBytes) {
    return Result.ok(withLoad);
  }
  try {
    const bytes = await readWhole(stream);
    return Result.ok({ ...withLoad, body: { kind: "whole", bytes } });
  } catch (error) {
    return Result.err(failureOfError(error, attempt));
  }
}
