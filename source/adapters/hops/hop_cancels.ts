/**
 * What ends a request that another agent has sent on, whichever of its copies
 * began it and whichever is given up last.
 *
 * @module
 */
import { setMaxListeners } from "node:events";
import type { HopCopy } from "./hop_ledger.ts";

/** The ends of the requests that have not ended yet. */
export interface HopCancels {
  /** The same for all copies of a request until the last has ended. */
  begin(hop: HopCopy): AbortController;
  end(hop: HopCopy): void;
  /** Ends the request itself; nothing for one that is not known. */
  abort(hop: HopCopy): void;
}

interface Open {
  readonly cancel: AbortController;
  copies: number;
}

/** Starts without any. */
export function startHopCancels(): HopCancels {
  const open = new Map<string, Open>();
  return {
    begin(hop) {
      const name = nameOf(hop);
      const known = open.get(name) ?? { cancel: openCancel(), copies: 0 };
      known.copies += 1;
      open.set(name, known);
      return known.cancel;
    },
    end(hop) {
      const name = nameOf(hop);
      const known = open.get(name);
      if (known === undefined) return;
      known.copies -= 1;
      if (known.copies === 0) open.delete(name);
    },
    abort: (hop) => open.get(nameOf(hop))?.cancel.abort(),
  };
}

/** Each step of a request listens until the request has ended. */
export function openCancel(): AbortController {
  const cancel = new AbortController();
  setMaxListeners(0, cancel.signal);
  return cancel;
}

/** Names a request, whichever copy of it. */
function nameOf(hop: HopCopy): string {
  return `${hop.sender} ${hop.sequence}`;
}
