/**
 * Sends requests on to other agents over HTTP, each on a connection of its own
 * while it lasts.
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
  type Inquiry,
  judgeSilence,
  type SilenceDecision,
  type SilenceNote,
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
import { openHopInquiries } from "./hop_inquiries.ts";
import { formatHop, type HopCopy, startHopNumbers } from "./hop_ledger.ts";
import type { LogicalClock } from "../logs/logical_clock.ts";
import { timeLeft } from "./time_left.ts";
import { type Depart, formatDeparture } from "./transit.ts";
import { sendWatched, type Silenced } from "./watched_copy.ts";

/** Most addresses with open connections; the oldest beyond is closed. */
const mostPools = 256;

/**
 * An agent that has a request answers or acknowledges it well within this
 * time. Silence means that the connection is slow, or lost without either end
 * knowing.
 */
const usualSilenceMilliseconds = 400;
/**
 * Second copies sent in one second at most. An agent that is only slow looks
 * silent on all its connections at once, and must not be sent all work twice.
 */
const mostCopiesPerSecond = 4;

/** Says whether one more second copy may be sent now. */
function limitCopies(now: () => number): () => boolean {
  let since = -Infinity;
  let count = 0;
  return () => {
    if (now() - since >= 1_000) {
      since = now();
      count = 0;
    }
    count += 1;
    return count <= mostCopiesPerSecond;
  };
}

/** Sends requests on to other agents. */
export function openForwarder(options: {
  readonly settings: ConnectionSettings;
  readonly now: () => number;
  readonly clock: LogicalClock;
  /** Names this forwarder among all senders; never used again. */
  readonly sender: string;
  readonly depart: Depart;
  /** Called for each decision but to go on waiting. */
  readonly onSilence: (address: Address, note: SilenceNote) => void;
}): Forwarder {
  const mayCopy = limitCopies(options.now);
  const { silenceMilliseconds = usualSilenceMilliseconds } = options.settings;
  const inquiries = openHopInquiries({
    timeoutMilliseconds: silenceMilliseconds,
  });
  const pools = new Map<Address, Pool>();
  const numbers = startHopNumbers();
  function poolFor(address: Address): Pool {
    const pool = pools.get(address) ?? openPool(address, options.settings);
    pools.delete(address);
    pools.set(address, pool);
    const [oldest] = pools.entries();
    if (pools.size > mostPools && oldest !== undefined) {
      pools.delete(oldest[0]);
      void oldest[1].close();
    }
    return pool;
  }
  /** Other idle connections to the address may be lost in the same way. */
  function replacePool(address: Address): void {
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
    const nameCopy = (copy: number): HopCopy => ({
      sender: options.sender,
      receiver,
      sequence,
      copy,
      settledBelow: numbers.settledBelow(),
    });
    const sendCopy = (copy: number) =>
      sendWatched(poolFor(address), {
        request,
        headers: {
          ...composeHeaders(request, options),
          [fields.hop]: formatHop(nameCopy(copy)),
        },
        body,
        now: options.now,
        silence: body.kind === "kept" && copy === 1
          ? { milliseconds: silenceMilliseconds, judge }
          : null,
      });
    let former: Inquiry | null = null;
    async function judge(signal: AbortSignal): Promise<SilenceDecision> {
      const question = { hop: nameCopy(1), signal };
      const found = await inquiries.ask(address, question);
      const { idempotent } = request;
      const decision = judgeSilence({ found, former, idempotent });
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
    const result = "follows" in first ? await giveUpSilent(first) : first;
    if (result.isErr) return result;
    /**
     * The silent copy may have run, whatever comes of the second one. Its end
     * would end what runs for it, so it stays open until the second has ended.
     */
    async function giveUpSilent(
      silent: Silenced,
    ): Promise<Result<ProxyAnswer, Failure>> {
      replacePool(address);
      const second = silent.follows === "copy"
        ? await firstAnswer(silent.answer, sendCopy(2))
        : lost;
      const answer = second.isOk
        ? await readAgentAnswer(second.value, { request, now: options.now })
        : second;
      silent.letGo();
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
      const sequence = numbers.begin();
      const context = { body, receiver, sequence };
      const result = await forward(address, request, context);
      numbers.end(sequence);
      return result;
    },
    async close() {
      await Promise.all([...pools.values()].map((pool) => pool.close()));
    },
  };
}

const lost = Result.err<ProxyAnswer, Failure>(
  unknownOutcome("connection-lost"),
);

/** What the second copy brings, unless the silent one is answered before. */
function firstAnswer(
  silent: Promise<Result<ProxyAnswer, Failure>>,
  second: Promise<Result<ProxyAnswer, Failure> | Silenced>,
): Promise<Result<ProxyAnswer, Failure>> {
  return new Promise((resolve) => {
    void silent.then((result) => {
      if (result.isOk) resolve(result);
    });
    void second.then((result) => resolve("follows" in result ? lost : result));
  });
}

/** What the next agent is told of a request that leaves now. */
function composeHeaders(
  request: ProxyRequest,
  options: {
    readonly now: () => number;
    readonly clock: LogicalClock;
    readonly depart: Depart;
  },
): Headers {
  const left = timeLeft(request, options.now());
  return {
    ...request.headers,
    host: request.authority,
    [fields.requestId]: request.id,
    [fields.service]: request.service,
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

/** An answer up to this size is read whole before any of it goes on. */
const keptAnswerBytes = 262_144;

/**
 * An agent says by a header when the answer is not its target's. A small
 * answer that breaks off on the way is a failure, not a broken answer.
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
  const load = Number(firstValue(answer.headers, fields.load) ?? NaN);
  const known = { ...answer, load: Number.isFinite(load) ? load : null };
  const length = firstValue(answer.headers, "content-length");
  if (length === null || Number(length) > keptAnswerBytes) {
    return Result.ok(known);
  }
  try {
    const bytes = await readWhole(stream);
    return Result.ok({ ...known, body: { kind: "whole", bytes } });
  } catch (error) {
    return Result.err(failureOfError(error, attempt));
  }
}
