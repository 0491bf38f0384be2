/**
 * Copies of one forwarded request. An agent whose connection has gone silent
 * sends the request once more on a new one; the agent that receives both runs
 * it once and answers the later copy.
 *
 * A copy may be on its way for any length of time. So what has run is
 * remembered until the sender itself has said that it waits for it no longer,
 * and whatever comes of that request afterwards is not run.
 *
 * Two processes may answer at one address, a former and a later one. So no copy
 * is run by another process than the one that all of them are meant for.
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

/** Names one copy of a forwarded request. */
export interface HopCopy {
  /** The part of a process that sent it, by a name that is never used again. */
  readonly sender: string;
  /** Grows with each request that the sender sends on. */
  readonly sequence: number;
  /** Counts from 1. */
  readonly copy: number;
  /** The sender waits for no request with a lower number any more. */
  readonly settledBelow: number;
  /** The process that all copies are meant for. */
  readonly receiver: AgentId;
}

/** What becomes of a copy that has come. */
export type CopyFate =
  /** It is the first of its request. */
  | "begins"
  /** An earlier copy has begun; this one is answered in its place. */
  | "joins"
  /** Its sender no longer waits for it: nothing is run. */
  | "settled"
  /** It was meant for another process: nothing is run. */
  | "refused";

/** What a hop ledger does with a copy. */
export interface HopLedger {
  /**
   * Runs a request unless another copy of it may have begun, and brings the
   * result to the latest copy only. Null when nobody waits for this copy: it
   * is not the latest, or its answer has already gone to another one.
   */
  run(
    hop: HopCopy,
    start: () => Promise<Result<ProxyAnswer, Failure>>,
  ): Promise<Result<ProxyAnswer, Failure> | null>;
  /** What becomes of a copy that comes now. */
  fateOf(hop: HopCopy): CopyFate;
  /** The sender has given the request up: a copy still to come is not run. */
  cancel(hop: HopCopy): void;
  /** Whether a later copy has taken this one's place. */
  superseded(hop: HopCopy): boolean;
}

interface Entry {
  /** Null once it has gone to a copy, so that nothing is kept for others. */
  result: Promise<Result<ProxyAnswer, Failure>> | null;
  latest: number;
}

/** What is remembered of one sender. */
interface SenderMemory {
  settledBelow: number;
  readonly entries: Map<number, Entry>;
}

/** Most senders remembered; the one heard least lately is forgotten. */
const mostSenders = 16_384;

/** Starts empty, in the process with this name. */
export function startHopLedger(self: AgentId): HopLedger {
  const senders = new Map<string, SenderMemory>();

  function memoryOf(hop: HopCopy): SenderMemory {
    const memory = senders.get(hop.sender) ??
      { settledBelow: 0, entries: new Map<number, Entry>() };
    senders.delete(hop.sender);
    senders.set(hop.sender, memory);
    const [oldest] = senders.keys();
    if (senders.size > mostSenders && oldest !== undefined) {
      senders.delete(oldest);
    }
    settle(memory, hop.settledBelow);
    return memory;
  }

  function fateOf(hop: HopCopy): CopyFate {
    const { entries, settledBelow } = memoryOf(hop);
    if (entries.has(hop.sequence)) return "joins";
    if (hop.sequence < settledBelow) return "settled";
    return hop.receiver === self ? "begins" : "refused";
  }

  return {
    fateOf,
    async run(hop, start) {
      const fate = fateOf(hop);
      if (fate === "settled") return null;
      if (fate === "refused") return hop.copy === 1 ? hasNotRun : mayHaveRun;
      const { entries } = memoryOf(hop);
      const entry = entries.get(hop.sequence) ??
        { result: start(), latest: hop.copy };
      entries.set(hop.sequence, entry);
      entry.latest = Math.max(entry.latest, hop.copy);
      const result = await entry.result;
      if (entry.latest !== hop.copy || entry.result === null) return null;
      entry.result = null;
      return result;
    },
    cancel(hop) {
      const { entries, settledBelow } = memoryOf(hop);
      if (hop.sequence < settledBelow || entries.has(hop.sequence)) return;
      entries.set(hop.sequence, { result: null, latest: hop.copy });
    },
    superseded(hop) {
      const entry = senders.get(hop.sender)?.entries.get(hop.sequence);
      return (entry?.latest ?? 0) > hop.copy;
    },
  };
}

const hasNotRun = Result.err<ProxyAnswer, Failure>(
  notRun("target-unreachable"),
);
/** The process that it was meant for may have run an earlier copy. */
const mayHaveRun = Result.err<ProxyAnswer, Failure>(
  unknownOutcome("connection-lost"),
);

function settle(memory: SenderMemory, below: number): void {
  if (below <= memory.settledBelow) return;
  memory.settledBelow = below;
  for (const sequence of memory.entries.keys()) {
    if (sequence < below) memory.entries.delete(sequence);
  }
}

/** Numbers the requests that one sender sends on. */
export interface HopNumbers {
  begin(): number;
  /** No copy of the request will be sent any more, and no answer is awaited. */
  end(sequence: number): void;
  settledBelow(): number;
}

/** Starts with 1. */
export function startHopNumbers(): HopNumbers {
  const open = new Set<number>();
  let last = 0;
  return {
    begin() {
      last += 1;
      open.add(last);
      return last;
    },
    end: (sequence) => void open.delete(sequence),
    settledBelow() {
      const [lowest] = open;
      return lowest ?? last + 1;
    },
  };
}

/** Writes a copy's name as one header value. */
export function formatHop(hop: HopCopy): string {
  const { sequence, copy, settledBelow } = hop;
  const names = [hop.sender, hop.receiver].map(encodeURIComponent);
  return [...names, sequence, copy, settledBelow].join(" ");
}

/** Reads a copy's name; null when the text is none. */
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
