/**
 * Records what a grantor has decided for its servers.
 *
 * @module
 */
import type { GrantorEffect } from "../core/ownership/grantor_state.ts";
import { formatToken } from "../core/ownership/token.ts";
import type { Events } from "../ports/events.ts";

/** An effect that is carried out by the answers to the servers' renewals. */
export type RecordedEffect = Exclude<
  GrantorEffect,
  { readonly kind: "answer" | "refuse" | "writeCheckpoint" | "nudge" }
>;

/** Records an effect of a grantor. */
export function recordGrantorEffect(
  effect: RecordedEffect,
  grantor: {
    readonly group: string;
    readonly epoch: number;
    readonly events: Events;
  },
): void {
  const { events, ...common } = grantor;
  switch (effect.kind) {
    case "lapsed":
      return events.record("holder-lapsed", {
        ...common,
        holder: effect.id,
        slices: effect.slices,
      });
    case "granted":
      return events.record("slice-granted", {
        ...common,
        slice: effect.slice,
        holder: effect.owner,
        token: formatToken(effect.token),
      });
    case "moveStarted":
      return events.record("move-started", {
        ...common,
        slice: effect.slice,
        from: effect.owner,
        to: effect.destination,
      });
    case "rebalanced":
      return events.record("slices-rebalanced", {
        ...common,
        cause: effect.cause,
        slices: effect.slices.join(","),
        deferred: effect.deferred,
        remainingKeyShare: Number(effect.remainingKeyShare.toFixed(4)),
      });
    case "isolated":
      return events.record("key-isolated", {
        ...common,
        key: effect.key,
        slice: effect.slice,
      });
  }
}
