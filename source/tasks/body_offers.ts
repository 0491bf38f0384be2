/**
 * Offers large request bodies to the agents of targets before any byte of them
 * is sent.
 *
 * @module
 */
import type { Agent } from "../core/agent.ts";
import { maxOfferWaitMilliseconds } from "../core/bodies/link_capacity.ts";
import { type Failure, notRun } from "../core/request/outcome.ts";
import type { Peers } from "../ports/peers.ts";
import type { ProxyRequest } from "../ports/upstream.ts";
import { monotonicNow } from "./time.ts";

/** Smaller bodies are sent directly, as an offer would cost about as much. */
const minOfferedBytes = 16_384;
/** Time for the reply to travel, on top of the longest wait for admission. */
const replyMarginMilliseconds = 400;

/** Whether a body of this size must be offered before it is sent. */
export function requiresOffer(bytes: number): boolean {
  return bytes > minOfferedBytes;
}

/**
 * Offers a request's body to the agent of a target. Resolves to null once the
 * body may be sent, and otherwise to the reason why it may not.
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
    timeoutMilliseconds: maxOfferWaitMilliseconds + replyMarginMilliseconds,
  });
  if (reply.isErr) {
    // Agents of earlier releases reject the call and take bodies without
    // offers.
    return reply.error.kind === "rejected"
      ? null
      : notRun("target-unreachable");
  }
  if (reply.value.kind === "come") return null;
  return notRun(reply.value.reason, reply.value.retryAfterMilliseconds);
}
