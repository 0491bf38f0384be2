/**
 * Messages on a link between two agents. `hop_codec.ts` encodes them.
 *
 * @module
 */
import type { Failure } from "../../core/request/outcome.ts";
import type { Departure } from "../../core/request/transit_delay.ts";
import type { Headers, ProxyRequest } from "../../ports/upstream.ts";
import type { HopCopy } from "./hop_deduplication.ts";

/** A request that is forwarded to another agent; its body follows the head. */
export interface RequestMessage {
  readonly kind: "request";
  readonly hop: HopCopy;
  /** The logical time of the sender. */
  readonly clock: number;
  readonly request: Omit<
    ProxyRequest,
    | "deadlineAt"
    | "objectiveAt"
    | "signal"
    | "longestBodyBytes"
    | "maxAttempts"
  >;
  /** Null if the sender does not tell it. */
  readonly departure: Departure | null;
  /** The time from its departure to its deadline. */
  readonly deadlineMilliseconds: number;
  /**
   * The time from its departure to its objective; negative once the objective
   * has passed, null without one.
   */
  readonly objectiveMilliseconds: number | null;
}

/** The sender has given the request up. */
export interface CancelMessage {
  readonly kind: "cancel";
  readonly hop: HopCopy;
}

/** Identifies to a sender which of its copies is answered. */
export type AnsweredCopy = Pick<HopCopy, "sequence" | "copy">;

/** The complete answer of a target; its body follows the head. */
export interface AnswerMessage {
  readonly kind: "answer";
  readonly hop: AnsweredCopy;
  readonly clock: number;
  readonly status: number;
  readonly headers: Headers;
  readonly load: number | null;
  readonly slowness: number | null;
}

/** Why a request has no answer of a target. */
export interface FailureMessage {
  readonly kind: "failure";
  readonly hop: AnsweredCopy;
  readonly clock: number;
  readonly failure: Failure;
}

/** A message from the agent that forwards requests. */
export type ClientMessage = RequestMessage | CancelMessage;

/** A message from the agent that forwarded requests are sent to. */
export type ServerMessage = AnswerMessage | FailureMessage;
