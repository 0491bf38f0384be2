/**
 * Copies of one forwarded request. An agent whose connection has gone silent
 * sends the request once more on a new one; the agent that receives both runs
 * it once and answers the later copy.
 *
 * @module
 */
import type { Result } from "true-myth";
import type { Failure } from "../core/request/outcome.ts";
import type { ProxyAnswer } from "../ports/upstream.ts";

/** Names one copy of a forwarded request. */
export interface HopCopy {
  readonly id: string;
  /** Counts from 1. */
  readonly copy: number;
}

/** What a hop ledger does with a copy. */
export interface HopLedger {
  /**
   * Runs a request unless another copy of it has begun, and brings the result
   * to the latest copy only. Null when this copy is not the latest, or its
   * answer has already gone to an earlier one.
   */
  run(
    hop: HopCopy,
    options: {
      readonly start: () => Promise<Result<ProxyAnswer, Failure>>;
      readonly forgetAfterMilliseconds: number;
    },
  ): Promise<Result<ProxyAnswer, Failure> | null>;
  /** Whether a later copy has taken this one's place. */
  superseded(hop: HopCopy): boolean;
}

interface Entry {
  /** Null once it has gone to a copy, so that nothing is kept for others. */
  result: Promise<Result<ProxyAnswer, Failure>> | null;
  latest: number;
}

/** A later copy comes within a deadline; nothing is kept for longer. */
const graceMilliseconds = 1_000;

/** Starts empty. */
export function startHopLedger(): HopLedger {
  const entries = new Map<string, Entry>();
  return {
    async run(hop, { start, forgetAfterMilliseconds }) {
      const entry = entries.get(hop.id) ?? begin(hop, start);
      entry.latest = Math.max(entry.latest, hop.copy);
      const result = await entry.result;
      if (entry.latest !== hop.copy || entry.result === null) return null;
      entry.result = null;
      const timer = setTimeout(
        () => entries.delete(hop.id),
        forgetAfterMilliseconds + graceMilliseconds,
      );
      timer.unref();
      return result;
    },
    superseded: (hop) => (entries.get(hop.id)?.latest ?? 0) > hop.copy,
  };

  function begin(
    hop: HopCopy,
    start: () => Promise<Result<ProxyAnswer, Failure>>,
  ): Entry {
    const entry: Entry = { result: start(), latest: hop.copy };
    entries.set(hop.id, entry);
    return entry;
  }
}

/** Writes a copy's name as `id/copy`. */
export function formatHop(hop: HopCopy): string {
  return `${hop.id}/${hop.copy}`;
}

/** Reads `id/copy`; null when the text is no such name. */
export function parseHop(text: string | null): HopCopy | null {
  const match = /^(.{1,200})\/(\d{1,3})$/.exec(text ?? "");
  if (match === null) return null;
  return { id: match[1] ?? "", copy: Number(match[2]) };
}
