/**
 * Deduplication of the copies of a forwarded request. An agent whose connection
 * has gone silent sends a further copy of the request on a new connection; the
 * agent that receives several copies runs the request once and answers the
 * latest copy.
 *
 * There is no bound on the transit delay of a copy. So a request that has run
 * is remembered until the sender itself states that it no longer waits for it.
 * Copies of the request that arrive afterwards are not run.
 *
 * Two processes may be reachable at one address, an agent and the one that was
 * started after it. So a copy names the process that it is meant for, the same
 * in all copies of a request, and no other process runs it.
 *
 * @module
 */
import { Result } from "true-myth";
import type { AgentId } from "../../core/agent.ts";
import {
  type Failure,
  notRun,
  unknownOutcome,
} from "../../core/request/outcome.ts";
import type { ProxyAnswer } from "../../ports/upstream.ts";
import { decodeFieldText } from "../headers.ts";
import { useEntry } from "../recently_used.ts";

/** Identifies one copy of a forwarded request. */
export interface HopCopy {
  /**
   * The part of a process that sent the copy, by a name that no other sender
   * ever has.
   */
  readonly sender: string;
  /** The number of the request, which grows with each that is forwarded. */
  readonly sequence: number;
  /** The number of the copy, from 1. */
  readonly copy: number;
  /** The sender no longer waits for any request with a lower number. */
  readonly settledBelow: number;
  /** The process that all copies of the request are meant for. */
  readonly receiver: AgentId;
}

/** Ends the name of a sender that sends over links. */
const linkSenderSuffix = "/link";

/** The name under which an agent sends requests over links. */
export function linkSenderOf(agent: AgentId): string {
  return `${agent}${linkSenderSuffix}`;
}

/** The agent that forwarded a request, over links or not. */
export function entryOf({ sender }: Pick<HopCopy, "sender">): AgentId {
  return sender.endsWith(linkSenderSuffix)
    ? sender.slice(0, -linkSenderSuffix.length)
    : sender;
}

/** What happens to a copy that has arrived. */
export type CopyFate =
  /** It is the first copy to arrive, and starts the request. */
  | "begins"
  /**
   * Another copy has started the request, or the request was cancelled: nothing
   * more is run. The latest copy gets the answer, if there still is one.
   */
  | "joins"
  /** Its sender no longer waits for the request: nothing is run. */
  | "settled"
  /** It is meant for another process: nothing is run. */
  | "refused";

/** Runs each forwarded request at most once. */
export interface HopDeduplicator {
  /**
   * Runs a request unless another copy may have started it, and returns the
   * result to the latest copy only. Null when the sender does not wait for this
   * copy: it is not the latest, or the result has gone to another copy, or the
   * request is settled or cancelled.
   */
  run(
    hop: HopCopy,
    start: () => Promise<Result<ProxyAnswer, Failure>>,
  ): Promise<Result<ProxyAnswer, Failure> | null>;
  /** What would happen to a copy that arrived now. */
  fateOf(hop: HopCopy): CopyFate;
  /** The sender has given the request up: later copies don't run. */
  cancel(hop: HopCopy): void;
  /** Whether a later copy of the same request has arrived. */
  isSuperseded(hop: HopCopy): boolean;
}

/** What is remembered of a request that has started or was cancelled. */
interface KnownRequest {
  /**
   * Null once a copy has received it, so that it is not kept in memory, and for
   * a request that was cancelled before it started.
   */
  result: Promise<Result<ProxyAnswer, Failure>> | null;
  /** The highest number of a copy that has arrived. */
  latest: number;
}

/** What is known of the requests of one sender. */
interface SenderState {
  settledBelow: number;
  /** By sequence number. */
  readonly requests: Map<number, KnownRequest>;
}

/** Beyond this number the least recently seen sender is forgotten. */
const maxSenders = 16_384;

/**
 * Creates a deduplicator that knows no requests yet, for the process with this
 * name.
 */
export function createHopDeduplicator(self: AgentId): HopDeduplicator {
  const senders = new Map<string, SenderState>();

  function stateOf(hop: HopCopy): SenderState {
    const state = useEntry<string, SenderState>(senders, hop.sender, {
      max: maxSenders,
      create: () => ({ settledBelow: 0, requests: new Map() }),
    });
    settle(state, hop.settledBelow);
    return state;
  }

  function fateOf(hop: HopCopy): CopyFate {
    const { requests, settledBelow } = stateOf(hop);
    if (requests.has(hop.sequence)) return "joins";
    if (hop.sequence < settledBelow) return "settled";
    return hop.receiver === self ? "begins" : "refused";
  }

  return {
    fateOf,
    async run(hop, start) {
      const fate = fateOf(hop);
      if (fate === "settled") return null;
      if (fate === "refused") return hop.copy === 1 ? hasNotRun : mayHaveRun;
      const { requests } = stateOf(hop);
      const request = requests.get(hop.sequence) ??
        { result: start(), latest: hop.copy };
      requests.set(hop.sequence, request);
      request.latest = Math.max(request.latest, hop.copy);
      const result = await request.result;
      if (request.latest !== hop.copy || request.result === null) return null;
      request.result = null;
      return result;
    },
    cancel(hop) {
      const { requests, settledBelow } = stateOf(hop);
      if (hop.sequence < settledBelow || requests.has(hop.sequence)) return;
      requests.set(hop.sequence, { result: null, latest: hop.copy });
    },
    isSuperseded(hop) {
      const request = senders.get(hop.sender)?.requests.get(hop.sequence);
      return (request?.latest ?? 0) > hop.copy;
    },
  };
}

const hasNotRun = Result.err<ProxyAnswer, Failure>(
  notRun("target-unreachable"),
);
/** The process that the copies are meant for may have run an earlier one. */
const mayHaveRun = Result.err<ProxyAnswer, Failure>(
  unknownOutcome("connection-lost"),
);

function settle(state: SenderState, below: number): void {
  if (below <= state.settledBelow) return;
  state.settledBelow = below;
  for (const sequence of state.requests.keys()) {
    if (sequence < below) state.requests.delete(sequence);
  }
}

/** Sequence numbers of the requests that one sender forwards. */
export interface HopSequence {
  /** Returns the number of a new request, which is open until it is settled. */
  allocate(): number;
  /** No further copy of the request is sent, and no answer is awaited. */
  settle(sequence: number): void;
  /** The lowest open number, or the next one when none is open. */
  settledBelow(): number;
}

/** Creates a sequence that starts with 1. */
export function createHopSequence(): HopSequence {
  const open = new Set<number>();
  let lastAllocated = 0;
  return {
    allocate() {
      lastAllocated += 1;
      open.add(lastAllocated);
      return lastAllocated;
    },
    settle: (sequence) => void open.delete(sequence),
    settledBelow() {
      const [lowest] = open;
      return lowest ?? lastAllocated + 1;
    },
  };
}

/** Formats the identity of a copy as a header value. */
export function formatHop(hop: HopCopy): string {
  const { sequence, copy, settledBelow } = hop;
  const names = [hop.sender, hop.receiver].map(encodeURIComponent);
  return [...names, sequence, copy, settledBelow].join(" ");
}

/** Parses a header value; null when it identifies no copy. */
export function parseHop(text: string | null): HopCopy | null {
  const match = /^(\S{1,200}) (\S{1,200}) (\d{1,15}) (\d{1,3}) (\d{1,15})$/
    .exec(text ?? "");
  if (match === null) return null;
  const [, sender = "", receiver = "", ...numbers] = match;
  const [sequence = 0, copy = 0, settledBelow = 0] = numbers.map(Number);
  return {
    sender: decodeFieldText(sender),
    receiver: decodeFieldText(receiver),
    sequence,
    copy,
    settledBelow,
  };
}
