/**
 * The holder: a server's own record of the slices that it may serve.
 *
 * Invariants:
 * - a lease counts from when its renewal was requested, ends early by a margin,
 *   and has ended as soon as either the monotonic or the wall clock says so;
 * - once an epoch is accepted, nothing of an older epoch is accepted again;
 * - a slice is reported as released only when no admitted request runs on it.
 *
 * @module
 */
import type { AgentId } from "../agent.ts";
import {
  addMilliseconds,
  type Clocks,
  clocksAtZero,
  definitelyBefore,
  latest,
} from "../clocks.ts";
import type { Grant, RenewalAnswer } from "./renewal.ts";
import { emptyTable, newerTable, type OwnershipTable } from "./table.ts";
import { compareTokens, type FencingToken } from "./token.ts";

/** A slice that a holder has been granted and has not released. */
export interface HeldSlice {
  readonly token: FencingToken;
  /** Being released: running requests finish, and no new ones are admitted. */
  readonly releasing: boolean;
  /** Opaque text that the former holder's target handed over. */
  readonly handover: string | undefined;
  /** Set once the target has given the slice up, with its own handover text. */
  readonly surrendered: { readonly handover: string | undefined } | null;
}

/** The state of one holder. */
export interface HolderState {
  readonly id: AgentId;
  readonly group: string;
  readonly marginMilliseconds: number;
  /** Whether the target must give a slice up before it is released. */
  readonly targetSurrenders: boolean;
  readonly epoch: number;
  readonly leaseEndsAt: Clocks;
  readonly slices: ReadonlyMap<number, HeldSlice>;
  /**
   * Number of unfinished requests, for each slice that has any. Kept apart from
   * `slices` because every request changes it, and so that a slice that was
   * lost and granted again still waits for its former requests when released.
   */
  readonly running: ReadonlyMap<number, number>;
  /** Released grants that the grantor has not acknowledged yet. */
  readonly released: readonly Grant[];
  readonly table: OwnershipTable;
}

/** Why a holder may not serve a key. */
export type HoldRefusal = "not-owner" | "moving" | "lease-ended";

/** Whether a holder may serve a slice. */
export type HoldDecision =
  | { readonly kind: "owned"; readonly token: FencingToken }
  | { readonly kind: "refused"; readonly reason: HoldRefusal };

/** An input of a holder. */
export type HolderEvent =
  | {
    readonly kind: "answered";
    readonly askedAt: Clocks;
    readonly answer: RenewalAnswer;
    /** Released grants that the answered renewal reported. */
    readonly reported: readonly Grant[];
  }
  /** The holder accepts a new grantor's epoch. */
  | { readonly kind: "epochTaken"; readonly epoch: number }
  | { readonly kind: "admitted"; readonly slice: number }
  | { readonly kind: "finished"; readonly slice: number }
  | {
    /** The target has given up a slice that it held under this token. */
    readonly kind: "surrendered";
    readonly slice: number;
    readonly token: FencingToken;
    readonly handover: string | undefined;
  }
  /** The target no longer holds these slices, and hands nothing over. */
  | { readonly kind: "lost"; readonly slices: readonly number[] }
  /** These slices are to be released without a request of the grantor. */
  | { readonly kind: "release"; readonly slices: readonly number[] }
  | { readonly kind: "releaseAll" };

/** The first state of a holder, without slices or a lease. */
export function createHolder(options: {
  readonly id: AgentId;
  readonly group: string;
  readonly marginMilliseconds: number;
  readonly targetSurrenders?: boolean;
}): HolderState {
  return {
    ...options,
    targetSurrenders: options.targetSurrenders ?? false,
    epoch: 0,
    leaseEndsAt: clocksAtZero,
    slices: new Map(),
    running: new Map(),
    released: [],
    table: emptyTable(options.group),
  };
}

/** Applies one event to a holder's state. */
export function stepHolder(
  state: HolderState,
  event: HolderEvent,
): HolderState {
  switch (event.kind) {
    case "answered":
      return applyAnswer(state, event);
    case "epochTaken":
      return event.epoch > state.epoch
        ? { ...state, epoch: event.epoch }
        : state;
    case "admitted":
      return countRunning(state, event.slice, 1);
    case "finished":
      return finishRequest(state, event.slice);
    case "surrendered":
      return completeReleases(recordSurrender(state, event));
    case "lost":
      return completeReleases(markLost(state, event.slices));
    case "release":
      return completeReleases(markReleasing(state, event.slices));
    case "releaseAll":
      return completeReleases(markReleasing(state, [...state.slices.keys()]));
  }
}

/** Whether the lease is unexpired on both clocks. */
export function isLeaseValid(state: HolderState, now: Clocks): boolean {
  return definitelyBefore(now, state.leaseEndsAt);
}

/** Whether this server may admit a request for a slice now. */
export function decideHold(
  state: HolderState,
  slice: number,
  now: Clocks,
  options: {
    /** Whether the target accepts work on it although it is being released. */
    readonly servedUntilReleased: boolean;
  } = { servedUntilReleased: false },
): HoldDecision {
  const held = state.slices.get(slice);
  if (held === undefined) return { kind: "refused", reason: "not-owner" };
  if (held.releasing && !options.servedUntilReleased) {
    return { kind: "refused", reason: "moving" };
  }
  if (!isLeaseValid(state, now)) {
    return { kind: "refused", reason: "lease-ended" };
  }
  return { kind: "owned", token: held.token };
}

/** The grants that a holder reports: all that it has not yet released. */
export interface ReportedGrants {
  /** Grants that it may serve, or on which its requests still run. */
  readonly held: readonly Grant[];
  /**
   * Grants that it had when its lease ended; left out for none. The slices may
   * have been assigned to other servers since, which the grantor decides.
   */
  readonly lapsed?: readonly Grant[];
}

/**
 * The grants that a holder reports now. Under an ended lease it holds only
 * those on which requests still run. A target that is sent orders to hold keys
 * runs none by then.
 */
export function reportGrants(state: HolderState, now: Clocks): ReportedGrants {
  const valid = isLeaseValid(state, now);
  const held: Grant[] = [];
  const lapsed: Grant[] = [];
  for (const [slice, { token }] of state.slices) {
    const isRunning = state.running.has(slice) && !state.targetSurrenders;
    (valid || isRunning ? held : lapsed).push({ slice, token });
  }
  return lapsed.length === 0 ? { held } : { held, lapsed };
}

/** The grants that a holder may serve, or on which its requests still run. */
export function heldGrants(
  state: HolderState,
  now: Clocks,
): readonly Grant[] {
  return reportGrants(state, now).held;
}

function applyAnswer(
  state: HolderState,
  event: HolderEvent & { readonly kind: "answered" },
): HolderState {
  const { answer } = event;
  if (answer.epoch < state.epoch) return state;
  const leaseEndsAt = leaseEnd(state, event);
  const adopted: HolderState = {
    ...state,
    epoch: answer.epoch,
    leaseEndsAt,
    slices: adoptGrants(state, answer),
    released: withoutReported(state.released, event.reported),
    table: newerTable(state.table, answer.table),
  };
  return completeReleases(markReleasing(adopted, answer.release));
}

/** Answers may arrive out of order: an older one never shortens the lease. */
function leaseEnd(
  state: HolderState,
  event: HolderEvent & { readonly kind: "answered" },
): Clocks {
  const length = event.answer.leaseMilliseconds - state.marginMilliseconds;
  if (length <= 0) return state.leaseEndsAt;
  return latest(state.leaseEndsAt, addMilliseconds(event.askedAt, length));
}

function adoptGrants(
  state: HolderState,
  answer: RenewalAnswer,
): ReadonlyMap<number, HeldSlice> {
  const slices = new Map<number, HeldSlice>();
  for (const grant of answer.grants) {
    if (alreadyReleased(state, grant)) continue;
    const former = state.slices.get(grant.slice);
    if (former !== undefined && isBeingSurrendered(state, former, grant)) {
      slices.set(grant.slice, former);
      continue;
    }
    slices.set(grant.slice, {
      token: newerToken(former?.token, grant.token),
      releasing: false,
      handover: grant.handover,
      surrendered: null,
    });
  }
  return slices;
}

function markLost(
  state: HolderState,
  lost: readonly number[],
): HolderState {
  const slices = new Map(state.slices);
  for (const slice of lost) {
    const held = slices.get(slice);
    if (held === undefined) continue;
    const surrendered = { handover: undefined };
    slices.set(slice, { ...held, releasing: true, surrendered });
  }
  return { ...state, slices };
}

function recordSurrender(
  state: HolderState,
  event: HolderEvent & { readonly kind: "surrendered" },
): HolderState {
  const held = state.slices.get(event.slice);
  if (held === undefined || !held.releasing) return state;
  if (compareTokens(held.token, event.token) !== 0) return state;
  const surrendered = { handover: event.handover };
  const slices = new Map(state.slices);
  slices.set(event.slice, { ...held, surrendered });
  return { ...state, slices };
}

/**
 * Whether the target has been ordered to give a slice up. The order is not
 * revoked by a repeated grant of the slice.
 */
function isBeingSurrendered(
  state: HolderState,
  former: HeldSlice,
  grant: Grant,
): boolean {
  return state.targetSurrenders && former.releasing &&
    compareTokens(former.token, grant.token) >= 0;
}

/**
 * Whether a grant has been released already. An answer that the grantor wrote
 * before it received the release must not restore the grant.
 */
function alreadyReleased(state: HolderState, grant: Grant): boolean {
  return state.released.some((released) =>
    released.slice === grant.slice &&
    compareTokens(released.token, grant.token) >= 0
  );
}

function newerToken(
  former: FencingToken | undefined,
  offered: FencingToken,
): FencingToken {
  if (former === undefined) return offered;
  return compareTokens(former, offered) > 0 ? former : offered;
}

function withoutReported(
  released: readonly Grant[],
  reported: readonly Grant[],
): readonly Grant[] {
  return released.filter((grant) =>
    !reported.some((other) =>
      other.slice === grant.slice &&
      compareTokens(other.token, grant.token) === 0
    )
  );
}

function markReleasing(
  state: HolderState,
  releasing: readonly number[],
): HolderState {
  if (releasing.length === 0) return state;
  const slices = new Map(state.slices);
  for (const slice of releasing) {
    const held = slices.get(slice);
    if (held !== undefined) slices.set(slice, { ...held, releasing: true });
  }
  return { ...state, slices };
}

function completeReleases(state: HolderState): HolderState {
  const done = [...state.slices].filter(([slice, held]) =>
    held.releasing && !state.running.has(slice) &&
    (held.surrendered !== null || !state.targetSurrenders)
  );
  if (done.length === 0) return state;
  const slices = new Map(state.slices);
  for (const [slice] of done) slices.delete(slice);
  const released = done.map(([slice, held]): Grant => {
    const handover = held.surrendered?.handover;
    return handover === undefined
      ? { slice, token: held.token }
      : { slice, token: held.token, handover };
  });
  return { ...state, slices, released: [...state.released, ...released] };
}

function countRunning(
  state: HolderState,
  slice: number,
  change: 1 | -1,
): HolderState {
  const running = new Map(state.running);
  const count = (running.get(slice) ?? 0) + change;
  if (count > 0) running.set(slice, count);
  else running.delete(slice);
  return { ...state, running };
}

function finishRequest(state: HolderState, slice: number): HolderState {
  const counted = countRunning(state, slice, -1);
  const waits = state.slices.get(slice)?.releasing === true;
  return waits ? completeReleases(counted) : counted;
}
