/**
 * The loads of slices around the isolation of a key. Until the holder has
 * counted for a period with the new table, it reports the key's requests as
 * those of the slice that the key is hashed to: both would seem to be busy, and
 * a server would be cleared for each.
 *
 * @module
 */
import type { GrantorState } from "./grantor_state.ts";
import type { Renewal, SliceLoad } from "./renewal.ts";
import type { IsolatedKey } from "./table.ts";
import { compareTokens } from "./token.ts";

/** The loads once a store write has isolated these keys. */
export function loadsAfterIsolation(
  state: GrantorState,
  isolatedKeys: readonly IsolatedKey[],
): GrantorState["loads"] {
  if (state.settings.unevenDemand === undefined) return state.loads;
  const former = new Set(state.isolatedKeys);
  const loads = new Map(state.loads);
  for (const entry of isolatedKeys) {
    const busy = state.busyKeys.find(({ key }) => key === entry.key);
    if (former.has(entry) || busy === undefined) continue;
    const rate = busy.requestsPerSecond;
    loads.set(entry.slice, rate);
    loads.set(entry.base, Math.max(0, (loads.get(entry.base) ?? 0) - rate));
  }
  return loads;
}

/** The loads of a renewal without those that contain isolated keys' requests. */
export function separateLoads(
  state: GrantorState,
  renewal: Renewal,
): readonly SliceLoad[] {
  if (state.settings.unevenDemand === undefined) return renewal.sliceLoads;
  const mixed = new Set(
    state.isolatedKeys
      .filter(({ slice }) => {
        const own = state.slices[slice];
        return own?.kind === "held" &&
          compareTokens(renewal.tableVersion, own.token) < 0;
      })
      .map(({ base }) => base),
  );
  return renewal.sliceLoads.filter(({ slice }) => !mixed.has(slice));
}
