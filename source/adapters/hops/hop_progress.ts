/**
 * Progress of requests that arrive from other agents over HTTP. Acknowledges
 * those that take long, and reports to the sender how far a copy has come.
 *
 * @module
 */
import type { IncomingMessage, ServerResponse } from "node:http";
import type { HopProgress } from "../../core/request/silence.ts";
import type { HopCopy } from "./hop_deduplication.ts";

/** Tracks each copy from its head to the end of its response. */
export interface HopProgressTracker {
  /**
   * The head of a copy has been received. Returns the function to call once its
   * body is complete.
   */
  track(
    hop: HopCopy,
    exchange: {
      readonly message: IncomingMessage;
      readonly response: ServerResponse;
    },
  ): () => void;
  /**
   * How far a copy has come; null for one that is not tracked. Acknowledges a
   * complete copy that was neither acknowledged nor answered before.
   */
  progressOf(hop: HopCopy): HopProgress | null;
}

interface TrackedCopy {
  readonly message: IncomingMessage;
  readonly response: ServerResponse;
  /** Whether its body has been received completely. */
  whole: boolean;
  acknowledged: boolean;
}

/**
 * A request without an answer this long after its body was complete is
 * acknowledged to its sender.
 */
const acknowledgeAfterMilliseconds = 50;

/** Creates a tracker without any copies. */
export function createHopProgressTracker(): HopProgressTracker {
  const copies = new Map<string, TrackedCopy>();
  return {
    track(hop, exchange) {
      const key = copyKey(hop);
      const copy = { ...exchange, whole: false, acknowledged: false };
      copies.set(key, copy);
      exchange.response.once("close", () => {
        if (copies.get(key) === copy) copies.delete(key);
      });
      return () => {
        copy.whole = true;
        setTimeout(() => acknowledge(copy), acknowledgeAfterMilliseconds);
      };
    },
    progressOf(hop) {
      const copy = copies.get(copyKey(hop));
      if (copy === undefined) return null;
      const { message, response, whole, acknowledged } = copy;
      if (!whole) return { kind: "arriving", bytes: message.socket.bytesRead };
      if (acknowledged) return { kind: "acknowledged" };
      if (response.headersSent) return { kind: "answered" };
      acknowledge(copy);
      return { kind: "arrived" };
    },
  };
}

function copyKey({ sender, sequence, copy }: HopCopy): string {
  return `${sender} ${sequence} ${copy}`;
}

/** Sends the interim response 102 (Processing). */
function acknowledge(copy: TrackedCopy): void {
  const { response, acknowledged } = copy;
  if (acknowledged || response.headersSent || response.destroyed) return;
  copy.acknowledged = true;
  response.writeProcessing();
}

/** The path under which agents report the progress of a copy. */
export const progressPath = "/-/hop";

/** Formats the progress of a copy as the text of a response. */
export function formatProgress(progress: HopProgress): string {
  return progress.kind === "arriving"
    ? `${progress.kind} ${progress.bytes}`
    : progress.kind;
}

/** Parses the text of a response; null when it states no progress. */
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
