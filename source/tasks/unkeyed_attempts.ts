/**
 * Attempts for requests without a key. Owns the routing state of this entry,
 * chooses targets by it, and offers large bodies before they are sent.
 *
 * @module
 */
import { Result } from "true-myth";
import type { Agent, AgentId } from "../core/agent.ts";
import { describeSlowness } from "../core/load/target_load.ts";
import {
  type Failure,
  type FailureReason,
  notRun,
} from "../core/request/outcome.ts";
import { regionNotAllowed } from "../core/routes/allowed_regions.ts";
import { pickAnyPair, type PickPair } from "../core/routing/candidate_pairs.ts";
import {
  leaveOutNone,
  type LeavesOut,
} from "../core/routing/failing_targets.ts";
import {
  describeHealth,
  healthChange,
  unknownHealth,
} from "../core/target/observed_health.ts";
import {
  chooseHealthyTarget,
  createRouting,
  forgetTargets,
  type RoutingEvent,
  type RoutingState,
  stepRouting,
} from "../core/routing/routing.ts";
import type { EventDetail, Events } from "../ports/events.ts";
import type { ReadPendingInput } from "../ports/input.ts";
import type { Peers } from "../ports/peers.ts";
import type { Body, ProxyAnswer, ProxyRequest } from "../ports/upstream.ts";
import { onAnswerEnd } from "./answer_end.ts";
import { type Attempt, bodySizeOf, unsent } from "./attempt.ts";
import { offerBody, requiresOffer } from "./body_offers.ts";
import { openMailbox } from "./mailbox.ts";
import type { Destination } from "./owner_tables.ts";
import { monotonicNow } from "./time.ts";

/** Makes attempts for requests without a key. */
export interface UnkeyedAttempts {
  /** Adds each target that the request was sent or offered to to `tried`. */
  attempt(
    request: ProxyRequest,
    options: { readonly body: Body; readonly tried: Set<AgentId> },
  ): Promise<Attempt>;
  /** Drops the routing state of all other agents. */
  retainTargets(agents: readonly Agent[]): void;
}

/** Lowest HTTP status that counts as a failure of the target. */
const minFailureStatus = 500;

/** Reasons that don't show that a target has failed. */
const reasonsWithoutFailure: ReadonlySet<FailureReason> = new Set([
  "body-too-large",
  "caller-left",
  "deadline-passed",
  "region-not-allowed",
]);

/** Maximum number of agents to which a body is offered, the nearest first. */
const maxOffers = 3;

/** Share of the time to the objective in which a body may be offered. */
const offerShareOfObjective = 1 / 8;

/** Bounds the offers, so that a refused caller still has time for a retry. */
function latestOfferAt(request: ProxyRequest): number {
  const { objectiveAt, deadlineAt } = request;
  const now = monotonicNow();
  return now + ((objectiveAt ?? deadlineAt) - now) * offerShareOfObjective;
}

/** Returns the refusal with the earlier retry. */
function soonerRetry(earlier: Attempt | null, latest: Attempt): Attempt {
  if (earlier === null) return latest;
  return retryAfter(earlier) <= retryAfter(latest) ? earlier : latest;
}

function retryAfter({ result }: Attempt): number {
  return result.isErr
    ? result.error.retryAfterMilliseconds ?? Infinity
    : Infinity;
}

function reasonForNoTarget({ allowedRegions = [] }: ProxyRequest): Failure {
  return allowedRegions.length === 0
    ? notRun("no-target-known")
    : regionNotAllowed();
}

function destinationOf(target: Agent): Destination {
  const { id, peerAddress, place } = target;
  return { id, address: peerAddress, region: place.region };
}

/** Starts with an empty routing state. */
export function startUnkeyedAttempts(options: {
  readonly agent: Agent;
  /** The data centres that are evacuated. */
  readonly evacuated: () => ReadonlySet<string>;
  /** The regions that some requests of a service are restricted to. */
  readonly restrictedRegions: (service: string) => ReadonlySet<string>;
  /** What log lines say of these; nothing when left out. */
  readonly describeEvacuated?: () => EventDetail;
  readonly targetsOf: (service: string) => readonly Agent[];
  readonly peers: Peers;
  readonly random: () => number;
  /** Draws the targets to compare; any of them when left out. */
  readonly pickPair?: PickPair;
  /** Which failing targets a request leaves out; none when left out. */
  readonly leavesOut?: LeavesOut;
  /** Called for each choice from which a failing target is left out. */
  readonly onFailingAvoided?: () => void;
  readonly events: Events;
  readonly readPendingInput: ReadPendingInput;
  readonly sendTo: (
    destination: Destination,
    request: ProxyRequest,
    body: Body,
  ) => Promise<Result<ProxyAnswer, Failure>>;
}): UnkeyedAttempts {
  const { agent, random, events } = options;
  const { pickPair = pickAnyPair, leavesOut = leaveOutNone } = options;
  let routing = createRouting();

  const mailbox = openMailbox<RoutingEvent>((event) => {
    const before = routing;
    routing = stepRouting(before, event);
    if (leavesOut !== leaveOutNone) reportHealth(before, event.id);
  });

  /** Reports a target that begins or ceases to lose requests of this entry. */
  function reportHealth(before: RoutingState, id: AgentId): void {
    const health = routing.views.get(id)?.health ?? unknownHealth;
    const former = before.views.get(id)?.health ?? unknownHealth;
    const change = healthChange(former, health);
    if (change === null) return;
    events.record(`target-${change}`, {
      target: id,
      seenBy: "entry",
      ...describeHealth(health),
    });
  }

  async function attempt(
    request: ProxyRequest,
    { body, tried }: { readonly body: Body; readonly tried: Set<AgentId> },
  ): Promise<Attempt> {
    const bytes = bodySizeOf(request, body);
    const askUntil = latestOfferAt(request);
    let refused: Attempt | null = null;
    for (let offers = 0; offers < maxOffers; offers += 1) {
      const { target, choiceDetail } = choose(request, { bytes, tried });
      if (target === null) {
        return refused ?? unsent(reasonForNoTarget(request), choiceDetail);
      }
      // All targets were tried; offering the body again would give the same
      // reply.
      if (refused !== null && tried.has(target.id)) return refused;
      tried.add(target.id);
      const sentAt = monotonicNow();
      mailbox.send({ kind: "sent", id: target.id, now: sentAt });
      const failure = await offerIfRequired(target, request, bytes) ??
        await reasonNotToSend(request, bytes);
      const to = target.id;
      if (failure === null) {
        const result = await options.sendTo(
          destinationOf(target),
          request,
          body,
        );
        recordResult(to, { result, rank: request.rank, sentAt });
        return { result, to, choiceDetail, redirect: null };
      }
      recordRefusedOffer(to, { failure, rank: request.rank, sentAt });
      const latest = {
        ...unsent(failure, choiceDetail),
        to,
        offerRefused: true,
      };
      refused = soonerRetry(refused, latest);
      if (request.signal.aborted) break;
      const full = failure.reason === "queue-full";
      if (full && monotonicNow() > askUntil) break;
    }
    return refused ?? unsent(notRun("no-target-known"));
  }

  /** Only an unreachable agent has failed; one that refuses a body has not. */
  function recordRefusedOffer(
    id: AgentId,
    offer: {
      readonly failure: Failure;
      readonly rank: number;
      readonly sentAt: number;
    },
  ): void {
    const { failure, rank, sentAt } = offer;
    if (failure.reason === "target-unreachable") {
      return recordResult(id, { result: Result.err(failure), rank, sentAt });
    }
    mailbox.send({ kind: "abandoned", id, now: monotonicNow() });
  }

  function choose(
    request: ProxyRequest,
    work: { readonly bytes: number; readonly tried: ReadonlySet<AgentId> },
  ): { readonly target: Agent | null; readonly choiceDetail: EventDetail } {
    const { allowedRegions = [] } = request;
    const query = {
      from: agent.place,
      allowedRegions,
      ...(allowedRegions.length === 0
        ? { restrictedRegions: options.restrictedRegions(request.service) }
        : {}),
      evacuated: options.evacuated(),
      targets: options.targetsOf(request.service),
      rank: request.rank,
      bodyBytes: work.bytes,
      now: monotonicNow(),
      random,
      pickPair,
      leavesOut,
    };
    const untried = chooseHealthyTarget(routing, {
      ...query,
      tried: work.tried,
    });
    const { target, leftOut } = untried.target !== null
      ? untried
      : chooseHealthyTarget(routing, { ...query, tried: new Set<AgentId>() });
    if (leftOut.size > 0) options.onFailingAvoided?.();
    const view = routing.views.get(target?.id ?? "");
    return {
      target,
      choiceDetail: {
        targets: query.targets.length,
        ...(allowedRegions.length === 0
          ? {}
          : { allowedRegions: allowedRegions.join() }),
        ...(leftOut.size === 0 ? {} : { failingTargets: leftOut.size }),
        ...options.describeEvacuated?.(),
        ...describeSlowness(view?.slowness ?? null, query.now),
      },
    };
  }

  /** Offers a large body; null when it may be sent, else the reason why not. */
  async function offerIfRequired(
    target: Agent,
    request: ProxyRequest,
    bytes: number,
  ): Promise<Failure | null> {
    if (target.id === agent.id || !requiresOffer(bytes)) return null;
    return await offerBody(target, { request, bytes, peers: options.peers });
  }

  /** Checks again whether the caller left while its body was offered. */
  async function reasonNotToSend(
    request: ProxyRequest,
    bytes: number,
  ): Promise<Failure | null> {
    if (requiresOffer(bytes)) await options.readPendingInput();
    return request.signal.aborted ? notRun("caller-left") : null;
  }

  function recordResult(
    id: AgentId,
    attempt: {
      readonly result: Result<ProxyAnswer, Failure>;
      readonly rank: number;
      readonly sentAt: number;
    },
  ): void {
    const { result, rank, sentAt } = attempt;
    const now = monotonicNow();
    const took = { rank, milliseconds: now - sentAt };
    if (result.isOk) {
      const { load, slowness = null, body, status } = result.value;
      const failure = status >= minFailureStatus;
      onAnswerEnd(body, () => {
        const now = monotonicNow();
        const reported = { load, slowness };
        mailbox.send({ kind: "replied", id, ...reported, took, failure, now });
      });
      return;
    }
    const { reason } = result.error;
    if (reasonsWithoutFailure.has(reason)) {
      return mailbox.send({ kind: "abandoned", id, took, now });
    }
    // The time of a refusal does not measure the target's service time.
    const refused = result.error.outcome === "not-run" &&
      reason !== "target-unreachable";
    const failing = reason === "target-failing";
    mailbox.send({
      kind: "failed",
      id,
      ...(refused ? { failing } : { took }),
      now,
    });
  }

  return {
    attempt,
    retainTargets(agents) {
      const present = new Set(agents.map((agent) => agent.id));
      routing = forgetTargets(routing, present);
    },
  };
}
