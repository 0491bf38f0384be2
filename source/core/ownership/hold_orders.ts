/**
 * Which orders to hold keys a target is to be sent, and which of them may go
 * out now.
 *
 * Invariant: of two orders for one key, the second goes out only once the
 * first has been answered.
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

/** An order to hold that is to be sent. */
export interface HoldOrder {
  readonly range: KeyRangeWithSlices;
  readonly handover: string | null;
}

/** What the orders depend on. */
export interface HoldOrderInputs {
  readonly grants: readonly Grant[];
  readonly table: OwnershipTable;
  readonly holds: ReadonlyMap<number, TargetHold>;
  readonly keys: NumberedKeys;
  readonly now: number;
  /** A hold is renewed once less than this is left of it. */
  readonly renewBeforeMilliseconds: number;
}

/** The orders that bring a target to hold these grants, and no longer ones. */
export function ordersToHold(view: HoldOrderInputs): readonly HoldOrder[] {
  const { table, keys } = view;
  const grants = view.grants.map((grant) => withNewestToken(grant, view));
  const single = grants.filter((grant) => isHandedOver(grant, view));
  const joined = grants.filter((grant) => !isHandedOver(grant, view));
  return [
    ...single.flatMap((grant) =>
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

/** A token below one that the target was sent before would be refused. */
function withNewestToken(grant: Grant, { holds }: HoldOrderInputs): Grant {
  const sent = holds.get(grant.slice)?.token ?? grant.token;
  return compareTokens(sent, grant.token) > 0
    ? { ...grant, token: sent }
    : grant;
}

/** Slices that come with something handed over are granted by themselves. */
function isHandedOver(grant: Grant, view: HoldOrderInputs): boolean {
  return grant.handover !== undefined &&
    confirmedUntil(grant.slice, view) <= view.now;
}

/** A hold that lasts for long needs no renewal yet. */
function needsOrder(range: KeyRangeWithSlices, view: HoldOrderInputs): boolean {
  const renewedFrom = view.now + view.renewBeforeMilliseconds;
  return range.slices.some((slice) =>
    confirmedUntil(slice, view) < renewedFrom
  );
}

function confirmedUntil(slice: number, { holds }: HoldOrderInputs): number {
  return holds.get(slice)?.confirmedUntil ?? 0;
}

/** Orders parted by whether they may go out. */
export interface SplitOrders {
  readonly sendNow: readonly HoldOrder[];
  readonly sendLater: readonly HoldOrder[];
}

/** What an order under way covers waits for its answer. */
export function splitOrders(
  orders: readonly HoldOrder[],
  options: {
    readonly inFlight: readonly KeyRange[];
    /** Orders that may be without an answer at one time. */
    readonly maxInFlight: number;
  },
): SplitOrders {
  return orders.reduce<SplitOrders>(
    ({ sendNow: now, sendLater: later }, order) => {
      const open = [...options.inFlight, ...now.map(({ range }) => range)];
      const waits = open.length >= options.maxInFlight ||
        open.some((range) => overlap(range, order.range));
      return waits
        ? { sendNow: now, sendLater: [...later, order] }
        : { sendNow: [...now, order], sendLater: later };
    },
    { sendNow: [], sendLater: [] },
  );
}

/** The orders that still tell the target something after this one. */
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
