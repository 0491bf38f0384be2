/**
 * The load of slices and servers, as placement counts it.
 *
 * @module
 */
import type { AgentId } from "../agent.ts";
import type { GrantorState, Holder } from "./grantor_state.ts";
import { penalizeSlowServers } from "./slow_servers.ts";
import { compareTokens } from "./token.ts";
import { placementWeights } from "./unmeasured_weights.ts";

/** Assumed load of a slice without measurements, in requests a second. */
const unmeasuredLoad = 0.25;

export function sliceLoad(state: GrantorState, slice: number): number {
  return Math.max(unmeasuredLoad, state.loads.get(slice) ?? 0);
}

export function withPlacementWeights(state: GrantorState): GrantorState {
  const weights = placementWeights(state.holders);
  const weigh = ([id, holder]: [AgentId, Holder]): [AgentId, Holder] => [
    id,
    { ...holder, weight: weights.get(id) ?? holder.weight },
  ];
  return { ...state, holders: new Map([...state.holders].map(weigh)) };
}

/** The servers that stay, and the load of their slices relative to weight. */
export function loadsByHolder(state: GrantorState): Map<AgentId, number> {
  // A server whose lease had expired refuses all requests and so reports no
  // load. It may not learn of new grants either.
  const serving = stayingHolders(state)
    .filter(({ leaseHadExpired }) => !leaseHadExpired);
  return loadsOf(state, serving);
}

export function stayingHolders(state: GrantorState): readonly Holder[] {
  return [...state.holders.values()].filter(({ leaving }) => !leaving);
}

export function loadsOf(
  state: GrantorState,
  holders: readonly Holder[],
): Map<AgentId, number> {
  const loads = new Map(holders.map(({ id }): [AgentId, number] => [id, 0]));
  state.slices.forEach((slice, index) => {
    const owner = futureOwner(slice);
    const sum = owner === null ? undefined : loads.get(owner);
    if (owner === null || sum === undefined) return;
    const weight = state.holders.get(owner)?.weight ?? 1;
    loads.set(owner, sum + sliceLoad(state, index) / weight);
  });
  return penalizeSlowServers(loads, (id) => state.holders.get(id)?.weight ?? 1);
}

export function futureOwner(
  slice: GrantorState["slices"][number],
): AgentId | null {
  if (slice.kind === "held") return slice.owner;
  if (slice.kind === "moving") return slice.destination;
  return null;
}

export function withLowestLoad(
  loads: ReadonlyMap<AgentId, number>,
): AgentId | null {
  let best: AgentId | null = null;
  for (const [id, load] of loads) {
    if (best === null || load < (loads.get(best) ?? 0)) best = id;
  }
  return best;
}

export function isLimited(state: GrantorState, id: AgentId): boolean {
  return state.holders.get(id)?.weightLimit !== undefined;
}

/**
 * Whether a slice may be moved. Its owner must have had the table that contains
 * its token for longer than any request runs, because requests for a key that
 * were admitted before its isolation count as running on another slice. Owners
 * whose target checks fencing tokens need not wait: the target tracks the
 * requests of each key itself.
 */
export function isSettled(
  holder: Holder,
  token: { readonly epoch: number; readonly sequence: number },
): boolean {
  return holder.checksFencing ||
    compareTokens(holder.settledVersion, token) >= 0;
}
