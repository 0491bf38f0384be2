/**
 * The grantor of a group: gives its slices to servers under short leases.
 *
 * Invariants:
 * - a slice has at most one owner; it is given on only after its owner
 *   released it, or after the owner's lease has surely ended and the store has
 *   confirmed, later than that, that this grantor's epoch still stands;
 * - nothing is granted to a server that the stored roster does not name;
 * - nothing is granted after the delegation has ended.
 *
 * @module
 */
import type { Address, AgentId } from "../agent.ts";
import { type Clocks, later, surelyBefore } from "../clocks.ts";
import type { Transition } from "../step.ts";
import type { Checkpoint, RosterEntry } from "./delegation.ts";
import {
  delegationEnd,
  type GrantorSettings,
  type GrantorState,
  type Holder,
  type Slice,
} from "./grantor_state.ts";
import { chooseMoves, leastLoaded } from "./placement.ts";
import type { Grant, KeyLoad, Renewal, RenewalAnswer } from "./renewal.ts";
import type { OwnershipTable } from "./table.ts";
import { compareTokens, type FencingToken } from "./token.ts";

/** What happens to a grantor. */
export type GrantorEvent =
  | {
    readonly kind: "renewal";
    readonly renewal: Renewal;
    readonly now: Clocks;
  }
  | { readonly kind: "tick"; readonly now: Clocks }
  | {
    /** A store write at this epoch took effect. */
    readonly kind: "confirmed";
    readonly askedAt: Clocks;
  }
  | {
    /** The store write surely had no effect, and this epoch still stands. */
    readonly kind: "notWritten";
  };

/** What a grantor asks of its task. */
export type GrantorEffect =
  | { readonly kind: "answer"; readonly answer: RenewalAnswer }
  | { readonly kind: "refuse" }
  | {
    readonly kind: "writeCheckpoint";
    readonly checkpoint: Checkpoint;
  }
  | { readonly kind: "nudge"; readonly peerAddresses: readonly Address[] }
  | { readonly kind: "lapsed"; readonly id: AgentId; readonly slices: number }
  | {
    readonly kind: "granted";
    readonly slice: number;
    readonly owner: AgentId;
    readonly token: FencingToken;
  }
  | {
    readonly kind: "moveStarted";
    readonly slice: number;
    readonly owner: AgentId;
    readonly destination: AgentId;
  }
  | { readonly kind: "isolated"; readonly key: string; readonly slice: number };

/** Applies one event to a grantor. */
export function stepGrantor(
  state: GrantorState,
  event: GrantorEvent,
): Transition<GrantorState, GrantorEffect> {
  switch (event.kind) {
    case "renewal":
      return renew(state, event.renewal, event.now);
    case "tick":
      return tick(state, event.now);
    case "confirmed":
      return confirm(state, event.askedAt);
    case "notWritten":
      return { state: { ...state, writing: null }, effects: [] };
  }
}

/** Whether the grantor's own right to grant has ended. */
export function delegationEnded(state: GrantorState, now: Clocks): boolean {
  return !surelyBefore(now, state.delegationEndsAt);
}

function renew(
  state: GrantorState,
  renewal: Renewal,
  now: Clocks,
): Transition<GrantorState, GrantorEffect> {
  if (delegationEnded(state, now)) {
    return { state, effects: [{ kind: "refuse" }] };
  }
  if (!mayHold(state, renewal.id)) {
    return apply(state, renewal);
  }
  const known = withHolder(state, renewal, now);
  const restored = restoreReported(known, renewal);
  const released = acceptReleases(restored, renewal);
  const isolated = isolateBusyKeys(released, renewal);
  const assigned = assignFree(isolated.state);
  const effects = [...isolated.effects, ...assigned.effects];
  const answer = answerFor(assigned.state, renewal);
  return {
    state: assigned.state,
    effects: [...effects, { kind: "answer", answer }],
  };
}

/** A server that a write in flight would drop gets nothing until it settles. */
function mayHold(state: GrantorState, id: AgentId): boolean {
  if (!inRoster(state.roster, id)) return false;
  return state.writing === null || inRoster(state.writing.roster, id);
}

function apply(
  state: GrantorState,
  renewal: Renewal,
): Transition<GrantorState, GrantorEffect> {
  const applicant = { id: renewal.id, peerAddress: renewal.peerAddress };
  const waiting = inRoster(state.applicants, renewal.id);
  const next: GrantorState = waiting || renewal.leaving ? state : {
    ...state,
    applicants: [...state.applicants, applicant],
  };
  const answer: RenewalAnswer = {
    epoch: state.epoch,
    leaseMilliseconds: 0,
    grants: [],
    release: [],
    table: tableOf(next),
  };
  return { state: next, effects: [{ kind: "answer", answer }] };
}

function inRoster(roster: readonly RosterEntry[], id: AgentId): boolean {
  return roster.some((entry) => entry.id === id);
}

/** One renewal counts a second's requests; placement needs a steadier view. */
const loadSmoothing = 0.3;

function withHolder(
  state: GrantorState,
  renewal: Renewal,
  now: Clocks,
): GrantorState {
  const holder: Holder = {
    id: renewal.id,
    peerAddress: renewal.peerAddress,
    weight: renewal.weight,
    checksFencing: renewal.checksFencing,
    leaving: renewal.leaving,
    leaseEndsAt: now.monotonic + state.settings.leaseMilliseconds,
    tableVersion: renewal.tableVersion,
  };
  const former = state.holders.get(renewal.id);
  const holders = new Map(state.holders).set(renewal.id, holder);
  const loads = new Map(state.loads);
  for (const { slice, requestsPerSecond } of renewal.sliceLoads) {
    const mean = loads.get(slice) ?? requestsPerSecond;
    loads.set(slice, mean + (requestsPerSecond - mean) * loadSmoothing);
  }
  const joined = former === undefined;
  return bump({ ...state, holders, loads }, joined);
}

function bump(state: GrantorState, changed: boolean): GrantorState {
  return changed ? { ...state, sequence: state.sequence + 1 } : state;
}

/**
 * A holder that comes back before its slices were given on keeps them: it is
 * the same process, so its own work is all that the reservation waits for.
 */
function restoreReported(state: GrantorState, renewal: Renewal): GrantorState {
  const reported = new Set(renewal.held.map((grant) => grant.slice));
  const firstHeard = state.unheard.has(renewal.id);
  let sequence = state.sequence;
  const slices = state.slices.map((slice, index): Slice => {
    if (slice.kind !== "reserved") return slice;
    const mine = slice.owner === renewal.id;
    const found = firstHeard && slice.owner === null && reported.has(index);
    if (!mine && !found) return slice;
    sequence += 1;
    const token = { epoch: state.epoch, sequence };
    return { kind: "held", owner: renewal.id, token };
  });
  const restored = sequence === state.sequence
    ? state
    : { ...state, slices, sequence };
  return firstHeard ? noteHeard(restored, renewal.id) : restored;
}

/** Once all are heard, what nobody reported is nobody's. */
function noteHeard(state: GrantorState, id: AgentId): GrantorState {
  const unheard = new Set(state.unheard);
  unheard.delete(id);
  if (unheard.size > 0) return { ...state, unheard };
  const slices = state.slices.map((slice): Slice =>
    slice.kind === "reserved" && slice.owner === null ? { kind: "free" } : slice
  );
  return { ...state, unheard, slices };
}

function acceptReleases(state: GrantorState, renewal: Renewal): GrantorState {
  if (renewal.released.length === 0) return state;
  const released = new Map(
    renewal.released.map((grant) => [grant.slice, grant.token]),
  );
  const slices = state.slices.map((slice, index): Slice => {
    const token = released.get(index);
    if (token === undefined) return slice;
    if (slice.kind !== "moving" && slice.kind !== "held") return slice;
    if (slice.owner !== renewal.id) return slice;
    if (compareTokens(slice.token, token) !== 0) return slice;
    return { kind: "free" };
  });
  return { ...state, slices, sequence: state.sequence + 1 };
}

const isolationShare = 0.25;
const isolationFloorPerSecond = 50;

/** Gives a key that carries much of its slice's load a slice of its own. */
function isolateBusyKeys(
  state: GrantorState,
  renewal: Renewal,
): Transition<GrantorState, GrantorEffect> {
  let next = state;
  const effects: GrantorEffect[] = [];
  for (const load of renewal.keyLoads) {
    if (!worthIsolating(next, renewal.id, load)) continue;
    const owner = next.slices[load.slice];
    if (owner === undefined || owner.kind !== "held") continue;
    const slice = next.slices.length;
    const sequence = next.sequence + 1;
    const token = { epoch: next.epoch, sequence };
    next = {
      ...next,
      sequence,
      slices: [...next.slices, { kind: "held", owner: renewal.id, token }],
      isolatedKeys: [...next.isolatedKeys, { key: load.key, slice }],
      loads: new Map(next.loads).set(slice, load.requestsPerSecond),
    };
    effects.push({ kind: "isolated", key: load.key, slice });
  }
  return { state: next, effects };
}

function worthIsolating(
  state: GrantorState,
  owner: AgentId,
  load: KeyLoad,
): boolean {
  if (state.isolatedKeys.length >= state.settings.isolatedKeys) return false;
  if (load.requestsPerSecond < isolationFloorPerSecond) return false;
  if (load.slice >= state.settings.hashedSlices) return false;
  if (state.isolatedKeys.some((entry) => entry.key === load.key)) return false;
  const slice = state.slices[load.slice];
  if (slice === undefined || slice.kind !== "held") return false;
  if (slice.owner !== owner) return false;
  const whole = ownedLoad(state, owner);
  return load.requestsPerSecond >= isolationShare * whole;
}

function ownedLoad(state: GrantorState, owner: AgentId): number {
  let sum = 0;
  state.slices.forEach((slice, index) => {
    if (slice.kind === "held" && slice.owner === owner) {
      sum += state.loads.get(index) ?? 0;
    }
  });
  return sum;
}

function tick(
  state: GrantorState,
  now: Clocks,
): Transition<GrantorState, GrantorEffect> {
  if (delegationEnded(state, now)) return { state, effects: [] };
  const lapsed = lapse(state, now.monotonic);
  const moved = startMoves(lapsed.state);
  const assigned = assignFree(moved.state);
  const wanted = wantCheckpoint(assigned.state, now);
  return {
    state: wanted.state,
    effects: [
      ...lapsed.effects,
      ...moved.effects,
      ...assigned.effects,
      ...wanted.effects,
    ],
  };
}

function lapse(
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
    state: { ...state, holders, slices, sequence: state.sequence + 1 },
    effects,
  };
}

/** A target that checks tokens stops with the lease; others run to the end. */
function lastWorkEndsAt(holder: Holder, settings: GrantorSettings): number {
  if (holder.checksFencing) return holder.leaseEndsAt;
  return holder.leaseEndsAt + settings.longestDeadlineMilliseconds;
}

function startMoves(
  state: GrantorState,
): Transition<GrantorState, GrantorEffect> {
  const moves = chooseMoves(state);
  if (moves.length === 0) return { state, effects: [] };
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
  return { state: { ...state, slices }, effects: [...started, nudge] };
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

function assignFree(
  state: GrantorState,
): Transition<GrantorState, GrantorEffect> {
  if (!state.slices.some((slice) => slice.kind === "free")) {
    return { state, effects: [] };
  }
  let next = state;
  const effects: GrantorEffect[] = [];
  const receivers = new Set<AgentId>();
  for (const [index, slice] of state.slices.entries()) {
    if (slice.kind !== "free") continue;
    const owner = leastLoaded(next, index);
    if (owner === null) break;
    const sequence = next.sequence + 1;
    const token = { epoch: next.epoch, sequence };
    const held: Slice = { kind: "held", owner, token };
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

/** A write is wanted again after this share of the delegation has passed. */
const renewalShare = 0.25;

function wantCheckpoint(
  state: GrantorState,
  now: Clocks,
): Transition<GrantorState, GrantorEffect> {
  if (state.writing !== null || !needsCheckpoint(state, now)) {
    return { state, effects: [] };
  }
  const checkpoint: Checkpoint = {
    roster: nextRoster(state, now.monotonic),
    earlierMayGrant: state.unheard.size > 0,
  };
  return {
    state: { ...state, writing: checkpoint },
    effects: [{ kind: "writeCheckpoint", checkpoint }],
  };
}

function needsCheckpoint(state: GrantorState, now: Clocks): boolean {
  if (state.applicants.length > 0) return true;
  if (state.earlierMayGrant && state.unheard.size === 0) return true;
  const surelyEnded = state.slices.some((slice) =>
    slice.kind === "reserved" && slice.availableAt <= now.monotonic
  );
  if (surelyEnded) return true;
  const passed = state.settings.delegationMilliseconds * renewalShare;
  const renewAt = later(
    state.delegationEndsAt,
    passed - state.settings.delegationMilliseconds,
  );
  return !surelyBefore(now, renewAt);
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
  return [...kept, ...state.applicants];
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

function confirm(
  state: GrantorState,
  askedAt: Clocks,
): Transition<GrantorState, GrantorEffect> {
  const roster = state.writing?.roster ?? state.roster;
  const write = { askedAt: askedAt.monotonic, roster };
  const slices = state.slices.map((slice): Slice =>
    freedBy(slice, write) ? { kind: "free" } : slice
  );
  const unheard = [...state.unheard].filter((id) => inRoster(roster, id));
  const newcomers = state.applicants.filter((entry) =>
    inRoster(roster, entry.id)
  );
  const confirmed: GrantorState = {
    ...state,
    slices,
    roster,
    unheard: new Set(unheard),
    earlierMayGrant: state.writing?.earlierMayGrant ?? state.earlierMayGrant,
    writing: null,
    applicants: state.applicants.filter((entry) => !inRoster(roster, entry.id)),
    delegationEndsAt: delegationEnd(askedAt, state.settings),
    sequence: state.sequence + 1,
  };
  const assigned = assignFree(confirmed);
  if (newcomers.length === 0) return assigned;
  const peerAddresses = newcomers.map((entry) => entry.peerAddress);
  const nudge: GrantorEffect = { kind: "nudge", peerAddresses };
  return { state: assigned.state, effects: [...assigned.effects, nudge] };
}

function answerFor(state: GrantorState, renewal: Renewal): RenewalAnswer {
  const grants: Grant[] = [];
  const release: number[] = [];
  state.slices.forEach((slice, index) => {
    if (slice.kind !== "held" && slice.kind !== "moving") return;
    if (slice.owner !== renewal.id) return;
    grants.push({ slice: index, token: slice.token });
    if (slice.kind === "moving") release.push(index);
  });
  const table = tableOf(state);
  const stale = compareTokens(renewal.tableVersion, table.version) < 0;
  return {
    epoch: state.epoch,
    leaseMilliseconds: state.settings.leaseMilliseconds,
    grants,
    release,
    table: stale ? table : null,
  };
}

/** The table that a grantor's state stands for. */
export function tableOf(state: GrantorState): OwnershipTable {
  const holders = [...state.holders.values()].map((holder) => ({
    id: holder.id,
    peerAddress: holder.peerAddress,
  }));
  const indexes = new Map(holders.map((holder, index) => [holder.id, index]));
  const owners = state.slices.map((slice) => {
    if (slice.kind === "free" || slice.owner === null) return -1;
    return indexes.get(slice.owner) ?? -1;
  });
  return {
    group: state.group,
    version: { epoch: state.epoch, sequence: state.sequence },
    holders,
    owners,
    hashedSlices: state.settings.hashedSlices,
    isolatedKeys: state.isolatedKeys,
  };
}
