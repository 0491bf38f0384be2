/**
 * Offers large bodies to the agents beside targets, before any byte of them is
 * sent on.
 *
 * @module
 */
import type { Agent } from "../core/agent.ts";
import { longestOfferWaitMilliseconds } from "../core/bodies/link_room.ts";
import { type Failure, notRun } from "../core/request/outcome.ts";
import type { Peers } from "../ports/peers.ts";
import type { ProxyRequest } from "../ports/upstream.ts";
import { monotonicNow } from "./time.ts";

/** A smaller body is sent at once: a question would cost as much. */
const minOfferedBytes = 16_384;
/** An answer may take this much longer than the wait for room. */
const replyMarginMilliseconds = 400;

/** Whether a body of this size is offered before it is sent. */
export function requiresOffer(bytes: number): boolean {
  return bytes > minOfferedBytes;
}

/**
 * Offers a request's body to the agent beside a target; null once it may be
 * sent, else why not.
 */
export async function offerBody(
  target: Agent,
  offered: {
    readonly request: ProxyRequest;
    readonly bytes: number;
    readonly peers: Peers;
  },
): Promise<Failure | null> {
  const { request, bytes, peers } = offered;
  const now = monotonicNow();
  const objectiveAt = request.objectiveAt ?? request.deadlineAt;
  const reply = await peers.call(target.peerAddress, "offerBody", {
    message: {
      request: request.id,
      service: request.service,
      bytes,
      objectiveMilliseconds: objectiveAt - now,
      deadlineMilliseconds: request.deadlineAt - now,
    },
    timeoutMilliseconds: longestOfferWaitMilliseconds + replyMarginMilliseconds,
  });
  if (reply.isErr) {
    // An agent of an earlier release knows no offers.
    return reply.error.kind === "rejected"
      ? null
      : notRun("target-unreachable");
  }
  if (reply.value.kind === "come") return null;
  return notRun(reply.value.reason, reply.value.retryAfterMilliseconds);
}
