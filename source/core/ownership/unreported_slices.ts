/**
 * What becomes of slices that no server reported to a new grantor, once all
 * servers of the roster have responded.
 *
 * @module
 */
import type { GrantorState, Slice } from "./grantor_state.ts";

/**
 * Frees unreported slices. The slice of an isolated key goes to the holder of
 * the slice that the key is hashed to: that holder may not know of the key's
 * own slice yet, and serve the key as part of the other one.
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

/**
 * Whether every server that may have grants has responded, so that a slice that
 * none has reported is nobody's.
 */
export function hasAllReports(
  state: Pick<GrantorState, "unresponsive" | "unlistedUntil">,
): boolean {
  return state.unresponsive.size === 0 && state.unlistedUntil === null;
}

/** Whether a slice is reserved for servers that have not responded. */
export function isUnreported(slice: Slice | undefined): boolean {
  return slice?.kind === "reserved" && slice.owner === null;
}

/**
 * The first state of an isolated key's slice: with the owner of its base. The
 * new token keeps the slice from being moved until its holder knows of it.
 */
export function sliceFromBase(
  base: Slice | undefined,
  token: { readonly epoch: number; readonly sequence: number },
): Slice {
  if (base === undefined) return { kind: "free" };
  if (base.kind !== "held" && base.kind !== "moving") return base;
  return { kind: "held", owner: base.owner, token };
}
