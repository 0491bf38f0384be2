/**
 * Takes in requests, whichever way they came: each runs once, and none whose
 * caller has left or whose time is over.
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
import type { HopCopy, HopLedger } from "./hop_ledger.ts";
import type { PendingInputGate } from "../callers/pending_input.ts";
import type { ArrivalNote } from "./transit.ts";

/** A request that has come whole from another agent. */
export interface HopArrival {
  /** The id of the request. */
  readonly request: string;
  readonly hop: HopCopy;
  /** For how long it was held up on its way. */
  readonly lateMilliseconds: number;
  /** Whether its time is over. */
  readonly expired: boolean;
}

type Start = () => Promise<Result<ProxyAnswer, Failure>>;

/** A request that was not begun, since its caller had left. */
export interface AbandonNote {
  /** The id of the request. */
  readonly request: string;
  /** Between reading it and finding that its caller had left. */
  readonly milliseconds: number;
}

/** Tells of an arrival and runs it; null when nobody waits for this copy. */
export function takeIn(
  { hop, ...arrival }: HopArrival,
  options: {
    readonly ledger: HopLedger;
    readonly onArrival: (note: ArrivalNote) => void;
    readonly start: Start;
  },
): Promise<Result<ProxyAnswer, Failure> | null> {
  const { ledger } = options;
  options.onArrival({
    ...arrival,
    from: hop.sender,
    copy: hop.copy,
    fate: ledger.fateOf(hop),
  });
  return ledger.run(hop, options.start);
}

/**
 * Begins a request once the word of its caller that came with it has been
 * read. Nothing is begun whose caller has left or whose time is over.
 */
export async function startWanted(
  request: Pick<ProxyRequest, "id" | "signal" | "deadlineAt">,
  options: {
    readonly intake: PendingInputGate;
    readonly now: () => number;
    readonly onAbandoned: (note: AbandonNote) => void;
    readonly start: Start;
  },
): Promise<Result<ProxyAnswer, Failure>> {
  const { now } = options;
  const readAt = now();
  await options.intake.enter();
  if (now() >= request.deadlineAt) return notBegun("deadline-passed");
  if (!request.signal.aborted) return options.start();
  const milliseconds = Math.round(now() - readAt);
  options.onAbandoned({ request: request.id, milliseconds });
  return notBegun("caller-left");
}

function notBegun(reason: FailureReason): Result<ProxyAnswer, Failure> {
  return Result.err(notRun(reason));
}
