/**
 * What becomes of slices whose servers are lost, come back, or respond to a new
 * grantor late.
 *
 * @module
 */
import type { AgentId } from "../agent.ts";
import type { Clocks } from "../clocks.ts";
import type { Transition } from "../step.ts";
import { formerAgents } from "./agent_restart.ts";
import {
  type GrantorEffect,
  type GrantorEvent,
  type GrantorState,
  lastWorkEndsAt,
  type Slice,
} from "./grantor_state.ts";
import { slicesFromHandover } from "./handover.ts";
import type { Renewal } from "./renewal.ts";
import { retainedGrants } from "./retained_grants.ts";
import {
  freeUnreportedSlices,
  hasAllReports,
  isUnreported,
} from "./unreported_slices.ts";

export function expireLeases(
  state: GrantorState,
  now: number,
): Transition<GrantorState, GrantorEffect> {
  const ended = [...state.holders.values()].filter((holder) =>
    holder.leaseEndsAt <= now
  );
  if (ended.length === 0) return { state, effects: [] };
  const byId = new Map(ended.map((holder) => [holder.id, holder]));
  const holders = new Map(state.holders);
  for (const id of byId.keys()) holders.delete(id);
  const slices = state.slices.map((slice): Slice => {
    if (slice.kind !== "held" && slice.kind !== "moving") return slice;
    const holder = byId.get(slice.owner);
    if (holder === undefined) return slice;
    return {
      kind: "reserved",
      owner: slice.owner,
      token: slice.token,
      availableAt: lastWorkEndsAt(holder, state.settings),
    };
  });
  const effects = ended.map((holder): GrantorEffect => ({
    kind: "lapsed",
    id: holder.id,
    slices:
      slices.filter((slice) =>
        slice.kind === "reserved" && slice.owner === holder.id
      ).length,
  }));
  return {
    state: {
      ...state,
      holders,
      slices,
      mayBeSuperseded: true,
      sequence: state.sequence + 1,
    },
    effects,
  };
}

/**
 * Makes unreported slices available as soon as the last leases that an earlier
 * grantor can have renewed, and the work under them, must have ended.
 */
export function shortenReservations(
  state: GrantorState,
  now: Clocks,
): GrantorState {
  const { leaseMilliseconds, longestDeadlineMilliseconds } = state.settings;
  const leasesEnd = now.monotonic + leaseMilliseconds +
    longestDeadlineMilliseconds;
  const end = Math.max(leasesEnd, state.unlistedUntil ?? leasesEnd);
  const slices = state.slices.map((slice): Slice =>
    slice.kind === "reserved" && slice.owner === null
      ? { ...slice, availableAt: Math.min(slice.availableAt, end) }
      : slice
  );
  return { ...state, slices };
}

/** Sets the slices that no server has reported as the handover lists them. */
export function applyHandover(
  state: GrantorState,
  event: GrantorEvent & { readonly kind: "handover" },
): GrantorState {
  const known = slicesFromHandover(event.handover, {
    now: event.now.monotonic,
    hasAnswered: (id) => !state.unresponsive.has(id),
  });
  const slices = state.slices.map((slice, index): Slice => {
    if (!isUnreported(slice) || index >= state.settings.hashedSlices) {
      return slice;
    }
    return known[index] ?? { kind: "free" };
  });
  return { ...state, slices, sequence: state.sequence + 1 };
}

/**
 * Gives a holder back its reserved slices that have not been reassigned. It is
 * the same process, and the reservation only waits for that process's own work.
 * With its first response since the takeover, it also gets the unreported
 * slices that it reports.
 */
export function restoreReportedSlices(
  state: GrantorState,
  renewal: Renewal,
): GrantorState {
  const reported = new Set(
    [...renewal.held, ...retainedGrants(renewal, state.roster)]
      .map((grant) => grant.slice),
  );
  const isFirstResponse = state.unresponsive.has(renewal.id);
  let sequence = state.sequence;
  const slices = state.slices.map((slice, index): Slice => {
    if (slice.kind !== "reserved") return slice;
    const owned = slice.owner === renewal.id;
    const found = isFirstResponse && slice.owner === null &&
      reported.has(index);
    if (!owned && !found) return slice;
    sequence += 1;
    const token = { epoch: state.epoch, sequence };
    return { kind: "held", owner: renewal.id, token };
  });
  const restored = sequence === state.sequence
    ? state
    : { ...state, slices, sequence };
  return isFirstResponse ? markResponded(restored, renewal.id) : restored;
}

/** Former agents of this agent's host need not respond any more. */
export function markFormerAgentsEmpty(
  state: GrantorState,
  id: AgentId,
): GrantorState {
  const former = formerAgents([...state.unresponsive], id);
  return [...former].reduce(markResponded, state);
}

export function markResponded(state: GrantorState, id: AgentId): GrantorState {
  const unresponsive = new Set(state.unresponsive);
  unresponsive.delete(id);
  const next = { ...state, unresponsive };
  return hasAllReports(next) ? freeUnreportedSlices(next) : next;
}

/**
 * Drops a holder that has departed without waiting for its lease to end, so
 * that the next roster doesn't name it: no later grantor then waits for it.
 */
export function dropDeparted(state: GrantorState, id: AgentId): GrantorState {
  const holder = state.holders.get(id);
  const owns = state.slices.some((slice) =>
    slice.kind !== "free" && slice.owner === id
  );
  if (holder === undefined || owns) return state;
  const holders = new Map(state.holders);
  holders.delete(id);
  return { ...state, holders, rosterChanged: true };
}
