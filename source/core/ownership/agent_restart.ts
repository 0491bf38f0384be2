/**
 * A server whose agent was started again: the new process goes on with the
 * slices of the former one, without waiting for that one's lease to end.
 *
 * Invariant: the former process of a host has ended before the next one
 * begins, so its server is the only one that may still hold its slices.
 *
 * @module
 */
import { type AgentId, hostOfAgent } from "../agent.ts";
import type { GrantorState, Slice } from "./grantor_state.ts";

/** Gives a newcomer, under new tokens, what its host's former agent held. */
export function inheritSlices(
  state: GrantorState,
  newcomer: AgentId,
): GrantorState {
  const former = formerAgents(knownAgents(state), newcomer);
  if (former.size === 0) return state;
  let { sequence } = state;
  const slices = state.slices.map((slice): Slice => {
    if (slice.kind === "free" || slice.owner === null) return slice;
    if (!former.has(slice.owner)) return slice;
    sequence += 1;
    const token = { epoch: state.epoch, sequence };
    return { kind: "held", owner: newcomer, token };
  });
  const holders = new Map(state.holders);
  for (const id of former) holders.delete(id);
  return { ...state, slices, holders, sequence: sequence + 1 };
}

/** Agents that own slices or hold a lease. */
function knownAgents(state: GrantorState): readonly AgentId[] {
  const owners = state.slices.flatMap((slice) =>
    slice.kind === "free" || slice.owner === null ? [] : [slice.owner]
  );
  return [...state.holders.keys(), ...owners];
}

/** Those of the known agents that ran on the newcomer's host before it. */
export function formerAgents(
  known: readonly AgentId[],
  newcomer: AgentId,
): ReadonlySet<AgentId> {
  const host = hostOfAgent(newcomer);
  return new Set(
    known.filter((id) => id !== newcomer && hostOfAgent(id) === host),
  );
}
