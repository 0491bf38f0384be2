/**
 * Builds the ownership table from a grantor's state.
 *
 * @module
 */
import type { GrantorState } from "./grantor_state.ts";
import type { OwnershipTable } from "./table.ts";

/** The table by which holders and entries route requests. */
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
