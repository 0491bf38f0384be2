/**
 * A request on a link: the messages with its copies, and the result that a
 * received message means.
 *
 * @module
 */
import { Result } from "true-myth";
import type { AgentId } from "../../core/agent.ts";
import { type Failure, unknownOutcome } from "../../core/request/outcome.ts";
import type { ProxyAnswer, ProxyRequest } from "../../ports/upstream.ts";
import type { LogicalClock } from "../logs/logical_clock.ts";
import { isAnswerStatus } from "../targets/exchange.ts";
import type { HopCopy, HopSequence } from "./hop_deduplication.ts";
import type { RequestMessage, ServerMessage } from "./hop_messages.ts";
import { timeLeft } from "./time_left.ts";
import type { StampDeparture } from "./transit.ts";

type SettleRequest = (result: Result<ProxyAnswer, Failure>) => void;

/** A request that waits for its answer. */
export interface PendingRequest {
  readonly sequence: number;
  /** The process that is expected at the address. */
  readonly receiver: AgentId;
  readonly request: ProxyRequest;
  readonly bytes: Uint8Array;
  /** The number of the latest copy, from 1. */
  copy: number;
  /** When the latest copy was sent; 0 before the first. */
  sentAt: number;
  readonly settle: SettleRequest;
}

/** What the identity of a copy is made from, besides its request. */
export interface HopNaming {
  /** The name of this set of links; no other sender ever has the same. */
  readonly sender: string;
  readonly numbers: HopSequence;
}

/** The identity of a copy of a request. */
export function hopOf(
  { sequence, receiver, copy }: Pick<
    PendingRequest,
    "sequence" | "receiver" | "copy"
  >,
  options: HopNaming,
): HopCopy {
  const settledBelow = options.numbers.settledBelow();
  return { sender: options.sender, receiver, sequence, copy, settledBelow };
}

/** The message with the latest copy of a request. */
export function composeRequest(
  entry: PendingRequest,
  options: HopNaming & {
    readonly clock: LogicalClock;
    readonly depart: StampDeparture;
  },
): RequestMessage {
  const { request, sentAt } = entry;
  const { method, path, authority, headers, service, key, rank } = request;
  const { account } = request;
  return {
    kind: "request",
    hop: hopOf(entry, options),
    clock: options.clock.next(),
    departure: options.depart(),
    request: {
      id: request.id,
      method,
      path,
      authority,
      headers,
      service,
      key,
      rank,
      idempotent: request.idempotent,
      ...(account === undefined ? {} : { account }),
    },
    ...timeLeft(request, sentAt),
  };
}

/**
 * What a received message means for its request; null if the request goes on
 * waiting.
 */
export function resultOf(
  entry: PendingRequest,
  { message, bytes }: {
    readonly message: ServerMessage;
    readonly bytes: Uint8Array;
  },
): Result<ProxyAnswer, Failure> | null {
  if (message.kind === "failure") {
    // An earlier copy may have failed because the latest one replaced it.
    if (entry.copy !== message.hop.copy) return null;
    return Result.err(failureAfterCopies(entry, message.failure));
  }
  const { status, headers, load, slowness } = message;
  if (!isAnswerStatus(status)) {
    return Result.err(unknownOutcome("connection-lost"));
  }
  const body = { kind: "whole", bytes } as const;
  return Result.ok({ status, headers, load, slowness, body });
}

/** The outcome is unknown after several copies: an earlier one may have run. */
function failureAfterCopies(
  entry: PendingRequest,
  failure: Failure,
): Failure {
  return entry.copy === 1 ? failure : unknownOutcome(failure.reason);
}
