/**
 * Attempts for requests without a key: owns what this entry has learnt of all
 * targets, chooses one by it, and offers large bodies before they are sent.
 *
 * @module
 */
import { Result } from "true-myth";
import type { Agent, AgentId } from "../core/agent.ts";
import { type Failure, notRun } from "../core/request/outcome.ts";
import {
  beginRouting,
  chooseTarget,
  forgetTargets,
  type RoutingEvent,
  stepRouting,
} from "../core/routing/routing.ts";
import type { EventDetail } from "../ports/events.ts";
import type { ReadPendingInput } from "../ports/input.ts";
import type { Peers } from "../ports/peers.ts";
import type { Body, ProxyAnswer, ProxyRequest } from "../ports/upstream.ts";
import { onAnswerEnd } from "./answer_end.ts";
import { type Attempt, bodySizeOf, unsentAttempt } from "./attempt.ts";
import { offerBody, requiresOffer } from "./body_offers.ts";
import { openMailbox } from "./mailbox.ts";
import type { Destination } from "./owner_tables.ts";
import { monotonicNow } from "./time.ts";

/** Running attempts. */
export interface UnkeyedAttempts {
  /** Adds to `tried` each target that it was sent or offered to. */
  attempt(
    request: ProxyRequest,
    options: { readonly body: Body; readonly tried: Set<AgentId> },
  ): Promise<Attempt>;
  retainTargets(agents: readonly Agent[]): void;
}

/** From this status on an answer is a failure of the target. */
const minFailureStatus = 500;

/** Agents that are asked for room for a body, the nearest first. */
const maxOffers = 3;

/** The part of its objective in which agents are asked for room. */
const offerShareOfObjective = 1 / 8;

/** A caller that has to come back must learn so while that is of use. */
function latestOfferAt(request: ProxyRequest): number {
  const { objectiveAt, deadlineAt } = request;
  const now = monotonicNow();
  return now + ((objectiveAt ?? deadlineAt) - now) * offerShareOfObjective;
}

/** Of two refusals the one that may come back first. */
function soonerRetry(earlier: Attempt | null, latest: Attempt): Attempt {
  if (earlier === null) return latest;
  return retryAfter(earlier) <= retryAfter(latest) ? earlier : latest;
}

function retryAfter({ result }: Attempt): number {
  return result.isErr
    ? result.error.retryAfterMilliseconds ?? Infinity
    : Infinity;
}

function destinationOf(target: Agent): Destination {
  const { id, peerAddress, place } = target;
  return { id, address: peerAddress, region: place.region };
}

/** Starts with nothing learnt. */
export function startUnkeyedAttempts(options: {
  readonly agent: Agent;
  readonly targetsOf: (service: string) => readonly Agent[];
  readonly peers: Peers;
  readonly random: () => number;
  readonly readPendingInput: ReadPendingInput;
  readonly sendTo: (
    destination: Destination,
    request: ProxyRequest,
    body: Body,
  ) => Promise<Result<ProxyAnswer, Failure>>;
}): UnkeyedAttempts {
  const { agent, random } = options;
  let routing = beginRouting();

  const mailbox = openMailbox<RoutingEvent>((event) => {
    routing = stepRouting(routing, event);
  });

  async function attempt(
    request: ProxyRequest,
    { body, tried }: { readonly body: Body; readonly tried: Set<AgentId> },
  ): Promise<Attempt> {
    const bytes = bodySizeOf(request, body);
    const askUntil = latestOfferAt(request);
    let refused: Attempt | null = null;
    for (let offers = 0; offers < maxOffers; offers += 1) {
      const { target, knew } = choose(request, { bytes, tried });
      if (target === null) {
        return refused ?? unsentAttempt(notRun("no-target-known"), knew);
      }
      // Asked again, the same agents would say the same.
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
        return { result, to, choiceDetail: knew, redirect: null };
      }
      recordRefusedOffer(to, { failure, rank: request.rank, sentAt });
      const latest = { ...unsentAttempt(failure, knew), to, asked: true };
      refused = soonerRetry(refused, latest);
      if (request.signal.aborted) break;
      const full = failure.reason === "queue-full";
      if (full && monotonicNow() > askUntil) break;
    }
    return refused ?? unsentAttempt(notRun("no-target-known"));
  }

  /** An agent that has no room for a body is well. */
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
  ): { readonly target: Agent | null; readonly knew: EventDetail } {
    const query = {
      from: agent.place,
      targets: options.targetsOf(request.service),
      rank: request.rank,
      bodyBytes: work.bytes,
      now: monotonicNow(),
      random,
    };
    const target = chooseTarget(routing, { ...query, tried: work.tried }) ??
      chooseTarget(routing, { ...query, tried: new Set<AgentId>() });
    return { target, knew: { targets: query.targets.length } };
  }

  /** Why a large body may not be sent to the target; null when it may. */
  async function offerIfRequired(
    target: Agent,
    request: ProxyRequest,
    bytes: number,
  ): Promise<Failure | null> {
    if (target.id === agent.id || !requiresOffer(bytes)) return null;
    return await offerBody(target, { request, bytes, peers: options.peers });
  }

  /** The caller may have left while its body was offered. */
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
      const { load, body, status } = result.value;
      const failure = status >= minFailureStatus;
      onAnswerEnd(body, () => {
        const now = monotonicNow();
        mailbox.send({ kind: "replied", id, load, took, failure, now });
      });
      return;
    }
    const { reason } = result.error;
    if (reason === "caller-left" || reason === "deadline-passed") {
      return mailbox.send({ kind: "abandoned", id, took, now });
    }
    // A refusal says how full a target is, not how long it takes.
    const refused = result.error.outcome === "not-run" &&
      reason !== "target-unreachable";
    mailbox.send({ kind: "failed", id, ...(refused ? {} : { took }), now });
  }

  return {
    attempt,
    retainTargets(agents) {
      const present = new Set(agents.map((agent) => agent.id));
      routing = forgetTargets(routing, present);
    },
  };
}
