/**
 * The target beside an agent, as a server that has to be told which keys it
 * holds.
 *
 * @module
 */
import type { Result } from "true-myth";
import type { KeyRange } from "../core/ownership/key_ranges.ts";

/** Why an order to a key server had no success. */
export type KeyServerFault =
  /** The target has seen a newer token on one of the keys. */
  | { readonly kind: "superseded" }
  /** Nothing listens at the target's address: its process has ended. */
  | { readonly kind: "gone" }
  /** No answer; the order may still take effect. */
  | { readonly kind: "unanswered"; readonly detail: string };

/** Orders to hold keys and to give them up. */
export interface KeyServer {
  /** Lets the target hold these keys for so long from the call's arrival. */
  grant(
    range: KeyRange,
    options: {
      readonly holdMilliseconds: number;
      /** What the last holder handed over; null when there is nothing. */
      readonly handover: string | null;
    },
  ): Promise<Result<null, KeyServerFault>>;
  /**
   * Stops new work on these keys, and is answered once the running work has
   * ended, with what the next holder is to be given.
   */
  release(range: KeyRange): Promise<Result<string | null, KeyServerFault>>;
}
