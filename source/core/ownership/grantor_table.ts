/**
 * The table that a grantor's state stands for.
 *
 * @module
 */
import type { GrantorState } from "./grantor_state.ts";
import type { OwnershipTable } from "./table.ts";

/** Who owns what, for holders and entries to route by. */
export function tableOf(state: GrantorState): OwnershipTable {
  const holders = [...state.holders.values()].map((holder) => ({
    id: holder.id,
    peerAddress: holder.peerAddress,
  }));
  const indexes = new Map(holders.map((holder, index) => [holder.id, index]));
  const owners = state.slices.map((slice) => {
    if (slice.kind === "free" || slice.owner === null) return -1;
    return indexes.get(slice.owner) ?? -1;
  });
  return {
    group: state.group,
    version: { epoch: state.epoch, sequence: state.sequence },
    holders,
    owners,
    hashedSlices: state.settings.hashedSlices,
    isolatedKeys: state.isolatedKeys,
  };
}
