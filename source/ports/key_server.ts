/**
 * The target next to an agent, seen as a server that must be told which keys it
 * holds.
 *
 * @module
 */
import type { Result } from "true-myth";
import type { KeyRange } from "../core/ownership/key_ranges.ts";

/** Why an order to a key server failed. */
export type KeyServerFault =
  /** The target has seen a newer fencing token for one of the keys. */
  | { readonly kind: "superseded" }
  /** Nothing listens at the target's address, so its process has ended. */
  | { readonly kind: "gone" }
  /** The target has not answered; the order may still take effect. */
  | { readonly kind: "unanswered"; readonly detail: string };

/** Sends orders to hold keys and to release them. */
export interface KeyServer {
  /** How many connections for orders to hold have been opened so far. */
  openedConnections(): number;
  /**
   * Lets the target hold the keys of `range` for `holdMilliseconds`, counted
   * from the time at which the order reaches it.
   */
  grant(
    range: KeyRange,
    options: {
      readonly holdMilliseconds: number;
      /** State handed over by the previous holder; null for none. */
      readonly handover: string | null;
      /**
       * How often grants of the token have been numbered anew. Called once the
       * order is about to be written on an open connection, with how many have
       * been opened by then; the order is not sent if there is no further number.
       */
      readonly renumberings: (openedConnections: number) => number | null;
    },
  ): Promise<Result<null, KeyServerFault>>;
  /**
   * Makes the target stop accepting work on these keys. Resolves once the
   * running work has ended, with the state for the next holder; null for none.
   */
  release(range: KeyRange): Promise<Result<string | null, KeyServerFault>>;
}
