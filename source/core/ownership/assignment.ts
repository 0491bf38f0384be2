/**
 * Gives free slices to servers, and starts the planned moves.
 *
 * @module
 */
import type { Address, AgentId } from "../agent.ts";
import type { Transition } from "../step.ts";
import type { GrantorEffect, GrantorState, Slice } from "./grantor_state.ts";
import {
  leastLoadedHolder,
  planMoves,
  plannedDestination,
} from "./placement.ts";

/** Fewer stripes than this for each server would divide the keys unevenly. */
const minStripesPerServer = 4;

/**
 * Starts assigning free slices once the initial delay is over. Without it, the
 * first servers to join would get all slices and have to release most of them
 * again. Servers that are known to run are waited for as long again.
 */
export function startAssignment(
  state: GrantorState,
  seen: { readonly now: number; readonly runningServers: number },
): GrantorState {
  const { now, runningServers } = seen;
  if (state.assignmentStarted || now < state.assignmentStartsAt) return state;
  const latest = state.assignmentStartsAt +
    state.settings.initialAssignmentDelayMilliseconds;
  const joined = state.holders.size >= runningServers;
  return joined || now >= latest
    ? { ...state, assignmentStarted: true }
    : state;
}

export function startMoves(
  known: GrantorState,
  now: number,
): Transition<GrantorState, GrantorEffect> {
  // While a store write changes which keys are isolated, the slices that these
  // keys move between must keep their owner.
  const isolationChanges = known.unconfirmed !== null &&
    known.unconfirmed.isolatedKeys !== known.isolatedKeys;
  if (isolationChanges) return { state: known, effects: [] };
  const { moves, budget, rebalancings } = planMoves(known, now);
  const state: GrantorState = { ...known, moveBudget: budget };
  const planned = rebalancings.map((rebalancing): GrantorEffect => ({
    kind: "rebalanced",
    ...rebalancing,
  }));
  if (moves.length === 0) return { state, effects: planned };
  const destinations = new Map(
    moves.map((move) => [move.slice, move.destination]),
  );
  const slices = state.slices.map((slice, index): Slice => {
    const destination = destinations.get(index);
    if (slice.kind !== "held" || destination === undefined) return slice;
    return { ...slice, kind: "moving", destination };
  });
  const owners = new Set(moves.map((move) => move.owner));
  const started = moves.map((move): GrantorEffect => ({
    kind: "moveStarted",
    ...move,
  }));
  const nudge: GrantorEffect = {
    kind: "nudge",
    peerAddresses: addressesOf(state, owners),
  };
  return {
    state: { ...state, slices },
    effects: [...planned, ...started, nudge],
  };
}

export function assignFreeSlices(
  state: GrantorState,
): Transition<GrantorState, GrantorEffect> {
  const free = state.slices.some((slice) => slice.kind === "free");
  if (!free || !state.assignmentStarted) return { state, effects: [] };
  let next = state;
  const effects: GrantorEffect[] = [];
  const receivers = new Set<AgentId>();
  for (const [index, slice] of state.slices.entries()) {
    if (slice.kind !== "free") continue;
    const owner = plannedDestination(next, slice) ??
      neighbourInStripe(next, index, receivers) ??
      leastLoadedHolder(next, index);
    if (owner === null) break;
    const sequence = next.sequence + 1;
    const token = { epoch: next.epoch, sequence };
    const { handover } = slice;
    const held: Slice = { kind: "held", owner, token, handover };
    next = { ...next, sequence, slices: next.slices.with(index, held) };
    receivers.add(owner);
    effects.push({ kind: "granted", slice: index, owner, token });
  }
  if (receivers.size === 0) return { state, effects: [] };
  const peerAddresses = addressesOf(next, receivers);
  return {
    state: next,
    effects: [...effects, { kind: "nudge", peerAddresses }],
  };
}

/**
 * The server that was assigned the previous slice in the same pass, so that a
 * server holds few, long ranges; null where a new stripe begins.
 */
function neighbourInStripe(
  state: GrantorState,
  index: number,
  receivers: ReadonlySet<AgentId>,
): AgentId | null {
  if (index >= state.settings.hashedSlices) return null;
  if (index % stripeLength(state) === 0) return null;
  const before = state.slices[index - 1];
  if (before?.kind !== "held" || !receivers.has(before.owner)) return null;
  return before.owner;
}

/**
 * Adjacent slices that are assigned to one server. Where there are few slices
 * for each server, long stripes would give some servers twice as many as others
 * and all the keys of a busy range to one.
 */
function stripeLength(state: GrantorState): number {
  const { slicesPerStripe, hashedSlices } = state.settings;
  const slicesPerServer = hashedSlices / Math.max(1, state.holders.size);
  const longest = Math.floor(slicesPerServer / minStripesPerServer);
  return Math.max(1, Math.min(slicesPerStripe, longest));
}

function addressesOf(
  state: GrantorState,
  ids: ReadonlySet<AgentId>,
): readonly Address[] {
  return [...ids].flatMap((id) => {
    const holder = state.holders.get(id);
    return holder === undefined ? [] : [holder.peerAddress];
  });
}
