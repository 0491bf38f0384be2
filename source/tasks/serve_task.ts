/**
 * The task that serves requests with the local target: it checks the ownership
 * of the key, waits for a slot and sends the request to the target.
 *
 * @module
 */
import { Result } from "true-myth";
import type { FinishKind } from "../core/admission/concurrency_limit.ts";
import type { Shortage } from "../core/admission/shortage.ts";
import type { Client } from "../core/admission/fair_shares.ts";
import type { AgentId } from "../core/agent.ts";
import {
  type Failure,
  notRun,
  ownedElsewhere,
} from "../core/request/outcome.ts";
import { regionNotAllowed } from "../core/routes/allowed_regions.ts";
import type { EventDetail, Events } from "../ports/events.ts";
import type { ReadPendingInput } from "../ports/input.ts";
import type { Metrics } from "../ports/metrics.ts";
import type {
  Body,
  ProxyAnswer,
  ProxyRequest,
  Target,
  TargetFailure,
} from "../ports/upstream.ts";
import type { AdmissionSlot, AdmissionTask } from "./admission_task.ts";
import { onAnswerEnd } from "./answer_end.ts";
import type { HolderTask, Permit } from "./holder_task.ts";
import { monotonicNow } from "./time.ts";

/** Serves requests with this agent's target. */
export interface ServeTask {
  serve(
    request: ProxyRequest,
    options: { readonly body: Body },
  ): Promise<Result<ProxyAnswer, Failure>>;
  /** The number of requests that wait for a slot or run. */
  running(): number;
}

const unreported = { slowness: null, reported: null };

/** After a shorter wait for a slot, pending input need not be read again. */
const negligibleWaitMilliseconds = 1;

/** Starts the task. */
export function startServing(options: {
  readonly service: string;
  /** The name of this agent as an entry; empty when left out. */
  readonly entry?: AgentId;
  /** Null for a service without keys, and until the configuration is known. */
  readonly holder: () => HolderTask | null;
  readonly admission: AdmissionTask;
  /**
   * A class of requests with similar service times; null for the whole rank.
   */
  readonly workOf: (request: ProxyRequest) => string | null;
  /** Whether the target accepts new requests, with a key or without. */
  readonly accepts: (work: { readonly keyed: boolean }) => boolean;
  /**
   * Whether the request may run in the target's region, by the configuration of
   * this agent, which may be newer than the entry's; when left out, all may.
   */
  readonly allowsRegion?: (request: ProxyRequest) => boolean;
  /**
   * Whether a configuration is in force, without which no route is known; when
   * left out, one is.
   */
  readonly isConfigured?: () => boolean;
  /** What log lines say of evacuated data centres; nothing when left out. */
  readonly describeEvacuated?: () => EventDetail;
  readonly target: Target;
  readonly readPendingInput: ReadPendingInput;
  readonly events: Events;
  readonly metrics: Metrics;
  /** Whether a request may still start; when left out, all may. */
  readonly mayBegin?: (request: ProxyRequest) => boolean;
  /**
   * Whether the target is given this request, which it may be failing; when left
   * out, it is given all.
   */
  readonly mayTry?: (request: ProxyRequest) => boolean;
  /** Whether a further answer can be held; when left out, all can. */
  readonly hasMemory?: () => boolean;
}): ServeTask {
  const { admission, target, events, metrics } = options;
  const {
    mayBegin = () => true,
    allowsRegion = () => true,
    isConfigured = () => true,
    hasMemory = () => true,
    mayTry = () => true,
  } = options;
  let running = 0;

  async function serve(
    request: ProxyRequest,
    { body }: { readonly body: Body },
  ): Promise<Result<ProxyAnswer, Failure>> {
    if (!isConfigured()) return refuse(request, notRun("configuration-stale"));
    const permit = permitFor(request);
    if (permit.isErr) return refuse(request, permit.error);
    // After the check of ownership, so that a key that has moved to an allowed
    // region is found there.
    if (!allowsRegion(request)) {
      permit.value?.finish();
      return refuse(request, regionNotAllowed());
    }
    if (!mayTry(request)) {
      permit.value?.finish();
      return refuse(request, notRun("target-failing"));
    }
    running += 1;
    const release = () => {
      running -= 1;
      permit.value?.finish();
    };
    const arrivedAt = monotonicNow();
    const work = options.workOf(request);
    const keyed = request.key !== null;
    const client = clientOf(request);
    const slot = await admission.enter({ ...request, work, keyed, client });
    const waited = monotonicNow() - arrivedAt;
    metrics.time("queue_duration", waited, rankLabel(request));
    if (slot.isErr) {
      release();
      return refuse(request, slot.error.failure, slot.error.shortage);
    }
    if (waited > negligibleWaitMilliseconds) await options.readPendingInput();
    const failure = reasonNotToSend(request, permit.value);
    if (failure !== null) {
      slot.value.finish("unused");
      release();
      return refuse(request, failure);
    }
    return await send(request, {
      body,
      permit: permit.value,
      slot: slot.value,
      release,
    });
  }

  /**
   * Repeats the checks whose result may have changed during the wait for a
   * slot.
   */
  function reasonNotToSend(
    request: ProxyRequest,
    permit: Permit | null,
  ): Failure | null {
    if (permit !== null && !permit.stillHolds()) return notRun("lease-ended");
    if (monotonicNow() >= request.deadlineAt) return notRun("deadline-passed");
    if (!mayBegin(request)) return notRun("target-leaving");
    if (!allowsRegion(request)) return regionNotAllowed();
    if (!hasMemory()) return notRun("memory-full");
    return request.signal.aborted ? notRun("caller-left") : null;
  }

  function permitFor(request: ProxyRequest): Result<Permit | null, Failure> {
    if (request.service !== options.service) {
      return Result.err(notRun("not-owner"));
    }
    if (!options.accepts({ keyed: request.key !== null })) {
      return Result.err(notRun("target-leaving"));
    }
    if (request.key === null) return Result.ok(null);
    const holder = options.holder();
    if (holder === null) return Result.err(notRun("lease-ended"));
    const permit = holder.admit(request.key);
    if (permit === "not-owner") {
      return Result.err(ownedElsewhere(holder.otherOwner(request.key)));
    }
    return typeof permit === "string"
      ? Result.err(notRun(permit))
      : Result.ok(permit);
  }

  async function send(
    request: ProxyRequest,
    held: {
      readonly body: Body;
      readonly permit: Permit | null;
      readonly slot: AdmissionSlot;
      readonly release: () => void;
    },
  ): Promise<Result<ProxyAnswer, Failure>> {
    const { permit, slot, release } = held;
    events.record("request-admitted", {
      request: request.id,
      rank: request.rank,
      ...(permit === null ? {} : { slice: permit.slice }),
    });
    metrics.count("target_requests_started", rankLabel(request));
    const startedAt = monotonicNow();
    const result = await target.send({
      request,
      body: held.body,
      token: permit?.token ?? null,
      slice: permit?.slice ?? null,
      leaseEndsAtWall: permit?.leaseEndsAtWall ?? null,
    });
    const done = (kind: FinishKind) => {
      metrics.time("target_duration", monotonicNow() - startedAt);
      const { slowness, reported } = result.isOk ? result.value : unreported;
      slot.finish(kind, slowness, reported);
      release();
    };
    if (result.isErr) {
      events.record("request-target-failed", {
        request: request.id,
        outcome: result.error.outcome,
        reason: result.error.reason,
        milliseconds: Math.round(monotonicNow() - startedAt),
      });
      done(finishKindOf(result.error));
      return result;
    }
    const answer = result.value;
    onAnswerEnd(answer.body, ({ whole }) => {
      done(whole ? "answered" : "failed");
    });
    // All requests pass here, so the own count is newer than the target's.
    return Result.ok({ ...answer, load: admission.load() });
  }

  /** A request that no other agent forwarded entered at this one. */
  function clientOf(request: ProxyRequest): Client {
    return {
      entry: request.entry ?? options.entry ?? "",
      account: request.account ?? "",
    };
  }

  function refuse(
    request: ProxyRequest,
    failure: Failure,
    shortage: Shortage | null = null,
  ): Result<ProxyAnswer, Failure> {
    metrics.count("target_requests_refused", {
      ...rankLabel(request),
      reason: failure.reason,
    });
    const detail = shortage === null ? {} : shortageDetail(shortage, failure);
    if (detail["returnsEarly"] === true) {
      metrics.count("early_returns", rankLabel(request));
    }
    events.record("request-refused", {
      request: request.id,
      rank: request.rank,
      reason: failure.reason,
      load: admission.load(),
      runsPerSecond: admission.throughput(),
      ...admission.describeLimits(),
      retryAfterMilliseconds: Math.round(failure.retryAfterMilliseconds ?? 0),
      ...clientOf(request),
      ...detail,
      ...(failure.reason === "target-leaving"
        ? options.describeEvacuated?.()
        : {}),
    });
    return Result.err(failure);
  }

  return { serve, running: () => running };
}

/** Only a refusal by the target itself shows that the target is full. */
function finishKindOf(
  { outcome, reason, misdirected = false }: TargetFailure,
): FinishKind {
  if (outcome !== "not-run") return "failed";
  if (misdirected) return "misdirected";
  return reason === "target-refused" ? "refused" : "unused";
}

function shortageDetail(
  shortage: Shortage,
  { retryAfterMilliseconds }: Failure,
): EventDetail {
  const { capacityAfterMilliseconds: after } = shortage;
  return {
    accountShare: Number(shortage.accountShare.toFixed(2)),
    entryShare: Number(shortage.entryShare.toFixed(2)),
    freeSlots: Number(shortage.freeSlots.toFixed(1)),
    ...(shortage.fairShares ? { fairShares: true } : {}),
    ...(after === null ? {} : {
      capacityAfterMilliseconds: Math.round(after),
      returnsEarly: after > (retryAfterMilliseconds ?? 0),
    }),
  };
}

function rankLabel(request: ProxyRequest): { readonly rank: string } {
  return { rank: String(request.rank) };
}
