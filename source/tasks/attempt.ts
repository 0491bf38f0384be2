/**
 * One attempt to bring a request to a target, as the entry judges it.
 *
 * @module
 */
import { Result } from "true-myth";
import type { AgentId } from "../core/agent.ts";
import type { OwnerAsOf } from "../core/ownership/table.ts";
import type { Failure } from "../core/request/outcome.ts";
import type { EventDetail } from "../ports/events.ts";
import type { Body, ProxyAnswer, ProxyRequest } from "../ports/upstream.ts";

/** One attempt, with what there is to say of it. */
export interface Attempt {
  readonly result: Result<ProxyAnswer, Failure>;
  /** The agent that it was sent to; empty for none. */
  readonly to: AgentId;
  /** What the choice of that agent went by. */
  readonly choiceDetail: EventDetail;
  /** A later owner of the key than was known here; null for none. */
  readonly redirect: OwnerAsOf | null;
  /** Whether agents were asked for room, and had none. */
  readonly offerRefused?: boolean;
}

/** An attempt that no agent was sent. */
export function unsentAttempt(
  failure: Failure,
  knew: EventDetail = {},
): Attempt {
  return {
    result: Result.err(failure),
    to: "",
    choiceDetail: knew,
    redirect: null,
  };
}

/** Bytes of a body: as the caller states it for a body that is still to come. */
export function bodySizeOf(request: ProxyRequest, body: Body): number {
  return body.kind === "kept"
    ? body.bytes.length
    : Number(request.headers["content-length"] ?? 0);
}
