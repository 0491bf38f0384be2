/**
 * The task that sends a caller's request to the target that is to run it: the
 * owner of its key or, for a request without a key, a suitable nearby target.
 *
 * @module
 */
import { Result } from "true-myth";
import type { Agent, AgentId } from "../core/agent.ts";
import type { Configuration } from "../core/document/document.ts";
import {
  groupOfKey,
  isNewerOwner,
  type KeyHash,
  type OwnershipTable,
  type PlaceKey,
  type VersionedOwner,
} from "../core/ownership/table.ts";
import { formatToken, newerToken, noToken } from "../core/ownership/token.ts";
import {
  combineFailures,
  type Failure,
  type FailureReason,
  notRun,
} from "../core/request/outcome.ts";
import {
  decideRetry,
  reachedTarget,
  type RetryDecision,
  type RetrySettings,
} from "../core/retry/retry.ts";
import type { PickPair } from "../core/routing/candidate_pairs.ts";
import type { LeavesOut } from "../core/routing/failing_targets.ts";
import {
  allowsRegion,
  cachedRestrictedRegions,
  regionNotAllowed,
} from "../core/routes/allowed_regions.ts";
import type { EventDetail, Events } from "../ports/events.ts";
import type { ReadPendingInput } from "../ports/input.ts";
import type { Metrics } from "../ports/metrics.ts";
import type { Peers, RetryLoan, RetryLoanRequest } from "../ports/peers.ts";
import type {
  Body,
  Forwarder,
  ProxyAnswer,
  ProxyRequest,
} from "../ports/upstream.ts";
import { indexAgents } from "./agent_index.ts";
import { onAnswerEnd } from "./answer_end.ts";
import { type Attempt, bodySizeOf, unsent } from "./attempt.ts";
import { startOwnerAdmission } from "./owner_admission.ts";
import { type Destination, startOwnerTables } from "./owner_tables.ts";
import type { ServeTask } from "./serve_task.ts";
import type { MayBegin } from "./stop_gate.ts";
import { monotonicNow, pause } from "./time.ts";
import { startRetryBudgets } from "./retry_budgets.ts";
import { startUnkeyedAttempts } from "./unkeyed_attempts.ts";

/** The running entry. */
export interface EntryTask {
  /** Sends a request until it is answered or retries are given up. */
  handle(
    request: ProxyRequest,
    options: { readonly body: Body },
  ): Promise<Result<ProxyAnswer, Failure>>;
  /** Lends saved retries to another agent. */
  lendRetries(request: RetryLoanRequest): Promise<RetryLoan>;
  /** The number of requests that entered here and are not finished. */
  running(): number;
}

/** Reasons of failures after which another server may own the key. */
const ownerChangeReasons: ReadonlySet<FailureReason> = new Set([
  "not-owner",
  "moving",
  "lease-ended",
  "target-leaving",
  "target-refused",
  "target-unreachable",
  "connection-lost",
  // An owner that is frozen or unreachable does not answer at all.
  "deadline-passed",
]);

function isAllowed(
  { allowedRegions = [] }: ProxyRequest,
  { region }: Destination,
): boolean {
  return allowsRegion(allowedRegions, region);
}

/** An owner whose region isn't known yet may be in an allowed one. */
function reasonForRegion({ region }: Destination): Failure {
  return region === null ? notRun("no-owner-known") : regionNotAllowed();
}

function ownerMayHaveChanged(failure: Failure): boolean {
  return ownerChangeReasons.has(failure.reason);
}

const noDataCenters: ReadonlySet<string> = new Set();

/** Starts an entry that knows no ownership table. */
export function startEntry(options: {
  readonly agent: Agent;
  readonly agents: () => readonly Agent[];
  readonly configuration: () => Configuration;
  readonly localTable: (group: string) => OwnershipTable | null;
  readonly serve: ServeTask;
  readonly forwarder: Forwarder;
  readonly peers: Peers;
  readonly events: Events;
  readonly metrics: Metrics;
  readonly hash: KeyHash;
  readonly place: PlaceKey;
  readonly random: () => number;
  /** Draws the targets without keys to compare; any when left out. */
  readonly pickPair?: PickPair;
  /** Which failing targets requests without keys leave out; none if absent. */
  readonly leavesOut?: LeavesOut;
  /** Called for each choice from which a failing target is left out. */
  readonly onFailingAvoided?: () => void;
  readonly readPendingInput: ReadPendingInput;
  /** Settings of the retry budget, which all agents share. */
  readonly retries: () => RetrySettings;
  /** A table is not fetched again until it is this old. */
  readonly minTableAgeMilliseconds: number;
  /** Whether a request may still start; when left out, all may. */
  readonly mayBegin?: MayBegin;
  /** The data centres that are evacuated; none when left out. */
  readonly evacuated?: () => ReadonlySet<string>;
  /** What log lines say of these; nothing when left out. */
  readonly describeEvacuated?: () => EventDetail;
}): EntryTask {
  const { agent, events, metrics, hash, random } = options;
  const { mayBegin = () => true } = options;
  const budgets = startRetryBudgets({ ...options, settings: options.retries });
  const ownerAdmission = startOwnerAdmission({ self: agent.id, random });
  let running = 0;
  const index = indexAgents(options.agents, (agents) => {
    unkeyed.retainTargets(agents);
  });
  const tables = startOwnerTables({ ...options, agentById: index.byId });

  const restrictedRegions = cachedRestrictedRegions();
  const unkeyed = startUnkeyedAttempts({
    agent,
    evacuated: options.evacuated ?? (() => noDataCenters),
    restrictedRegions: (service) =>
      restrictedRegions(options.configuration().hostRoutes, service),
    describeEvacuated: options.describeEvacuated ?? (() => ({})),
    targetsOf: index.ofService,
    peers: options.peers,
    random,
    ...(options.pickPair === undefined ? {} : { pickPair: options.pickPair }),
    ...(options.leavesOut === undefined
      ? {}
      : { leavesOut: options.leavesOut }),
    ...(options.onFailingAvoided === undefined
      ? {}
      : { onFailingAvoided: options.onFailingAvoided }),
    events,
    readPendingInput: options.readPendingInput,
    sendTo,
  });

  async function handle(
    request: ProxyRequest,
    { body }: { readonly body: Body },
  ): Promise<Result<ProxyAnswer, Failure>> {
    running += 1;
    budgets.earn(request.service);
    const result = await attemptUntilDone(request, body);
    if (result.isErr) running -= 1;
    else onAnswerEnd(result.value.body, () => running -= 1);
    return result;
  }

  async function attemptUntilDone(
    request: ProxyRequest,
    body: Body,
  ): Promise<Result<ProxyAnswer, Failure>> {
    const tried = new Set<AgentId>();
    let remainingBody = body;
    let failure: Failure | null = null;
    let reached = 0;
    /** The owner that was named last by an agent that refused the request. */
    let namedOwner: VersionedOwner | null = null;
    const beganAt = monotonicNow();
    for (let attempt = 1;; attempt += 1) {
      const {
        result,
        to,
        choiceDetail,
        redirect,
        offerRefused = false,
      }: Attempt = await attemptOnce(request, {
        body: remainingBody,
        tried,
        namedOwner,
      });
      if (result.isOk) return result;
      if (reachedTarget(result.error)) reached += 1;
      namedOwner = redirect ?? namedOwner;
      remainingBody = bodyAfterAttempt(remainingBody);
      failure = combineFailures(failure, result.error);
      const refusedHere = to === "" &&
        result.error.reason === "region-not-allowed";
      const isFinal = offerRefused || refusedHere;
      const decision = isFinal ? decideToGiveUp(request) : decideRetry({
        failure,
        attempt,
        reached,
        idempotent: request.idempotent,
        keyed: request.key !== null,
        redirected: redirect !== null,
        maxAttempts: request.maxAttempts,
        bodyRepeatable: remainingBody.kind === "kept" || !remainingBody.used,
        beganAt,
        objectiveAt: request.objectiveAt,
        now: monotonicNow(),
        deadlineAt: request.deadlineAt,
      }, {
        settings: options.retries(),
        budget: budgets.of(request.service),
        random,
      });
      if (decision.usesBudget) budgets.set(request.service, decision.budget);
      const givesUp = decision.kind === "giveUp" || request.signal.aborted;
      events.record(givesUp ? "request-given-up" : "request-retried", {
        request: request.id,
        attempt,
        to,
        ...choiceDetail,
        outcome: failure.outcome,
        reason: result.error.reason,
        milliseconds: Math.round(monotonicNow() - beganAt),
        repeatsSaved: Math.floor(decision.budget.saved),
      });
      if (decision.kind === "giveUp" || givesUp) return Result.err(failure);
      metrics.count("requests_retried", { reason: result.error.reason });
      await pause(decision.delayMilliseconds, request.signal);
      await options.readPendingInput();
      if (request.signal.aborted) return Result.err(failure);
    }
  }

  function decideToGiveUp(request: ProxyRequest): RetryDecision {
    const budget = budgets.of(request.service);
    return { kind: "giveUp", budget, usesBudget: false };
  }

  async function attemptOnce(
    request: ProxyRequest,
    options: {
      readonly body: Body;
      readonly tried: Set<AgentId>;
      readonly namedOwner: VersionedOwner | null;
    },
  ): Promise<Attempt> {
    const { key } = request;
    if (!mayBegin(request)) return unsent(notRun("agent-stopping"));
    return key === null
      ? await unkeyed.attempt(request, options)
      : await attemptKeyed(request, { ...options, key });
  }

  async function attemptKeyed(
    request: ProxyRequest,
    { body, key, namedOwner }: {
      readonly body: Body;
      readonly key: string;
      readonly namedOwner: VersionedOwner | null;
    },
  ): Promise<Attempt> {
    const group = groupOf(request, key);
    if (group === null) return unsent(notRun("no-such-service"));
    let owner = tables.ownerOf(group, key, namedOwner);
    // The key may have moved to another region since the table was read.
    if (owner === null || !isAllowed(request, owner)) {
      await tables.refresh(group);
      await options.readPendingInput();
      if (request.signal.aborted) return unsent(notRun("caller-left"));
      owner = tables.ownerOf(group, key, namedOwner);
    }
    const version = newerToken(
      tables.version(group),
      namedOwner?.version ?? noToken,
    );
    const choiceDetail = { table: formatToken(version) };
    if (owner === null) return unsent(notRun("no-owner-known"), choiceDetail);
    const to = owner.id;
    if (!isAllowed(request, owner)) {
      return unsent(reasonForRegion(owner), {
        ...choiceDetail,
        owner: to,
        region: owner.region ?? "",
        allowedRegions: request.allowedRegions?.join() ?? "",
      });
    }
    const { rank, objectiveAt, deadlineAt } = request;
    const asked = { owner: to, rank, objectiveAt, deadlineAt };
    const decision = ownerAdmission.decide(asked);
    if (decision.kind === "refuse") {
      const { retryAfterMilliseconds, returnsEarly } = decision;
      return unsent(notRun("queue-full", retryAfterMilliseconds), {
        ...choiceDetail,
        knownFull: to,
        retryAfterMilliseconds: Math.round(retryAfterMilliseconds ?? 0),
        returnsEarly,
      });
    }
    const result = await sendTo(owner, request, body);
    ownerAdmission.recordReply(asked, result);
    if (result.isOk) return { result, to, choiceDetail, redirect: null };
    const named = result.error.owner;
    const redirect = isNewerOwner(named, version) ? named : null;
    if (ownerMayHaveChanged(result.error)) {
      const refreshed = tables.refresh(group);
      // With a redirect to the new owner there is no need to wait for the
      // table.
      if (redirect === null) await refreshed;
    }
    return { result, to, choiceDetail, redirect };
  }

  function groupOf(request: ProxyRequest, key: string): string | null {
    const service = options.configuration().services.find((service) =>
      service.name === request.service
    );
    const groups = service?.keys?.groups;
    if (groups === undefined) return null;
    return groupOfKey(key, { service: request.service, groups, hash });
  }

  async function sendTo(
    destination: Destination,
    request: ProxyRequest,
    body: Body,
  ): Promise<Result<ProxyAnswer, Failure>> {
    events.record("request-routed", {
      request: request.id,
      to: destination.id,
    });
    if (destination.id === agent.id) {
      return await options.serve.serve(request, { body });
    }
    const { region } = destination;
    if (region !== null && region !== agent.place.region) {
      countRegionBytes(request, body);
    }
    return await options.forwarder.forward(destination.address, request, {
      body,
      receiver: destination.id,
    });
  }

  function countRegionBytes(request: ProxyRequest, body: Body): void {
    const bytes = bodySizeOf(request, body);
    const rank = String(request.rank);
    metrics.count("region_link_bytes", { rank }, bytes);
  }

  return {
    handle,
    lendRetries: (loan) => Promise.resolve(budgets.lend(loan)),
    running: () => running,
  };
}

function bodyAfterAttempt(body: Body): Body {
  if (body.kind === "kept") return body;
  const used = body.used || body.stream.readableDidRead ||
    body.stream.destroyed;
  return { ...body, used };
}
