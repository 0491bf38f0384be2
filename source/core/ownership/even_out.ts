/**
 * Moves that reduce the difference between the busiest server and the least
 * busy one.
 *
 * @module
 */
import type { AgentId } from "../agent.ts";
import type { GrantorState } from "./grantor_state.ts";
import {
  isSettled,
  loadsByHolder,
  sliceLoad,
  withLowestLoad,
} from "./holder_loads.ts";

/** A planned move of one slice. */
export interface Move {
  readonly slice: number;
  readonly owner: AgentId;
  readonly destination: AgentId;
}

/** Which moves may even out the load. */
export interface EvenOutRules {
  readonly mayMove: (slice: number, owner: AgentId) => boolean;
  readonly mayReceive: (id: AgentId) => boolean;
  /** No move fills its destination above this utilization. */
  readonly maxUtilization: number;
  /** Whether others are tried when the busiest server can give nothing. */
  readonly triesOtherOwners: boolean;
}

export const withoutRules: EvenOutRules = {
  mayMove: () => true,
  mayReceive: () => true,
  maxUtilization: Infinity,
  triesOtherOwners: false,
};

export function chooseEvenOutMoves(
  state: GrantorState,
  query: { readonly maxMoves: number; readonly rules: EvenOutRules },
): readonly Move[] {
  const { maxMoves, rules } = query;
  const loads = loadsByHolder(state);
  const moved = new Set<number>();
  const moves: Move[] = [];
  while (moves.length < maxMoves) {
    const move = bestMove(state, {
      loads,
      moved,
      rules,
      stuck: new Set(),
    });
    if (move === null) break;
    moves.push(move);
    moved.add(move.slice);
    applyMove(state, { loads, move });
  }
  return moves;
}

function applyMove(
  state: GrantorState,
  change: { readonly loads: Map<AgentId, number>; readonly move: Move },
): void {
  const { loads, move } = change;
  const load = sliceLoad(state, move.slice);
  const from = state.holders.get(move.owner)?.weight ?? 1;
  const to = state.holders.get(move.destination)?.weight ?? 1;
  loads.set(move.owner, (loads.get(move.owner) ?? 0) - load / from);
  loads.set(move.destination, (loads.get(move.destination) ?? 0) + load / to);
}

function bestMove(
  state: GrantorState,
  view: {
    readonly loads: ReadonlyMap<AgentId, number>;
    readonly moved: ReadonlySet<number>;
    readonly rules: EvenOutRules;
    /** Servers that can give nothing. */
    readonly stuck: ReadonlySet<AgentId>;
  },
): Move | null {
  const { loads, rules, stuck } = view;
  const owner = withHighestLoad(filterIds(loads, (id) => !stuck.has(id)));
  const destination = withLowestLoad(filterIds(loads, rules.mayReceive));
  if (owner === null || destination === null || owner === destination) {
    return null;
  }
  const difference = (loads.get(owner) ?? 0) - (loads.get(destination) ?? 0);
  const { imbalanceTolerance } = state.settings;
  if (difference <= imbalanceTolerance * meanOf(loads)) return null;
  const slice = bestSlice(state, { ...view, owner, destination, difference });
  if (slice !== null) return { slice, owner, destination };
  if (!rules.triesOtherOwners) return null;
  return bestMove(state, { ...view, stuck: new Set([...stuck, owner]) });
}

function withHighestLoad(loads: ReadonlyMap<AgentId, number>): AgentId | null {
  let best: AgentId | null = null;
  for (const [id, load] of loads) {
    if (best === null || load > (loads.get(best) ?? 0)) best = id;
  }
  return best;
}

function filterIds(
  loads: ReadonlyMap<AgentId, number>,
  accepts: (id: AgentId) => boolean,
): ReadonlyMap<AgentId, number> {
  return new Map([...loads].filter(([id]) => accepts(id)));
}

function meanOf(loads: ReadonlyMap<AgentId, number>): number {
  const sum = [...loads.values()].reduce((sum, load) => sum + load, 0);
  return sum / Math.max(1, loads.size);
}

/**
 * The slice whose load is nearest to half the difference between the servers;
 * null if none reduces the difference. Moving a slice that only reverses the
 * difference would cause endless moves.
 */
function bestSlice(
  state: GrantorState,
  view: {
    readonly owner: AgentId;
    readonly destination: AgentId;
    readonly difference: number;
    readonly loads: ReadonlyMap<AgentId, number>;
    readonly moved: ReadonlySet<number>;
    readonly rules: EvenOutRules;
  },
): number | null {
  const { rules, destination } = view;
  const holder = state.holders.get(view.owner);
  if (holder === undefined) return null;
  const receiving = state.holders.get(destination)?.weight ?? 1;
  const free = rules.maxUtilization - (view.loads.get(destination) ?? 0);
  let best: number | null = null;
  let smallestRest = view.difference;
  state.slices.forEach((slice, index) => {
    if (slice.kind !== "held" || slice.owner !== view.owner) return;
    if (view.moved.has(index) || !isSettled(holder, slice.token)) return;
    if (!rules.mayMove(index, view.owner)) return;
    if (sliceLoad(state, index) / receiving > free) return;
    const load = sliceLoad(state, index) / holder.weight;
    const rest = Math.abs(view.difference - 2 * load);
    if (rest < smallestRest) {
      best = index;
      smallestRest = rest;
    }
  });
  return best;
}
