/**
 * What to do when nothing is received for a request that was forwarded to
 * another agent on a connection of its own. Silence alone doesn't show that the
 * connection is lost: on a full link a large body takes long, and a second copy
 * would lengthen the queue that delays the first one. So the other agent is
 * probed on a new connection. A copy is sent only if the probe, which was
 * opened later, has arrived and what was sent on the silent connection has not.
 *
 * @module
 */

/** How much of a copy the other agent has received. */
export type HopProgress =
  /** Nothing, though the copy was sent before the probe. */
  | { readonly kind: "unseen" }
  /** Part of it; so many bytes have arrived on its connection. */
  | { readonly kind: "arriving"; readonly bytes: number }
  /** All of it; its acknowledgement is sent together with this reply. */
  | { readonly kind: "arrived" }
  /** All of it, and it was acknowledged before the probe arrived. */
  | { readonly kind: "acknowledged" }
  /** All of it, and its answer has been sent. */
  | { readonly kind: "answered" };

/** The result of a probe. */
export type ProbeResult =
  | HopProgress
  /** No new connection could be opened. */
  | { readonly kind: "unreachable" }
  /** The reply decides nothing. */
  | { readonly kind: "unclear" };

/** What to do about a silent copy. */
export type SilenceDecision =
  /** Keep waiting, and probe again after the same time of silence. */
  | "wait"
  /** The connection is lost: send another copy. */
  | "copy"
  /** No answer will come from this agent: try another one. */
  | "fail";

/** One decision on a silent copy, as it is logged. */
export interface SilenceReport {
  /** The id of the request. */
  readonly request: string;
  /** The silent copy; counts from 1. */
  readonly copy: number;
  /** The probe result; `overtaken` when a new link could be opened instead. */
  readonly found: ProbeResult["kind"] | "overtaken";
  /** `withheld` when the limit of copies per second is reached. */
  readonly follows: SilenceDecision | "withheld";
}

/** Decides by the result of this probe and of the one before it, if any. */
export function decideOnSilence(options: {
  readonly found: ProbeResult;
  readonly former: ProbeResult | null;
  readonly idempotent: boolean;
}): SilenceDecision {
  const { found, former, idempotent } = options;
  switch (found.kind) {
    case "unseen":
    case "acknowledged":
      return "copy";
    case "arriving":
      return hasStalled(found.bytes, former) ? "copy" : "wait";
    case "answered":
      return idempotent && former?.kind === "answered" ? "fail" : "wait";
    case "unreachable":
      return idempotent ? "fail" : "wait";
    case "arrived":
    case "unclear":
      return "wait";
  }
}

function hasStalled(bytes: number, former: ProbeResult | null): boolean {
  return former?.kind === "arriving" && former.bytes === bytes;
}
