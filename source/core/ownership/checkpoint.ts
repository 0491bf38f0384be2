/**
 * Checkpoints: when a grantor writes to the store, what it writes, and how its
 * state changes once a write has succeeded.
 *
 * @module
 */
import type { AgentId } from "../agent.ts";
import { addMilliseconds, type Clocks, definitelyBefore } from "../clocks.ts";
import type { Transition } from "../step.ts";
import { type Checkpoint, inRoster, type RosterEntry } from "./delegation.ts";
import {
  delegationEnd,
  type GrantorEffect,
  type GrantorState,
  type Slice,
} from "./grantor_state.ts";
import { loadsAfterIsolation } from "./isolated_loads.ts";
import { nextIsolatedKeys, slicesWithIsolatedKeys } from "./isolation.ts";

/** The delegation is renewed once this share of it has passed. */
const renewalShare = 0.25;

/** How long servers that start together are waited for before a write. */
const gatherMilliseconds = 400;

/** A delegation that was not written for this share of it is abandoned. */
const abandonedShare = 0.4;

/**
 * Whether a delegation that has been unchanged in the store for this time may
 * still be renewed by its grantor. Both durations are in milliseconds.
 */
export function isRenewedInTime(
  unchangedMilliseconds: number,
  durationMilliseconds: number,
): boolean {
  return unchangedMilliseconds < durationMilliseconds * abandonedShare;
}

/** Requests a store write if one is needed and none is in progress. */
export function requestCheckpoint(
  state: GrantorState,
  now: Clocks,
): Transition<GrantorState, GrantorEffect> {
  if (state.unconfirmed !== null || !needsCheckpoint(state, now)) {
    return { state, effects: [] };
  }
  const checkpoint: Checkpoint = {
    roster: nextRoster(state, now.monotonic),
    earlierMayGrant: state.unresponsive.size > 0,
    isolatedKeys: nextIsolatedKeys(state),
  };
  return {
    state: {
      ...state,
      mayBeSuperseded: false,
      rosterChanged: false,
      unconfirmed: checkpoint,
    },
    effects: [{ kind: "writeCheckpoint", checkpoint }],
  };
}

function needsCheckpoint(state: GrantorState, now: Clocks): boolean {
  if (state.mayBeSuperseded || state.rosterChanged) return true;
  if (state.busyKeys.length > 0) return true;
  if (hasWaitingApplicants(state, now.monotonic)) return true;
  if (state.earlierMayGrant && state.unresponsive.size === 0) return true;
  const hasEndedReservation = state.slices.some((slice) =>
    slice.kind === "reserved" && slice.availableAt <= now.monotonic
  );
  if (hasEndedReservation) return true;
  const passed = state.settings.delegationMilliseconds * renewalShare;
  const renewAt = addMilliseconds(
    state.delegationEndsAt,
    passed - state.settings.delegationMilliseconds,
  );
  return !definitelyBefore(now, renewAt);
}

/**
 * Before slices are assigned a server gains nothing by joining at once, so that
 * those that start together are written together.
 */
function hasWaitingApplicants(state: GrantorState, now: number): boolean {
  if (state.applicantsSince === null) return false;
  return state.assignmentStarted ||
    now - state.applicantsSince >= gatherMilliseconds;
}

/** Adds applicants, and keeps servers that may still serve a slice. */
function nextRoster(
  state: GrantorState,
  now: number,
): readonly RosterEntry[] {
  const needed = new Set<AgentId>(state.holders.keys());
  for (const slice of state.slices) {
    if (slice.kind !== "reserved" || slice.availableAt <= now) continue;
    if (slice.owner !== null) needed.add(slice.owner);
    else for (const id of state.unresponsive) needed.add(id);
  }
  const kept = state.roster.filter((entry) => needed.has(entry.id));
  const since = { epoch: state.epoch, sequence: state.sequence };
  const joining = state.applicants.map((entry) => ({ ...entry, since }));
  return [...kept, ...joining];
}

/** Whether a slice is free once a write with this roster has succeeded. */
function isFreedBy(
  slice: Slice,
  write: {
    readonly askedAt: number;
    readonly roster: readonly RosterEntry[];
  },
): boolean {
  if (slice.kind !== "reserved" || slice.availableAt > write.askedAt) {
    return false;
  }
  return slice.owner === null || !inRoster(write.roster, slice.owner);
}

/** The state after the write in progress, requested at `askedAt`, succeeded. */
export function applyCheckpoint(
  state: GrantorState,
  askedAt: Clocks,
): GrantorState {
  const written = state.unconfirmed ?? state;
  const { roster, isolatedKeys, earlierMayGrant } = written;
  const write = { askedAt: askedAt.monotonic, roster };
  const slices = slicesWithIsolatedKeys(state, isolatedKeys).map((
    slice,
  ): Slice => isFreedBy(slice, write) ? { kind: "free" } : slice);
  const unresponsive = [...state.unresponsive].filter((id) =>
    inRoster(roster, id)
  );
  const applicants = state.applicants.filter((entry) =>
    !inRoster(roster, entry.id)
  );
  const known = new Set(isolatedKeys.map((entry) => entry.key));
  return {
    ...state,
    slices,
    roster,
    isolatedKeys,
    loads: loadsAfterIsolation(state, isolatedKeys),
    earlierMayGrant,
    unresponsive: new Set(unresponsive),
    busyKeys: state.unconfirmed === null
      ? state.busyKeys
      : state.busyKeys.filter((load) => isStillPending(state, known, load.key)),
    unconfirmed: null,
    applicants,
    applicantsSince: applicants.length > 0 ? askedAt.monotonic : null,
    delegationEndsAt: delegationEnd(askedAt, state.settings),
    sequence: state.sequence + 1,
  };
}

/**
 * Whether a busy key still waits for a slice of its own. Keys are dropped while
 * the maximum is reached; a key that stays busy is recorded again.
 */
function isStillPending(
  state: GrantorState,
  known: ReadonlySet<string>,
  key: string,
): boolean {
  return !known.has(key) &&
    state.isolatedKeys.length < state.settings.isolatedKeys;
}
