/**
 * Checkpoints: what a grantor writes to the store, and what it may do once a
 * write has taken effect.
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
import { nextIsolatedKeys, slicesWithKeys } from "./isolation.ts";

/** A write is wanted again after this share of the delegation has passed. */
const renewalShare = 0.25;

/** A delegation that was not written for this share of it has been left. */
const leftShare = 0.4;

/**
 * Whether a delegation that was last seen to change so long ago may still be
 * renewed by its grantor; both durations in milliseconds.
 */
export function isRenewedInTime(
  unchangedMilliseconds: number,
  durationMilliseconds: number,
): boolean {
  return unchangedMilliseconds < durationMilliseconds * leftShare;
}

/** Asks for a store write when one is needed and none is under way. */
export function wantCheckpoint(
  state: GrantorState,
  now: Clocks,
): Transition<GrantorState, GrantorEffect> {
  if (state.writing !== null || !needsCheckpoint(state, now)) {
    return { state, effects: [] };
  }
  const checkpoint: Checkpoint = {
    roster: nextRoster(state, now.monotonic),
    earlierMayGrant: state.unheard.size > 0,
    isolatedKeys: nextIsolatedKeys(state),
  };
  return {
    state: { ...state, doubted: false, writing: checkpoint },
    effects: [{ kind: "writeCheckpoint", checkpoint }],
  };
}

function needsCheckpoint(state: GrantorState, now: Clocks): boolean {
  if (state.doubted) return true;
  if (state.applicants.length + state.busyKeys.length > 0) return true;
  if (state.earlierMayGrant && state.unheard.size === 0) return true;
  const surelyEnded = state.slices.some((slice) =>
    slice.kind === "reserved" && slice.availableAt <= now.monotonic
  );
  if (surelyEnded) return true;
  const passed = state.settings.delegationMilliseconds * renewalShare;
  const renewAt = addMilliseconds(
    state.delegationEndsAt,
    passed - state.settings.delegationMilliseconds,
  );
  return !definitelyBefore(now, renewAt);
}

/** Applicants join; a server stays while a slice may still be with it. */
function nextRoster(
  state: GrantorState,
  now: number,
): readonly RosterEntry[] {
  const needed = new Set<AgentId>(state.holders.keys());
  for (const slice of state.slices) {
    if (slice.kind !== "reserved" || slice.availableAt <= now) continue;
    if (slice.owner !== null) needed.add(slice.owner);
    else for (const id of state.unheard) needed.add(id);
  }
  const kept = state.roster.filter((entry) => needed.has(entry.id));
  const since = { epoch: state.epoch, sequence: state.sequence };
  const joining = state.applicants.map((entry) => ({ ...entry, since }));
  return [...kept, ...joining];
}

/** Whether a write that drops these servers makes the slice free. */
function freedBy(
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

/** The state after the write under way took effect, asked at this instant. */
export function afterCheckpoint(
  state: GrantorState,
  askedAt: Clocks,
): GrantorState {
  const written = state.writing ?? state;
  const { roster, isolatedKeys, earlierMayGrant } = written;
  const write = { askedAt: askedAt.monotonic, roster };
  const slices = slicesWithKeys(state, isolatedKeys).map((slice): Slice =>
    freedBy(slice, write) ? { kind: "free" } : slice
  );
  const unheard = [...state.unheard].filter((id) => inRoster(roster, id));
  const known = new Set(isolatedKeys.map((entry) => entry.key));
  return {
    ...state,
    slices,
    roster,
    isolatedKeys,
    earlierMayGrant,
    unheard: new Set(unheard),
    busyKeys: state.writing === null
      ? state.busyKeys
      : state.busyKeys.filter((load) => waitsStill(state, known, load.key)),
    writing: null,
    applicants: state.applicants.filter((entry) => !inRoster(roster, entry.id)),
    delegationEndsAt: delegationEnd(askedAt, state.settings),
    sequence: state.sequence + 1,
  };
}

/** A key without room now is noted again while it stays busy. */
function waitsStill(
  state: GrantorState,
  known: ReadonlySet<string>,
  key: string,
): boolean {
  return !known.has(key) &&
    state.isolatedKeys.length < state.settings.isolatedKeys;
}
