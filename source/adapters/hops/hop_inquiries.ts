/**
 * Asks other agents how far a request is of which nothing is heard, each time
 * on a connection that is younger than the silence.
 *
 * @module
 */
import { Client } from "undici";
import type { Address } from "../../core/agent.ts";
import type { ProbeResult } from "../../core/request/silence.ts";
import { wasUnreachable } from "../targets/connection_errors.ts";
import { fields } from "../headers.ts";
import { parseProgress, progressPath } from "./hop_arrivals.ts";
import { formatHop, type HopCopy } from "./hop_ledger.ts";

/** Questions to other agents. */
export interface HopInquiries {
  /** Ends as unclear when the signal is aborted. */
  ask(
    address: Address,
    question: { readonly hop: HopCopy; readonly signal: AbortSignal },
  ): Promise<ProbeResult>;
}

/** One connection, for the questions to one agent at a time. */
interface Line {
  readonly client: Client;
  open: number;
}

/** Opens connections as there are questions. */
export function openHopInquiries(options: {
  /** For the connection, and again for the word. */
  readonly timeoutMilliseconds: number;
}): HopInquiries {
  const { timeoutMilliseconds } = options;
  const lines = new Map<Address, Line>();

  function lineTo(address: Address): Line {
    const line = lines.get(address) ?? {
      client: new Client(`http://${address}`, {
        connect: { timeout: timeoutMilliseconds },
      }),
      open: 0,
    };
    lines.set(address, line);
    line.open += 1;
    return line;
  }

  /** What is asked later needs a connection that is younger than that. */
  function leave(address: Address, line: Line): void {
    line.open -= 1;
    if (line.open > 0) return;
    if (lines.get(address) === line) lines.delete(address);
    void line.client.destroy().catch(() => undefined);
  }

  return {
    async ask(address, { hop, signal }) {
      const line = lineTo(address);
      const patience = AbortSignal.timeout(2 * timeoutMilliseconds);
      try {
        const response = await line.client.request({
          method: "GET",
          path: progressPath,
          headers: { [fields.hop]: formatHop(hop) },
          signal: AbortSignal.any([signal, patience]),
        });
        return parseProgress(await response.body.text()) ?? unclear;
      } catch (error) {
        // The line itself may be lost; it takes no more questions.
        if (lines.get(address) === line) lines.delete(address);
        return wasUnreachable(error) ? { kind: "unreachable" } : unclear;
      } finally {
        leave(address, line);
      }
    },
  };
}

const unclear: ProbeResult = { kind: "unclear" };
