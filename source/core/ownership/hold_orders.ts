/**
 * Decides which orders to hold keys a target is to be sent, and which of them
 * may be sent now.
 *
 * Invariant: of two orders for one key, the second is sent only once the first
 * has been answered.
 *
 * @module
 */
import {
  type KeyRange,
  type KeyRangeWithSlices,
  type NumberedKeys,
  rangesOfGrant,
  rangesOfGrants,
} from "./key_ranges.ts";
import type { Grant } from "./renewal.ts";
import type { OwnershipTable } from "./table.ts";
import type { TargetHold } from "./target_hold.ts";
import { compareTokens } from "./token.ts";

/** An order to hold keys that is to be sent to a target. */
export interface HoldOrder {
  readonly range: KeyRangeWithSlices;
  /** What the keys' former target handed over; null for nothing. */
  readonly handover: string | null;
}

/** What the orders depend on; times are in milliseconds. */
export interface HoldOrderInputs {
  readonly grants: readonly Grant[];
  readonly table: OwnershipTable;
  /** What the target may hold, by slice. */
  readonly holds: ReadonlyMap<number, TargetHold>;
  readonly keys: NumberedKeys;
  readonly now: number;
  /** A hold is renewed once less than this time is left of it. */
  readonly renewBeforeMilliseconds: number;
}

/**
 * The orders that make a target hold the keys of the grants. Ranges that it has
 * confirmed to hold for long enough need none.
 */
export function ordersToHold(view: HoldOrderInputs): readonly HoldOrder[] {
  const { table, keys } = view;
  const grants = view.grants.map((grant) => withNewestToken(grant, view));
  const handedOver = grants.filter((grant) => isHandedOver(grant, view));
  const joined = grants.filter((grant) => !isHandedOver(grant, view));
  return [
    ...handedOver.flatMap((grant) =>
      rangesOfGrant(grant, { table, keys }).map((range) => ({
        range,
        handover: grant.handover ?? null,
      }))
    ),
    ...rangesOfGrants(joined, { table, keys })
      .filter((range) => needsOrder(range, view))
      .map((range) => ({ range, handover: null })),
  ];
}

/** The target would refuse a token older than one that it was sent before. */
function withNewestToken(grant: Grant, { holds }: HoldOrderInputs): Grant {
  const sent = holds.get(grant.slice)?.token ?? grant.token;
  return compareTokens(sent, grant.token) > 0
    ? { ...grant, token: sent }
    : grant;
}

/** Whether a slice needs an order of its own, to carry its handover. */
function isHandedOver(grant: Grant, view: HoldOrderInputs): boolean {
  return grant.handover !== undefined &&
    confirmedUntil(grant.slice, view) <= view.now;
}

/** Whether a slice of the range is not confirmed for long enough. */
function needsOrder(range: KeyRangeWithSlices, view: HoldOrderInputs): boolean {
  const renewedFrom = view.now + view.renewBeforeMilliseconds;
  return range.slices.some((slice) =>
    confirmedUntil(slice, view) < renewedFrom
  );
}

function confirmedUntil(slice: number, { holds }: HoldOrderInputs): number {
  return holds.get(slice)?.confirmedUntil ?? 0;
}

/** Orders split by whether they may be sent now. */
export interface SplitOrders {
  readonly sendNow: readonly HoldOrder[];
  readonly sendLater: readonly HoldOrder[];
}

/**
 * Splits orders by whether they may be sent now. An order waits while one that
 * is in flight overlaps it, or while too many are in flight.
 */
export function splitOrders(
  orders: readonly HoldOrder[],
  options: {
    readonly inFlight: readonly KeyRange[];
    /** Maximum number of orders that may be unanswered at the same time. */
    readonly maxInFlight: number;
  },
): SplitOrders {
  return orders.reduce<SplitOrders>(
    ({ sendNow, sendLater }, order) => {
      const open = [...options.inFlight, ...sendNow.map(({ range }) => range)];
      const waits = open.length >= options.maxInFlight ||
        open.some((range) => overlap(range, order.range));
      return waits
        ? { sendNow, sendLater: [...sendLater, order] }
        : { sendNow: [...sendNow, order], sendLater };
    },
    { sendNow: [], sendLater: [] },
  );
}

/** The orders that are still needed after an order for this range succeeded. */
export function withoutCovered(
  orders: readonly HoldOrder[],
  answered: KeyRange,
): readonly HoldOrder[] {
  return orders.filter(({ range }) => !covers(answered, range));
}

function covers(range: KeyRange, other: KeyRange): boolean {
  return range.first <= other.first && range.last >= other.last;
}

function overlap(range: KeyRange, other: KeyRange): boolean {
  return range.first <= other.last && range.last >= other.first;
}
