/**
 * Requests that arrive from other agents over connections of their own:
 * acknowledges those that take long, and tells their senders how far they are.
 *
 * @module
 */
import type { IncomingMessage, ServerResponse } from "node:http";
import type { HopProgress } from "../../core/request/silence.ts";
import type { HopCopy } from "./hop_ledger.ts";

/** What is on its way, or waits for its answer. */
export interface HopArrivals {
  /** The head of a copy has come; returns what to call once it is whole. */
  begin(
    hop: HopCopy,
    exchange: {
      readonly message: IncomingMessage;
      readonly response: ServerResponse;
    },
  ): () => void;
  /** How far a copy is, asked for on another connection; null for unknown. */
  find(hop: HopCopy): HopProgress | null;
}

interface Arrival {
  readonly message: IncomingMessage;
  readonly response: ServerResponse;
  whole: boolean;
  acknowledged: boolean;
}

/** A request that takes longer is acknowledged to the agent that sent it. */
const acknowledgeMilliseconds = 50;

/** Starts without any. */
export function startHopArrivals(): HopArrivals {
  const arrivals = new Map<string, Arrival>();
  return {
    begin(hop, exchange) {
      const name = nameOfCopy(hop);
      const arrival = { ...exchange, whole: false, acknowledged: false };
      arrivals.set(name, arrival);
      exchange.response.once("close", () => {
        if (arrivals.get(name) === arrival) arrivals.delete(name);
      });
      return () => {
        arrival.whole = true;
        setTimeout(() => acknowledge(arrival), acknowledgeMilliseconds);
      };
    },
    find(hop) {
      const arrival = arrivals.get(nameOfCopy(hop));
      if (arrival === undefined) return null;
      const { message, response, whole, acknowledged } = arrival;
      if (!whole) return { kind: "arriving", bytes: message.socket.bytesRead };
      if (acknowledged) return { kind: "acknowledged" };
      if (response.headersSent) return { kind: "answered" };
      acknowledge(arrival);
      return { kind: "arrived" };
    },
  };
}

function nameOfCopy({ sender, sequence, copy }: HopCopy): string {
  return `${sender} ${sequence} ${copy}`;
}

function acknowledge(arrival: Arrival): void {
  const { response, acknowledged } = arrival;
  if (acknowledged || response.headersSent || response.destroyed) return;
  arrival.acknowledged = true;
  response.writeProcessing();
}

/** The path under which agents tell how far a copy is. */
export const progressPath = "/-/hop";

/** Writes how far a copy is. */
export function formatProgress(progress: HopProgress): string {
  return progress.kind === "arriving"
    ? `${progress.kind} ${progress.bytes}`
    : progress.kind;
}

/** Reads how far a copy is; null when the text doesn't say it. */
export function parseProgress(text: string): HopProgress | null {
  const [kind, bytes] = text.split(" ");
  switch (kind) {
    case "arriving":
      return /^\d{1,15}$/.test(bytes ?? "")
        ? { kind, bytes: Number(bytes) }
        : null;
    case "unseen":
    case "arrived":
    case "acknowledged":
    case "answered":
      return { kind };
    default:
      return null;
  }
}
