/**
 * The grantor of a group: assigns the group's slices to servers under short
 * leases.
 *
 * Invariants:
 * - a slice has at most one owner; it is reassigned only after its owner
 *   released it, or after the owner's lease has definitely ended and a later
 *   store write has confirmed that this grantor's epoch is still current;
 * - nothing is granted to a server that is not in the stored roster;
 * - nothing is granted after the delegation has ended.
 *
 * @module
 */
import type { Address, AgentId } from "../agent.ts";
import { type Clocks, definitelyBefore } from "../clocks.ts";
import type { Transition } from "../step.ts";
import { applyCheckpoint, requestCheckpoint } from "./checkpoint.ts";
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
import { smoothRates, smoothWeight } from "./load_smoothing.ts";
import { tableOf } from "./grantor_table.ts";
import { separateLoads } from "./isolated_loads.ts";
import { recordBusyKeys } from "./isolation.ts";
import { slicesFromHandover } from "./handover.ts";
import { retainedGrants } from "./retained_grants.ts";
import {
  leastLoadedHolder,
  planMoves,
  plannedDestination,
} from "./placement.ts";
import { formerAgents, inheritSlices } from "./agent_restart.ts";
import type { Grant, Renewal, RenewalAnswer } from "./renewal.ts";
import { compareTokens, noToken } from "./token.ts";
import {
  freeUnreportedSlices,
  hasAllReports,
  isUnreported,
} from "./unreported_slices.ts";

/** Fewer stripes than this for each server would divide the keys unevenly. */
const minStripesPerServer = 4;

/** Applies one event to a grantor's state. */
export function stepGrantor(
  state: GrantorState,
  event: GrantorEvent,
): Transition<GrantorState, GrantorEffect> {
  switch (event.kind) {
    case "renewal":
      return handleRenewal(state, event.renewal, event.now);
    case "tick":
      return tick(state, event);
    case "earlierEnded":
      return { state: shortenReservations(state, event.now), effects: [] };
    case "handover":
      return assignFreeSlices(applyHandover(state, event));
    case "departed":
      return assignFreeSlices(
        event.ids.reduce(dropDeparted, event.ids.reduce(markResponded, state)),
      );
    case "confirmed":
      return handleStoreConfirmation(state, event.askedAt);
  }
}

/** Sets the slices that no server has reported as the handover lists them. */
function applyHandover(
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
 * Makes unreported slices available as soon as the last leases that an earlier
 * grantor can have renewed, and the work under them, must have ended.
 */
function shortenReservations(state: GrantorState, now: Clocks): GrantorState {
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

/** Whether the grantor's delegation has ended, on either clock. */
export function delegationEnded(state: GrantorState, now: Clocks): boolean {
  return !definitelyBefore(now, state.delegationEndsAt);
}

function handleRenewal(
  state: GrantorState,
  renewal: Renewal,
  now: Clocks,
): Transition<GrantorState, GrantorEffect> {
  if (delegationEnded(state, now)) {
    return { state, effects: [{ kind: "refuse" }] };
  }
  if (!mayHold(state, renewal.id)) {
    return handleApplication(state, renewal, now);
  }
  const known = withHolder(state, renewal, now);
  const responded = renewal.emptied
    ? markFormerAgentsEmpty(known, renewal.id)
    : known;
  const restored = restoreReportedSlices(responded, renewal);
  const released = acceptReleases(restored, renewal);
  const assigned = assignFreeSlices(recordBusyKeys(released, renewal));
  const { effects } = assigned;
  const answer = createAnswer(assigned.state, renewal);
  return {
    state: assigned.state,
    effects: [...effects, { kind: "answer", answer }],
  };
}

/**
 * Whether a server may be granted slices. One that a store write in progress
 * would remove from the roster gets none until the outcome is known.
 */
function mayHold(state: GrantorState, id: AgentId): boolean {
  if (!inRoster(state.roster, id)) return false;
  return state.unconfirmed === null ||
    inRoster(state.unconfirmed.roster, id);
}

function handleApplication(
  known: GrantorState,
  renewal: Renewal,
  now: Clocks,
): Transition<GrantorState, GrantorEffect> {
  // Its target holds nothing, also where it leaves and never joins.
  const state = renewal.emptied
    ? markFormerAgentsEmpty(known, renewal.id)
    : known;
  const applicant = { id: renewal.id, peerAddress: renewal.peerAddress };
  const waiting = inRoster(state.applicants, renewal.id);
  const next: GrantorState = waiting || renewal.leaving ? state : {
    ...state,
    applicants: [...state.applicants, applicant],
    applicantsSince: state.applicantsSince ?? now.monotonic,
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

/**
 * A table version is settled once every request that was admitted by an older
 * version must have ended.
 */
function advanceSettledVersion(
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
    ...smoothWeight(former, renewal),
    weightLimit: renewal.weightLimit,
    checksFencing: renewal.checksFencing,
    leaving: renewal.leaving,
    leaseHadExpired: renewal.lapsed !== undefined,
    leaseEndsAt: now.monotonic + state.settings.leaseMilliseconds,
    tableVersion: renewal.tableVersion,
    ...advanceSettledVersion(former, {
      renewal,
      now: now.monotonic,
      settings: state.settings,
    }),
  };
  const holders = new Map(state.holders).set(renewal.id, holder);
  const loads = smoothRates(state.loads, separateLoads(state, renewal));
  const joined = former === undefined;
  return incrementSequenceIf({ ...state, holders, loads }, joined);
}

function incrementSequenceIf(
  state: GrantorState,
  changed: boolean,
): GrantorState {
  return changed ? { ...state, sequence: state.sequence + 1 } : state;
}

/**
 * Gives a holder back its reserved slices that have not been reassigned. It is
 * the same process, and the reservation only waits for that process's own work.
 * With its first response since the takeover, it also gets the unreported
 * slices that it reports.
 */
function restoreReportedSlices(
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
function markFormerAgentsEmpty(state: GrantorState, id: AgentId): GrantorState {
  const former = formerAgents([...state.unresponsive], id);
  return [...former].reduce(markResponded, state);
}

function markResponded(state: GrantorState, id: AgentId): GrantorState {
  const unresponsive = new Set(state.unresponsive);
  unresponsive.delete(id);
  const next = { ...state, unresponsive };
  return hasAllReports(next) ? freeUnreportedSlices(next) : next;
}

/**
 * Drops a holder that has departed without waiting for its lease to end, so
 * that the next roster doesn't name it: no later grantor then waits for it.
 */
function dropDeparted(state: GrantorState, id: AgentId): GrantorState {
  const holder = state.holders.get(id);
  const owns = state.slices.some((slice) =>
    slice.kind !== "free" && slice.owner === id
  );
  if (holder === undefined || owns) return state;
  const holders = new Map(state.holders);
  holders.delete(id);
  return { ...state, holders, rosterChanged: true };
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
    return {
      kind: "free",
      handover: grant.handover,
      destination: slice.kind === "moving" ? slice.destination : undefined,
    };
  });
  return { ...state, slices, sequence: state.sequence + 1 };
}

function tick(
  state: GrantorState,
  { now, runningServers = 0 }: GrantorEvent & { readonly kind: "tick" },
): Transition<GrantorState, GrantorEffect> {
  if (delegationEnded(state, now)) return { state, effects: [] };
  const expired = expireLeases(state, now.monotonic);
  const moved = startMoves(
    startAssignment(expired.state, { now: now.monotonic, runningServers }),
    now.monotonic,
  );
  const assigned = assignFreeSlices(moved.state);
  const requested = requestCheckpoint(assigned.state, now);
  return {
    state: requested.state,
    effects: [
      ...expired.effects,
      ...moved.effects,
      ...assigned.effects,
      ...requested.effects,
    ],
  };
}

/**
 * Starts assigning free slices once the initial delay is over. Without it, the
 * first servers to join would get all slices and have to release most of them
 * again. Servers that are known to run are waited for as long again.
 */
function startAssignment(
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

function expireLeases(
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

function startMoves(
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

function addressesOf(
  state: GrantorState,
  ids: ReadonlySet<AgentId>,
): readonly Address[] {
  return [...ids].flatMap((id) => {
    const holder = state.holders.get(id);
    return holder === undefined ? [] : [holder.peerAddress];
  });
}

function assignFreeSlices(
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

function handleStoreConfirmation(
  state: GrantorState,
  askedAt: Clocks,
): Transition<GrantorState, GrantorEffect> {
  const checked = applyCheckpoint(state, askedAt);
  const joining = state.applicants.filter((entry) =>
    inRoster(checked.roster, entry.id)
  );
  const confirmed = joining.reduce(
    (next, entry) => inheritSlices(next, entry.id),
    checked,
  );
  const isolated = confirmed.isolatedKeys
    .filter((entry) => !state.isolatedKeys.includes(entry))
    .map(({ key, slice }): GrantorEffect => ({ kind: "isolated", key, slice }));
  const assigned = assignFreeSlices(confirmed);
  const peerAddresses = joining.map((entry) => entry.peerAddress);
  const nudge: GrantorEffect = { kind: "nudge", peerAddresses };
  return {
    state: assigned.state,
    effects: [...isolated, ...assigned.effects, nudge],
  };
}

function createAnswer(state: GrantorState, renewal: Renewal): RenewalAnswer {
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
