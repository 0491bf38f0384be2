/**
 * Restart of an agent: the new process takes over the slices of the former
 * process on the same host without waiting for that one's lease to end.
 *
 * Invariant: the former process of a host has ended before the next one starts,
 * so the host's server is the only one that may still hold its slices.
 *
 * @module
 */
import { type AgentId, hostOfAgent } from "../agent.ts";
import type { GrantorState, Slice } from "./grantor_state.ts";

/**
 * Gives a new agent, under new tokens, the slices of its host's former agents.
 */
export function inheritSlices(
  state: GrantorState,
  newAgent: AgentId,
): GrantorState {
  const former = formerAgents(knownAgents(state), newAgent);
  if (former.size === 0) return state;
  let { sequence } = state;
  const slices = state.slices.map((slice): Slice => {
    if (slice.kind === "free" || slice.owner === null) return slice;
    if (!former.has(slice.owner)) return slice;
    sequence += 1;
    const token = { epoch: state.epoch, sequence };
    return { kind: "held", owner: newAgent, token };
  });
  const holders = new Map(state.holders);
  for (const id of former) holders.delete(id);
  return { ...state, slices, holders, sequence: sequence + 1 };
}

/** Agents that own slices or have a lease; may contain duplicates. */
function knownAgents(state: GrantorState): readonly AgentId[] {
  const owners = state.slices.flatMap((slice) =>
    slice.kind === "free" || slice.owner === null ? [] : [slice.owner]
  );
  return [...state.holders.keys(), ...owners];
}

/** The other known agents that ran on the host of `newAgent`. */
export function formerAgents(
  known: readonly AgentId[],
  newAgent: AgentId,
): ReadonlySet<AgentId> {
  const host = hostOfAgent(newAgent);
  return new Set(
    known.filter((id) => id !== newAgent && hostOfAgent(id) === host),
  );
}
