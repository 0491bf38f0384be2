/**
 * Placement of slices: a free slice goes to the least loaded server, and a
 * limited number of concurrent moves balances the load of the servers.
 *
 * @module
 */
import type { AgentId } from "../agent.ts";
import { chooseEvenOutMoves, type Move, withoutRules } from "./even_out.ts";
import type { GrantorState, Slice } from "./grantor_state.ts";
import {
  isLimited,
  isSettled,
  loadsByHolder,
  loadsOf,
  sliceLoad,
  stayingHolders,
  withLowestLoad,
  withPlacementWeights,
} from "./holder_loads.ts";
import { type MovePlan, planRebalancing } from "./rebalancing.ts";

/**
 * The server that a free slice is assigned to; null if there is none. Where the
 * leases of all had expired, as after an outage, they get slices at once:
 * otherwise the first to renew again would get all of them.
 */
export function leastLoadedHolder(
  reported: GrantorState,
  slice: number,
): AgentId | null {
  const state = withPlacementWeights(reported);
  const serving = loadsByHolder(state);
  const loads = serving.size > 0
    ? withoutLimited(state, serving)
    : loadsOf(state, stayingHolders(state));
  for (const [id, load] of loads) {
    const weight = state.holders.get(id)?.weight ?? 1;
    loads.set(id, load + sliceLoad(state, slice) / weight);
  }
  return withLowestLoad(loads);
}

/**
 * Leaves out servers that are cold or whose machines are slow at this moment,
 * unless these are most: the few others can't take all free slices.
 */
function withoutLimited(
  state: GrantorState,
  loads: Map<AgentId, number>,
): Map<AgentId, number> {
  if (state.settings.unevenDemand === undefined) return loads;
  const receiving = [...loads].filter(([id]) => !isLimited(state, id));
  return receiving.length * 2 >= loads.size ? new Map(receiving) : loads;
}

/**
 * The server that a slice was released for; null if there is none, or if it may
 * no longer receive slices.
 */
export function plannedDestination(
  state: GrantorState,
  slice: Slice & { readonly kind: "free" },
): AgentId | null {
  const { destination } = slice;
  if (state.settings.unevenDemand === undefined) return null;
  if (destination === undefined || isLimited(state, destination)) return null;
  const holder = state.holders.get(destination);
  if (holder === undefined || holder.leaving) return null;
  return holder.leaseHadExpired ? null : destination;
}

/** The planned moves to start now, within the budget if the settings have one. */
export function planMoves(state: GrantorState, now: number): MovePlan {
  const budget = state.moveBudget;
  const settings = state.settings.unevenDemand;
  if (settings === undefined) {
    return { moves: chooseMoves(state), budget, rebalancings: [] };
  }
  const weighed = withPlacementWeights(state);
  const evacuations = chooseEvacuations(weighed);
  if (evacuations.length > 0 || !loadsReported(weighed)) {
    return { moves: evacuations, budget, rebalancings: [] };
  }
  return planRebalancing(weighed, { settings, now });
}

/** The planned moves to start now. Slices of leaving servers come first. */
export function chooseMoves(reported: GrantorState): readonly Move[] {
  const state = withPlacementWeights(reported);
  const moving = state.slices.filter((slice) => slice.kind === "moving").length;
  const evacuations = chooseEvacuations(state);
  if (evacuations.length > 0) return evacuations;
  if (!loadsReported(state)) return [];
  const maxMoves = state.settings.maxConcurrentMoves - moving;
  return chooseEvenOutMoves(state, { maxMoves, rules: withoutRules });
}

/**
 * Whether each server has reported the load of at least half of its slices.
 * Without reports all slices seem equally loaded, so that a server with a few
 * busy slices would seem idle to a new grantor.
 */
function loadsReported(state: GrantorState): boolean {
  const unreported = new Map<AgentId, number>();
  state.slices.forEach((slice, index) => {
    if (slice.kind !== "held") return;
    const change = state.loads.has(index) ? -1 : 1;
    unreported.set(slice.owner, (unreported.get(slice.owner) ?? 0) + change);
  });
  return [...unreported.values()].every((excess) => excess <= 0);
}

function chooseEvacuations(state: GrantorState): readonly Move[] {
  const loads = withoutLimited(state, loadsByHolder(state));
  const moves: Move[] = [];
  state.slices.forEach((slice, index) => {
    if (slice.kind !== "held") return;
    const owner = state.holders.get(slice.owner);
    if (owner?.leaving !== true) return;
    if (!isSettled(owner, slice.token)) return;
    const destination = withLowestLoad(loads);
    if (destination === null) return;
    moves.push({ slice: index, owner: slice.owner, destination });
    const weight = state.holders.get(destination)?.weight ?? 1;
    const load = loads.get(destination) ?? 0;
    loads.set(destination, load + sliceLoad(state, index) / weight);
  });
  return moves;
}
