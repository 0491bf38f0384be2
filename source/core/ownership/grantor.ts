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
import type { AgentId } from "../agent.ts";
import { type Clocks, definitelyBefore } from "../clocks.ts";
import type { Transition } from "../step.ts";
import { inheritSlices } from "./agent_restart.ts";
import { assignFreeSlices, startAssignment, startMoves } from "./assignment.ts";
import { applyCheckpoint, requestCheckpoint } from "./checkpoint.ts";
import { inRoster } from "./delegation.ts";
import type {
  GrantorEffect,
  GrantorEvent,
  GrantorState,
  Slice,
} from "./grantor_state.ts";
import { tableOf } from "./grantor_table.ts";
import { withHolder } from "./holder_record.ts";
import { recordBusyKeys } from "./isolation.ts";
import type { Grant, Renewal, RenewalAnswer } from "./renewal.ts";
import {
  applyHandover,
  dropDeparted,
  expireLeases,
  markFormerAgentsEmpty,
  markResponded,
  restoreReportedSlices,
  shortenReservations,
} from "./slice_recovery.ts";
import { compareTokens } from "./token.ts";

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
