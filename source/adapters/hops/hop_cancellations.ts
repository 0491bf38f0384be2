/**
 * Cancellation of requests that other agents have forwarded here. All copies of
 * a request share one abort controller, so that a request can be cancelled
 * whichever of its copies started it and whichever is given up last.
 *
 * @module
 */
import { setMaxListeners } from "node:events";
import type { HopCopy } from "./hop_deduplication.ts";

/** The abort controllers of the requests that have not ended. */
export interface HopCancellations {
  /** Returns the same controller for every copy until the last is released. */
  acquire(hop: HopCopy): AbortController;
  /** One copy has ended. */
  release(hop: HopCopy): void;
  /** Aborts the request, whichever copy is named; ignored if it is unknown. */
  abort(hop: HopCopy): void;
}

/** A request of which at least one copy has not been released. */
interface OpenRequest {
  readonly cancel: AbortController;
  /** Copies that have not been released. */
  copies: number;
}

/** Creates an empty set of cancellations. */
export function createHopCancellations(): HopCancellations {
  const open = new Map<string, OpenRequest>();
  return {
    acquire(hop) {
      const name = nameOf(hop);
      const known = open.get(name) ??
        { cancel: createCancelController(), copies: 0 };
      known.copies += 1;
      open.set(name, known);
      return known.cancel;
    },
    release(hop) {
      const name = nameOf(hop);
      const known = open.get(name);
      if (known === undefined) return;
      known.copies -= 1;
      if (known.copies === 0) open.delete(name);
    },
    abort: (hop) => open.get(nameOf(hop))?.cancel.abort(),
  };
}

/**
 * Creates an abort controller without a limit on listeners: each step of a
 * request listens until the request has ended.
 */
export function createCancelController(): AbortController {
  const cancel = new AbortController();
  setMaxListeners(0, cancel.signal);
  return cancel;
}

/** Names a request; the same for all copies of it. */
function nameOf(hop: HopCopy): string {
  return `${hop.sender} ${hop.sequence}`;
}
