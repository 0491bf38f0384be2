/**
 * The holder: what a server may serve, judged by itself.
 *
 * Invariants:
 * - a lease counts from when its renewal was asked, ends early by a margin,
 *   and ends when either the monotonic or the wall clock says so;
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

/** A slice in a holder's hands. */
export interface HeldSlice {
  readonly token: FencingToken;
  /** No new work is admitted; running work is finished. */
  readonly releasing: boolean;
  /** What the former holder handed over with this grant. */
  readonly handover: string | undefined;
  /** The target has given the slice up, with this for the next holder. */
  readonly surrendered: { readonly handover: string | undefined } | null;
}

/** The state of one holder. */
export interface HolderState {
  readonly id: AgentId;
  readonly group: string;
  readonly marginMilliseconds: number;
  /** Whether the target has to give a slice up before it is released. */
  readonly targetSurrenders: boolean;
  readonly epoch: number;
  readonly leaseEndsAt: Clocks;
  readonly slices: ReadonlyMap<number, HeldSlice>;
  /**
   * Requests admitted and not finished, of each slice that has any: changed by
   * every request, and so kept apart from the slices. A slice that was lost and
   * came back waits for its former work too.
   */
  readonly running: ReadonlyMap<number, number>;
  /** Released, and not yet known to the grantor. */
  readonly released: readonly Grant[];
  readonly table: OwnershipTable;
}

/** Why a holder may not serve a key just now. */
export type HoldRefusal = "not-owner" | "moving" | "lease-ended";

/** What a holder says of one slice. */
export type HoldDecision =
  | { readonly kind: "owned"; readonly token: FencingToken }
  | { readonly kind: "refused"; readonly reason: HoldRefusal };

/** What happens to a holder. */
export type HolderEvent =
  | {
    readonly kind: "answered";
    readonly askedAt: Clocks;
    readonly answer: RenewalAnswer;
    /** Releases that the answered renewal had carried. */
    readonly reported: readonly Grant[];
  }
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
  /** The target holds these slices no more, and hands nothing over. */
  | { readonly kind: "lost"; readonly slices: readonly number[] }
  /** These slices are to be given up, though nobody asked for them. */
  | { readonly kind: "release"; readonly slices: readonly number[] }
  | { readonly kind: "releaseAll" };

/** A holder with nothing in its hands. */
export function beginHolder(options: {
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

/** Applies one event to a holder. */
export function stepHolder(
  state: HolderState,
  event: HolderEvent,
): HolderState {
  switch (event.kind) {
    case "answered":
      return answered(state, event);
    case "epochTaken":
      return event.epoch > state.epoch
        ? { ...state, epoch: event.epoch }
        : state;
    case "admitted":
      return countRunning(state, event.slice, 1);
    case "finished":
      return finish(state, event.slice);
    case "surrendered":
      return settleReleases(noteSurrender(state, event));
    case "lost":
      return settleReleases(loseSlices(state, event.slices));
    case "release":
      return settleReleases(markReleasing(state, event.slices));
    case "releaseAll":
      return settleReleases(markReleasing(state, [...state.slices.keys()]));
  }
}

/** Whether the lease still holds by both clocks. */
export function leaseHolds(state: HolderState, now: Clocks): boolean {
  return definitelyBefore(now, state.leaseEndsAt);
}

/** Whether this server may admit work on a slice now. */
export function decideHold(
  state: HolderState,
  slice: number,
  now: Clocks,
): HoldDecision {
  const held = state.slices.get(slice);
  if (held === undefined) return { kind: "refused", reason: "not-owner" };
  if (held.releasing) return { kind: "refused", reason: "moving" };
  if (!leaseHolds(state, now)) {
    return { kind: "refused", reason: "lease-ended" };
  }
  return { kind: "owned", token: held.token };
}

/** The grants that a holder reports: all that it has not released. */
export interface ReportedGrants {
  /** Those that it serves, or on which its work still runs. */
  readonly held: readonly Grant[];
  /**
   * Those that it had when its lease ended; left out for none. They may have
   * been given to others since, which the grantor has to judge.
   */
  readonly lapsed?: readonly Grant[];
}

/**
 * What a holder says of its grants now. Under an ended lease it holds only
 * those on which work still runs; a target that is told what it holds runs
 * none by then.
 */
export function reportGrants(state: HolderState, now: Clocks): ReportedGrants {
  const all = leaseHolds(state, now);
  const held: Grant[] = [];
  const lapsed: Grant[] = [];
  for (const [slice, { token }] of state.slices) {
    const works = state.running.has(slice) && !state.targetSurrenders;
    (all || works ? held : lapsed).push({ slice, token });
  }
  return lapsed.length === 0 ? { held } : { held, lapsed };
}

/** The grants that a holder still serves, or on which its work runs. */
export function heldGrants(
  state: HolderState,
  now: Clocks,
): readonly Grant[] {
  return reportGrants(state, now).held;
}

function answered(
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
  return settleReleases(markReleasing(adopted, answer.release));
}

/** Answers may arrive crossed: an earlier one never shortens the lease. */
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
    if (former !== undefined && beingSurrendered(state, former, grant)) {
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

function loseSlices(
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

function noteSurrender(
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

/** A target that was told to give a slice up is not told otherwise. */
function beingSurrendered(
  state: HolderState,
  former: HeldSlice,
  grant: Grant,
): boolean {
  return state.targetSurrenders && former.releasing &&
    compareTokens(former.token, grant.token) >= 0;
}

/** An answer written before the release arrived must not bring it back. */
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

function settleReleases(state: HolderState): HolderState {
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

function finish(state: HolderState, slice: number): HolderState {
  const counted = countRunning(state, slice, -1);
  const waits = state.slices.get(slice)?.releasing === true;
  return waits ? settleReleases(counted) : counted;
}
