/**
 * Slices that no server reported to a new grantor, once all have been heard.
 *
 * @module
 */
import type { GrantorState, Slice } from "./grantor_state.ts";

/**
 * A slice that nobody reported is nobody's. But the slice of an isolated key
 * is with the holder of the slice that the key is hashed to: that holder may
 * not have heard yet of the key's own slice, and serves it by the other one.
 */
export function freeUnreportedSlices(state: GrantorState): GrantorState {
  const sequence = state.sequence + 1;
  const hashed = state.slices.map((slice): Slice =>
    isUnreported(slice) ? { kind: "free" } : slice
  );
  const slices = state.isolatedKeys.reduce(
    (slices, { slice, base }): readonly Slice[] => {
      if (!isUnreported(state.slices[slice])) return slices;
      const followed = sliceFromBase(slices[base], {
        epoch: state.epoch,
        sequence,
      });
      return slices.with(slice, followed);
    },
    hashed as readonly Slice[],
  );
  return { ...state, slices, sequence };
}

/** Whether a slice waits for servers that have not been heard. */
export function isUnreported(slice: Slice | undefined): boolean {
  return slice?.kind === "reserved" && slice.owner === null;
}

/** Where a key's own slice begins. The new token keeps the slice in place until its holder knows of it. */
export function sliceFromBase(
  base: Slice | undefined,
  token: { readonly epoch: number; readonly sequence: number },
): Slice {
  if (base === undefined) return { kind: "free" };
  if (base.kind !== "held" && base.kind !== "moving") return base;
  return { kind: "held", owner: base.owner, token };
}
