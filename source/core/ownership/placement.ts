/**
 * Placement of slices: a free slice goes to the least loaded server, and a
 * limited number of concurrent moves balances the load of the servers.
 *
 * @module
 */
import type { AgentId } from "../agent.ts";
import type {
  GrantorState,
  Holder,
  Rebalancing,
  Slice,
} from "./grantor_state.ts";
import {
  countAllowed,
  type MoveBudget,
  type MoveBudgetSettings,
  type MoveCause,
  recordMoves,
  remainingKeyShare,
  staysAfterMove,
} from "./move_budget.ts";
import { penalizeSlowServers } from "./slow_servers.ts";
import { compareTokens } from "./token.ts";
import { planRelief, type ReliefPlan } from "./uneven_demand.ts";
import { placementWeights } from "./unmeasured_weights.ts";

/** A planned move of one slice. */
export interface Move {
  readonly slice: number;
  readonly owner: AgentId;
  readonly destination: AgentId;
}

/** The moves to start now, and what they leave of the budget. */
export interface MovePlan {
  readonly moves: readonly Move[];
  readonly budget: MoveBudget<AgentId>;
  /** Empty for moves off servers that leave, and without a budget. */
  readonly rebalancings: readonly Rebalancing[];
}

/** Which moves may even out the load. */
interface EvenOutRules {
  readonly mayMove: (slice: number, owner: AgentId) => boolean;
  readonly mayReceive: (id: AgentId) => boolean;
  /** No move fills its destination above this utilization. */
  readonly maxUtilization: number;
  /** Whether others are tried when the busiest server can give nothing. */
  readonly triesOtherOwners: boolean;
}

const withoutRules: EvenOutRules = {
  mayMove: () => true,
  mayReceive: () => true,
  maxUtilization: Infinity,
  triesOtherOwners: false,
};

/** Assumed load of a slice without measurements, in requests a second. */
const unmeasuredLoad = 0.25;

function sliceLoad(state: GrantorState, slice: number): number {
  return Math.max(unmeasuredLoad, state.loads.get(slice) ?? 0);
}

function withPlacementWeights(state: GrantorState): GrantorState {
  const weights = placementWeights(state.holders);
  const weigh = ([id, holder]: [AgentId, Holder]): [AgentId, Holder] => [
    id,
    { ...holder, weight: weights.get(id) ?? holder.weight },
  ];
  return { ...state, holders: new Map([...state.holders].map(weigh)) };
}

/** The servers that stay, and the load of their slices relative to weight. */
function loadsByHolder(state: GrantorState): Map<AgentId, number> {
  // A server whose lease had expired refuses all requests and so reports no
  // load. It may not learn of new grants either.
  const serving = stayingHolders(state)
    .filter(({ leaseHadExpired }) => !leaseHadExpired);
  return loadsOf(state, serving);
}

function stayingHolders(state: GrantorState): readonly Holder[] {
  return [...state.holders.values()].filter(({ leaving }) => !leaving);
}

function loadsOf(
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

function futureOwner(slice: GrantorState["slices"][number]): AgentId | null {
  if (slice.kind === "held") return slice.owner;
  if (slice.kind === "moving") return slice.destination;
  return null;
}

function withLowestLoad(loads: ReadonlyMap<AgentId, number>): AgentId | null {
  let best: AgentId | null = null;
  for (const [id, load] of loads) {
    if (best === null || load < (loads.get(best) ?? 0)) best = id;
  }
  return best;
}

function withHighestLoad(loads: ReadonlyMap<AgentId, number>): AgentId | null {
  let best: AgentId | null = null;
  for (const [id, load] of loads) {
    if (best === null || load > (loads.get(best) ?? 0)) best = id;
  }
  return best;
}

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

function isLimited(state: GrantorState, id: AgentId): boolean {
  return state.holders.get(id)?.weightLimit !== undefined;
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
  return chooseRebalancing(state, { maxMoves, rules: withoutRules });
}

/**
 * Moves for load above capacity first; then those that even out the load, with
 * what is left of the budget for them.
 */
function planRebalancing(
  state: GrantorState,
  query: { readonly settings: MoveBudgetSettings; readonly now: number },
): MovePlan {
  const moving = state.slices.filter((slice) => slice.kind === "moving").length;
  const maxMoves = state.settings.maxConcurrentMoves - moving;
  const stays = staysAfterMove(state.moveBudget, {
    capacityOf: (id: AgentId) => state.holders.get(id)?.weight ?? 0,
    ...query,
  });
  const affordable = countAllowed(
    remainingKeyShare(state.moveBudget, { cause: "above-capacity", ...query }),
    { count: maxMoves, keyShare: keyShareOf(state) },
  );
  const relief = reliefPlan(state, { maxMoves: affordable, stays });
  // Only what the budget prevents needs a second plan.
  const wanted = affordable < maxMoves && relief.moves.length >= affordable
    ? reliefPlan(state, { maxMoves, stays })
    : relief;
  const started = new Set(relief.moves.map(({ slice }) => slice));
  const relieved = withinBudget(state, {
    ...query,
    budget: state.moveBudget,
    cause: "above-capacity",
    moves: [
      ...relief.moves,
      ...wanted.moves.filter(({ slice }) => !started.has(slice)),
    ],
  });
  const rest = chooseRebalancing(withDestinations(state, wanted.moves), {
    maxMoves: maxMoves - wanted.moves.length,
    rules: {
      mayMove: (slice, owner) =>
        !wanted.oversized.has(slice) && !stays(slice, owner),
      mayReceive: (id) => !isLimited(state, id) && !wanted.reserved.has(id),
      maxUtilization: 1,
      triesOtherOwners: true,
    },
  });
  const evened = withinBudget(state, {
    ...query,
    budget: relieved.budget,
    cause: "even-out",
    moves: rest,
  });
  const deferred = new Set([...relieved.deferred, ...evened.deferred]);
  return {
    moves: [...relieved.moves, ...evened.moves],
    budget: { ...evened.budget, deferred },
    rebalancings: [relieved, evened]
      .map(({ rebalancing }) => rebalancing)
      .filter(({ slices, deferred }) => slices.length + deferred > 0),
  };
}

function reliefPlan(
  state: GrantorState,
  query: {
    readonly maxMoves: number;
    readonly stays: (slice: number, owner: AgentId) => boolean;
  },
): ReliefPlan<AgentId> {
  const emptying = new Set(
    state.slices.flatMap((slice) =>
      slice.kind === "moving" ? [slice.owner] : []
    ),
  );
  const serving = stayingHolders(state)
    .filter(({ leaseHadExpired }) => !leaseHadExpired);
  const servers = new Map(serving.map(({ id, weight }) => [id, {
    capacity: weight,
    mayReceive: !isLimited(state, id),
    emptying: emptying.has(id),
  }]));
  const slices = state.slices.flatMap((slice, index) => {
    const owner = futureOwner(slice);
    if (owner === null) return [];
    const load = sliceLoad(state, index);
    const movable = isMovable(state, slice) && !query.stays(index, owner);
    return [{ slice: index, owner, load, movable }];
  });
  return planRelief({ servers, slices, maxMoves: query.maxMoves });
}

function isMovable(state: GrantorState, slice: Slice): boolean {
  if (slice.kind !== "held") return false;
  const holder = state.holders.get(slice.owner);
  return holder !== undefined && isSettled(holder, slice.token);
}

/** The state once these moves have been started. */
function withDestinations(
  state: GrantorState,
  moves: readonly Move[],
): GrantorState {
  const destinations = new Map(
    moves.map(({ slice, destination }) => [slice, destination]),
  );
  const slices = state.slices.map((slice, index): Slice => {
    const destination = destinations.get(index);
    if (slice.kind !== "held" || destination === undefined) return slice;
    return { ...slice, kind: "moving", destination };
  });
  return { ...state, slices };
}

/**
 * The slice of an isolated key counts like any other, so that its moves are
 * bounded, too.
 */
function keyShareOf(state: GrantorState): number {
  return 1 / state.settings.hashedSlices;
}

/** The first of these moves, as many as the budget allows. */
function withinBudget(
  state: GrantorState,
  query: {
    readonly budget: MoveBudget<AgentId>;
    readonly cause: MoveCause;
    readonly moves: readonly Move[];
    readonly settings: MoveBudgetSettings;
    readonly now: number;
  },
): {
  readonly moves: readonly Move[];
  readonly budget: MoveBudget<AgentId>;
  readonly deferred: readonly number[];
  readonly rebalancing: Rebalancing;
} {
  const { cause, settings, now } = query;
  const keyShare = keyShareOf(state);
  const allowed = countAllowed(
    remainingKeyShare(query.budget, { cause, settings, now }),
    { count: query.moves.length, keyShare },
  );
  const moves = query.moves.slice(0, allowed);
  const deferred = query.moves.slice(allowed).map(({ slice }) => slice);
  const started = moves.map(({ slice, destination }) => ({
    slice,
    keyShare,
    destination,
    capacity: state.holders.get(destination)?.weight ?? 0,
    at: now,
  }));
  const budget = recordMoves(query.budget, { moves: started, settings, now });
  return {
    moves,
    budget,
    deferred,
    rebalancing: {
      cause,
      slices: moves.map(({ slice }) => slice),
      deferred: deferred
        .filter((slice) => !query.budget.deferred.has(slice)).length,
      remainingKeyShare: remainingKeyShare(budget, { cause, settings, now }),
    },
  };
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

function chooseRebalancing(
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

/**
 * Whether a slice may be moved. Its owner must have had the table that contains
 * its token for longer than any request runs, because requests for a key that
 * were admitted before its isolation count as running on another slice. Owners
 * whose target checks fencing tokens need not wait: the target tracks the
 * requests of each key itself.
 */
function isSettled(
  holder: Holder,
  token: { readonly epoch: number; readonly sequence: number },
): boolean {
  return holder.checksFencing ||
    compareTokens(holder.settledVersion, token) >= 0;
}
