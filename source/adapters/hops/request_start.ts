/**
 * Starts requests that have been received, over HTTP or over links: each runs
 * once, and none runs whose caller has left or whose deadline has passed.
 *
 * @module
 */
import { Result } from "true-myth";
import {
  type Failure,
  type FailureReason,
  notRun,
} from "../../core/request/outcome.ts";
import type { ProxyAnswer, ProxyRequest } from "../../ports/upstream.ts";
import type { HopCopy, HopDeduplicator } from "./hop_deduplication.ts";
import type { PendingInputGate } from "../callers/pending_input.ts";
import type { ArrivalReport } from "./transit.ts";

/** A copy of a request that was received completely from another agent. */
export interface ReceivedCopy {
  /** The id of the request. */
  readonly request: string;
  readonly hop: HopCopy;
  /** The transit delay. */
  readonly lateMilliseconds: number;
  /** Whether the deadline of the request has passed. */
  readonly expired: boolean;
}

/** Runs a request to its result. */
type StartRequest = () => Promise<Result<ProxyAnswer, Failure>>;

/** A request that was not started, since its caller had left. */
export interface AbandonedRequest {
  /** The id of the request. */
  readonly request: string;
  /** Between reading the request and finding that its caller had left. */
  readonly milliseconds: number;
}

/**
 * Reports a received copy, and runs its request unless another copy of it may
 * have started it. Null when the sender no longer waits for this copy.
 */
export function runReceivedCopy(
  { hop, ...arrival }: ReceivedCopy,
  options: {
    readonly deduplicator: HopDeduplicator;
    readonly onArrival: (note: ArrivalReport) => void;
    readonly start: StartRequest;
  },
): Promise<Result<ProxyAnswer, Failure> | null> {
  const { deduplicator } = options;
  options.onArrival({
    ...arrival,
    from: hop.sender,
    copy: hop.copy,
    fate: deduplicator.fateOf(hop),
  });
  return deduplicator.run(hop, options.start);
}

/**
 * Starts a request once pending socket input has been read, which may say that
 * its caller has left. A request whose caller has left, or whose deadline has
 * passed, is not started: its result is a failure with the outcome not-run. A
 * caller that has left is also reported.
 */
export async function startIfWanted(
  request: Pick<ProxyRequest, "id" | "signal" | "deadlineAt">,
  options: {
    readonly pendingInput: PendingInputGate;
    readonly now: () => number;
    readonly onAbandoned: (note: AbandonedRequest) => void;
    readonly start: StartRequest;
  },
): Promise<Result<ProxyAnswer, Failure>> {
  const { now } = options;
  const readAt = now();
  await options.pendingInput.enter();
  if (now() >= request.deadlineAt) return notStarted("deadline-passed");
  if (!request.signal.aborted) return options.start();
  const milliseconds = Math.round(now() - readAt);
  options.onAbandoned({ request: request.id, milliseconds });
  return notStarted("caller-left");
}

function notStarted(reason: FailureReason): Result<ProxyAnswer, Failure> {
  return Result.err(notRun(reason));
}
