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
import { type Clocks, definitelyBefore } from "../clocks.ts";
import type { Transition } from "../step.ts";
import { afterCheckpoint, wantCheckpoint } from "./checkpoint.ts";
import { inRoster } from "./delegation.ts";
import {
  type GrantorEffect,
  type GrantorEvent,
  type GrantorSettings,
  type GrantorState,
  type Holder,
  lastWorkEndsAt,
  type Slice,
} from "./grantor_state.ts";
import { steadyRates, steadyWeight } from "./few_requests.ts";
import { tableOf } from "./grantor_table.ts";
import { noteBusyKeys } from "./isolation.ts";
import { readHandover } from "./handover.ts";
import { stillItsOwn } from "./last_held.ts";
import { chooseMoves, leastLoaded } from "./placement.ts";
import { formerAgents, inheritSlices } from "./succession.ts";
import type { Grant, Renewal, RenewalAnswer } from "./renewal.ts";
import { compareTokens, noToken } from "./token.ts";
import { freeUnreported, isUnreported } from "./unreported.ts";

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
    case "earlierEnded":
      return { state: shortenWait(state, event.now), effects: [] };
    case "handover":
      return assignFree(takeHandover(state, event));
    case "departed":
      return assignFree(event.ids.reduce(noteHeard, state));
    case "confirmed":
      return confirm(state, event.askedAt);
  }
}

/** What nobody has reported yet is left as the former grantor had it. */
function takeHandover(
  state: GrantorState,
  event: GrantorEvent & { readonly kind: "handover" },
): GrantorState {
  const known = readHandover(event.handover, {
    now: event.now.monotonic,
    hasAnswered: (id) => !state.unheard.has(id),
  });
  const slices = state.slices.map((slice, index): Slice => {
    if (!isUnreported(slice) || index >= state.settings.hashedSlices) {
      return slice;
    }
    return known[index] ?? { kind: "free" };
  });
  return { ...state, slices, sequence: state.sequence + 1 };
}

/** What nobody reported waits for the leases that were given last. */
function shortenWait(state: GrantorState, now: Clocks): GrantorState {
  const { leaseMilliseconds, longestDeadlineMilliseconds } = state.settings;
  const end = now.monotonic + leaseMilliseconds + longestDeadlineMilliseconds;
  const slices = state.slices.map((slice): Slice =>
    slice.kind === "reserved" && slice.owner === null
      ? { ...slice, availableAt: Math.min(slice.availableAt, end) }
      : slice
  );
  return { ...state, slices };
}

/** Whether the grantor's own right to grant has ended. */
export function delegationEnded(state: GrantorState, now: Clocks): boolean {
  return !definitelyBefore(now, state.delegationEndsAt);
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
  const proved = renewal.emptied ? noteEmptied(known, renewal.id) : known;
  const restored = restoreReported(proved, renewal);
  const released = acceptReleases(restored, renewal);
  const assigned = assignFree(noteBusyKeys(released, renewal));
  const { effects } = assigned;
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

/** A version settles once every request of earlier ones must have ended. */
function settle(
  former: Holder | undefined,
  seen: {
    readonly renewal: Renewal;
    readonly now: number;
    readonly settings: GrantorSettings;
  },
): Pick<Holder, "settledVersion" | "settling"> {
  const version = seen.renewal.tableVersion;
  const next = { version, since: seen.now };
  if (former === undefined) return { settledVersion: noToken, settling: next };
  const { settling, settledVersion } = former;
  const { longestDeadlineMilliseconds } = seen.settings;
  if (seen.now - settling.since < longestDeadlineMilliseconds) {
    return { settledVersion, settling };
  }
  return { settledVersion: settling.version, settling: next };
}

function withHolder(
  state: GrantorState,
  renewal: Renewal,
  now: Clocks,
): GrantorState {
  const former = state.holders.get(renewal.id);
  const holder: Holder = {
    id: renewal.id,
    peerAddress: renewal.peerAddress,
    ...steadyWeight(former, renewal),
    checksFencing: renewal.checksFencing,
    leaving: renewal.leaving,
    lapsed: renewal.lapsed !== undefined,
    leaseEndsAt: now.monotonic + state.settings.leaseMilliseconds,
    tableVersion: renewal.tableVersion,
    ...settle(former, {
      renewal,
      now: now.monotonic,
      settings: state.settings,
    }),
  };
  const holders = new Map(state.holders).set(renewal.id, holder);
  const loads = steadyRates(state.loads, renewal.sliceLoads);
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
  const reported = new Set(
    [...renewal.held, ...stillItsOwn(renewal, state.roster)]
      .map((grant) => grant.slice),
  );
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

/** Nothing needs to be heard any more of the former agents of this host. */
function noteEmptied(state: GrantorState, id: AgentId): GrantorState {
  const former = formerAgents([...state.unheard], id);
  return [...former].reduce(noteHeard, state);
}

function noteHeard(state: GrantorState, id: AgentId): GrantorState {
  const unheard = new Set(state.unheard);
  unheard.delete(id);
  const heard = { ...state, unheard };
  return unheard.size > 0 ? heard : freeUnreported(heard);
}

function acceptReleases(state: GrantorState, renewal: Renewal): GrantorState {
  if (renewal.released.length === 0) return state;
  const released = new Map(
    renewal.released.map((grant) => [grant.slice, grant]),
  );
  const slices = state.slices.map((slice, index): Slice => {
    const grant = released.get(index);
    if (grant === undefined) return slice;
    if (slice.kind !== "moving" && slice.kind !== "held") return slice;
    if (slice.owner !== renewal.id) return slice;
    if (compareTokens(slice.token, grant.token) !== 0) return slice;
    return { kind: "free", handover: grant.handover };
  });
  return { ...state, slices, sequence: state.sequence + 1 };
}

function tick(
  state: GrantorState,
  now: Clocks,
): Transition<GrantorState, GrantorEffect> {
  if (delegationEnded(state, now)) return { state, effects: [] };
  const lapsed = lapse(state, now.monotonic);
  const moved = startMoves(gathered(lapsed.state, now.monotonic));
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

/** The first servers to come would get all, and have to give most back. */
function gathered(state: GrantorState, now: number): GrantorState {
  if (state.assigns || now < state.assignsFrom) return state;
  return { ...state, assigns: true };
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
    state: {
      ...state,
      holders,
      slices,
      doubted: true,
      sequence: state.sequence + 1,
    },
    effects,
  };
}

function startMoves(
  state: GrantorState,
): Transition<GrantorState, GrantorEffect> {
  // Keys that are about to change slices must find them where they were.
  const redividing = state.writing !== null &&
    state.writing.isolatedKeys !== state.isolatedKeys;
  const moves = redividing ? [] : chooseMoves(state);
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
  const free = state.slices.some((slice) => slice.kind === "free");
  if (!free || !state.assigns) return { state, effects: [] };
  let next = state;
  const effects: GrantorEffect[] = [];
  const receivers = new Set<AgentId>();
  for (const [index, slice] of state.slices.entries()) {
    if (slice.kind !== "free") continue;
    const owner = neighbourInStripe(next, index, receivers) ??
      leastLoaded(next, index);
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
 * The server that has just been given the slice before, so that it holds few
 * and long ranges; null where a new stripe begins.
 */
function neighbourInStripe(
  state: GrantorState,
  index: number,
  receivers: ReadonlySet<AgentId>,
): AgentId | null {
  const { stripeSlices, hashedSlices } = state.settings;
  if (index % stripeSlices === 0 || index >= hashedSlices) return null;
  const before = state.slices[index - 1];
  if (before?.kind !== "held" || !receivers.has(before.owner)) return null;
  return before.owner;
}

function confirm(
  state: GrantorState,
  askedAt: Clocks,
): Transition<GrantorState, GrantorEffect> {
  const checked = afterCheckpoint(state, askedAt);
  const newcomers = state.applicants.filter((entry) =>
    inRoster(checked.roster, entry.id)
  );
  const confirmed = newcomers.reduce(
    (next, entry) => inheritSlices(next, entry.id),
    checked,
  );
  const isolated = confirmed.isolatedKeys
    .filter((entry) => !state.isolatedKeys.includes(entry))
    .map(({ key, slice }): GrantorEffect => ({ kind: "isolated", key, slice }));
  const assigned = assignFree(confirmed);
  const peerAddresses = newcomers.map((entry) => entry.peerAddress);
  const nudge: GrantorEffect = { kind: "nudge", peerAddresses };
  return {
    state: assigned.state,
    effects: [...isolated, ...assigned.effects, nudge],
  };
}

function answerFor(state: GrantorState, renewal: Renewal): RenewalAnswer {
  const grants: Grant[] = [];
  const release: number[] = [];
  state.slices.forEach((slice, index) => {
    if (slice.kind !== "held" && slice.kind !== "moving") return;
    if (slice.owner !== renewal.id) return;
    grants.push(
      slice.kind === "held" && slice.handover !== undefined
        ? { slice: index, token: slice.token, handover: slice.handover }
        : { slice: index, token: slice.token },
    );
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
