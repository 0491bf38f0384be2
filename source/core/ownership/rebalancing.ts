/**
 * Moves within a budget: those for load above capacity first, then those that
 * even out the load.
 *
 * @module
 */
import type { AgentId } from "../agent.ts";
import { chooseEvenOutMoves, type Move } from "./even_out.ts";
import type { GrantorState, Rebalancing, Slice } from "./grantor_state.ts";
import {
  futureOwner,
  isLimited,
  isSettled,
  sliceLoad,
  stayingHolders,
} from "./holder_loads.ts";
import {
  countAllowed,
  type MoveBudget,
  type MoveBudgetSettings,
  type MoveCause,
  recordMoves,
  remainingKeyShare,
  staysAfterMove,
} from "./move_budget.ts";
import { planRelief, type ReliefPlan } from "./uneven_demand.ts";

/** The moves to start now, and what they leave of the budget. */
export interface MovePlan {
  readonly moves: readonly Move[];
  readonly budget: MoveBudget<AgentId>;
  /** Empty for moves off servers that leave, and without a budget. */
  readonly rebalancings: readonly Rebalancing[];
}

/**
 * Moves for load above capacity first; then those that even out the load, with
 * what is left of the budget for them.
 */
export function planRebalancing(
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
  const rest = chooseEvenOutMoves(withDestinations(state, wanted.moves), {
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
      .filter(isReported),
  };
}

/**
 * Moves that even out the load often wait for the budget, so that this alone is
 * not worth a log line.
 */
function isReported({ cause, slices, deferred }: Rebalancing): boolean {
  return slices.length > 0 || (cause === "above-capacity" && deferred > 0);
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
