/**
 * One attempt to send a request to a target, and its result for the entry.
 *
 * @module
 */
import { Result } from "true-myth";
import type { AgentId } from "../core/agent.ts";
import type { VersionedOwner } from "../core/ownership/table.ts";
import type { Failure } from "../core/request/outcome.ts";
import type { EventDetail } from "../ports/events.ts";
import type { Body, ProxyAnswer, ProxyRequest } from "../ports/upstream.ts";

/** The result of one attempt. */
export interface Attempt {
  readonly result: Result<ProxyAnswer, Failure>;
  /** The agent that the request was sent to; empty for none. */
  readonly to: AgentId;
  /** Event fields that tell what the choice of that agent was based on. */
  readonly choiceDetail: EventDetail;
  /** A newer owner of the key, named by that agent; null for none. */
  readonly redirect: VersionedOwner | null;
  /** Whether the body was offered to agents and none of them admitted it. */
  readonly offerRefused?: boolean;
}

/** The result of an attempt in which no agent was sent the request. */
export function unsent(
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

/** Size of a body in bytes; the caller's content-length for a streamed one. */
export function bodySizeOf(request: ProxyRequest, body: Body): number {
  return body.kind === "kept"
    ? body.bytes.length
    : Number(request.headers["content-length"] ?? 0);
}
