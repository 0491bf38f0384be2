/**
 * Isolation of hot keys: a key that causes much of its server's load gets a
 * slice of its own, which can be moved independently.
 *
 * Invariants:
 * - a key's own slice is first held by the owner of the slice that the key is
 *   hashed to;
 * - it is stored before any holder learns of it.
 *
 * @module
 */
import type { AgentId } from "../agent.ts";
import type { GrantorState, Slice } from "./grantor_state.ts";
import type { KeyLoad, Renewal } from "./renewal.ts";
import type { IsolatedKey } from "./table.ts";
import { sliceFromBase } from "./unreported_slices.ts";

/** Records the keys of a renewal that are to get slices of their own. */
export function recordBusyKeys(
  state: GrantorState,
  renewal: Renewal,
): GrantorState {
  const busy = renewal.keyLoads.filter((load) =>
    shouldIsolate(state, renewal.id, load)
  );
  if (busy.length === 0) return state;
  return { ...state, busyKeys: [...state.busyKeys, ...busy] };
}

function shouldIsolate(
  state: GrantorState,
  owner: AgentId,
  load: KeyLoad,
): boolean {
  const { minLoadShare, minRequestsPerSecond } = state.settings.isolation;
  if (load.requestsPerSecond < minRequestsPerSecond) return false;
  if (load.slice >= state.settings.hashedSlices) return false;
  if (!ownsSlice(state, owner, load.slice)) return false;
  const known = [...state.isolatedKeys, ...state.busyKeys];
  if (known.some((entry) => entry.key === load.key)) return false;
  return load.requestsPerSecond >= minLoadShare * ownedLoad(state, owner);
}

function ownsSlice(
  state: GrantorState,
  owner: AgentId,
  index: number,
): boolean {
  const slice = state.slices[index];
  return slice?.kind === "held" && slice.owner === owner;
}

function ownedLoad(state: GrantorState, owner: AgentId): number {
  return state.slices.reduce(
    (sum, slice, index) =>
      slice.kind === "held" && slice.owner === owner
        ? sum + (state.loads.get(index) ?? 0)
        : sum,
    0,
  );
}

/** The isolated keys that the next store write contains. */
export function nextIsolatedKeys(state: GrantorState): readonly IsolatedKey[] {
  return state.busyKeys.reduce(
    (keys, load) => withIsolatedKey(state, { keys, load }),
    state.isolatedKeys,
  );
}

function withIsolatedKey(
  state: GrantorState,
  change: { readonly keys: readonly IsolatedKey[]; readonly load: KeyLoad },
): readonly IsolatedKey[] {
  const { keys, load } = change;
  const entry = { key: load.key, base: load.slice };
  if (keys.length < state.settings.isolatedKeys) {
    const slice = state.settings.hashedSlices + keys.length;
    return [...keys, { ...entry, slice }];
  }
  const index = keys.findIndex((cold) => canReplace(state, cold, load));
  const cold = keys[index];
  if (cold === undefined) return keys;
  return keys.with(index, { ...entry, slice: cold.slice });
}

/**
 * Whether `load`'s key may take the slice of a cold isolated key. All three
 * slices involved must have one owner, so that no key changes its owner.
 */
function canReplace(
  state: GrantorState,
  cold: IsolatedKey,
  load: KeyLoad,
): boolean {
  const slice = state.slices[load.slice];
  if (slice?.kind !== "held") return false;
  return (state.loads.get(cold.slice) ?? 0) <
      state.settings.isolation.coldBelowRequestsPerSecond &&
    ownsSlice(state, slice.owner, cold.slice) &&
    ownsSlice(state, slice.owner, cold.base);
}

/** The slices after a store write has changed the isolated keys to `keys`. */
export function slicesWithIsolatedKeys(
  state: GrantorState,
  keys: readonly IsolatedKey[],
): readonly Slice[] {
  const former = new Set(state.isolatedKeys);
  const kept = new Set(keys);
  const rejoined = state.isolatedKeys
    .filter((entry) => !kept.has(entry))
    .reduce(
      (slices, { base }) => renewBaseToken(slices, base, state),
      state.slices,
    );
  return keys
    .filter((entry) => !former.has(entry))
    .reduce((slices, entry) => addKeySlice(slices, { entry, state }), rejoined);
}

/**
 * Gives a base slice a new token when a key rejoins it. The key was held under
 * the tokens of its own slice, possibly by other servers, and these can be
 * newer than the token of the base.
 */
function renewBaseToken(
  slices: readonly Slice[],
  base: number,
  state: GrantorState,
): readonly Slice[] {
  const slice = slices[base];
  if (slice?.kind !== "held" && slice?.kind !== "moving") return slices;
  const token = { epoch: state.epoch, sequence: state.sequence + 1 };
  return slices.with(base, { ...slice, token });
}

/**
 * Sets the slice of a newly isolated key. Its token is new, so that the slice
 * is not moved before its owner has learned of the key.
 */
function addKeySlice(
  slices: readonly Slice[],
  change: { readonly entry: IsolatedKey; readonly state: GrantorState },
): readonly Slice[] {
  const { entry, state } = change;
  const base = slices[entry.base];
  const token = { epoch: state.epoch, sequence: state.sequence + 1 };
  const slice = sliceFromBase(base, token);
  return entry.slice < slices.length
    ? slices.with(entry.slice, slice)
    : [...slices, slice];
}
