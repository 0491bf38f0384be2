/**
 * What an agent's target may still hold, as far as the agent can know. A target
 * that is ordered to hold keys holds them for the ordered time, and an order
 * that it has not answered may still take effect. Times are in milliseconds of
 * the agent's monotonic clock.
 *
 * @module
 */
import type { Clocks } from "../clocks.ts";
import type { IsolatedKey } from "./table.ts";
import { compareTokens, type FencingToken, noToken } from "./token.ts";

/** The state of the orders that were sent for one slice. */
export interface TargetHold {
  /** The newest token that the target was sent for the slice. */
  readonly token: FencingToken;
  /** The target has confirmed that it holds the whole slice until then. */
  readonly confirmedUntil: number;
  /** It may hold the slice until then because of answered orders. */
  readonly heldUntil: number;
  /**
   * Orders that may still take effect. An answer to one order says nothing of
   * the others.
   */
  readonly unanswered: readonly UnansweredOrder[];
}

/** An order to hold that may still take effect. */
interface UnansweredOrder {
  readonly sentAt: number;
  /** The target may hold the slice until then because of this order. */
  readonly mayHoldUntil: number;
}

/** Bounds on how targets carry out orders. */
export interface OrderTimes {
  /** Maximum time between sending an order and its taking effect. */
  readonly maxDelayMilliseconds: number;
  /** Maximum share by which the target's clock may run slow. */
  readonly maxClockSlowShare: number;
}

/**
 * How long a target may be told to hold keys under a lease, by the clock on
 * which the lease ends first: the monotonic clock stops while the host is
 * suspended.
 */
export function holdMillisecondsWithin(
  leaseEndsAt: Clocks,
  options: {
    readonly now: Clocks;
    readonly maxClockSlowShare: number;
    readonly maxHoldMilliseconds: number;
  },
): number {
  const { now } = options;
  const left = Math.min(
    leaseEndsAt.monotonic - now.monotonic,
    leaseEndsAt.wall - now.wall,
  ) / (1 + options.maxClockSlowShare);
  return Math.floor(Math.min(left, options.maxHoldMilliseconds));
}

/** The state of a slice for which no order has been sent. */
export function createHold(token: FencingToken): TargetHold {
  return { token, confirmedUntil: 0, heldUntil: 0, unanswered: [] };
}

/** Records that an order to hold is sent; it may take effect with a delay. */
export function recordOrderSent(
  hold: TargetHold,
  order: {
    readonly token: FencingToken;
    readonly sentAt: number;
    readonly holdMilliseconds: number;
  },
  times: OrderTimes,
): TargetHold {
  const length = order.holdMilliseconds * (1 + times.maxClockSlowShare);
  const mayHoldUntil = order.sentAt + times.maxDelayMilliseconds + length;
  return {
    ...hold,
    token: compareTokens(hold.token, order.token) > 0
      ? hold.token
      : order.token,
    unanswered: [
      ...hold.unanswered.filter((earlier) =>
        earlier.mayHoldUntil > order.sentAt
      ),
      { sentAt: order.sentAt, mayHoldUntil },
    ],
  };
}

/** Records that one order was answered; it took effect before the answer. */
export function recordOrderAnswered(
  hold: TargetHold,
  order: AnsweredOrder,
  times: OrderTimes,
): TargetHold {
  const answered = hold.unanswered.findIndex(({ sentAt }) =>
    sentAt === order.sentAt
  );
  return {
    ...hold,
    heldUntil: Math.max(hold.heldUntil, heldByAnswer(order, times)),
    unanswered: hold.unanswered.filter((_, index) => index !== answered),
  };
}

/** An order with its answer. */
export interface AnsweredOrder {
  readonly sentAt: number;
  readonly answeredAt: number;
  readonly holdMilliseconds: number;
}

function heldByAnswer(order: AnsweredOrder, times: OrderTimes): number {
  return order.answeredAt +
    order.holdMilliseconds * (1 + times.maxClockSlowShare);
}

/** Records that the orders for all parts of the slice were answered. */
export function recordHoldConfirmed(
  hold: TargetHold,
  order: AnsweredOrder,
  times: OrderTimes,
): TargetHold {
  return {
    ...hold,
    confirmedUntil: Math.max(
      hold.confirmedUntil,
      order.sentAt + order.holdMilliseconds,
    ),
    heldUntil: Math.max(hold.heldUntil, heldByAnswer(order, times)),
  };
}

/**
 * When a slice is definitely no longer held by a target that does not confirm
 * its release. A target that has ended carries out no delayed order.
 */
export function holdEndsBy(
  hold: TargetHold,
  options: { readonly targetLives: boolean },
): number {
  return options.targetLives
    ? Math.max(
      hold.heldUntil,
      ...hold.unanswered.map(({ mayHoldUntil }) => mayHoldUntil),
    )
    : hold.heldUntil;
}

/** The isolated keys before and after a change of the table. */
export interface IsolatedKeysChange {
  readonly former: readonly IsolatedKey[];
  readonly next: readonly IsolatedKey[];
}

/**
 * The holds by slice after the isolated keys have changed. The slice of a newly
 * isolated key starts with the hold of its base. A key that loses its slice
 * adds that slice's hold to its base's: it may be held under a token that is
 * newer than the base's.
 */
export function repartitionHolds(
  holds: ReadonlyMap<number, TargetHold>,
  { former, next }: IsolatedKeysChange,
): ReadonlyMap<number, TargetHold> {
  const repartitioned = new Map(holds);
  for (const { slice, base } of withoutEntries(former, next)) {
    const rejoining = repartitioned.get(slice) ?? createHold(noToken);
    const other = repartitioned.get(base) ?? createHold(noToken);
    repartitioned.delete(slice);
    repartitioned.set(base, joinHolds(other, rejoining));
  }
  for (const { slice, base } of withoutEntries(next, former)) {
    const hold = repartitioned.get(base);
    if (hold !== undefined) repartitioned.set(slice, hold);
  }
  return repartitioned;
}

function withoutEntries(
  entries: readonly IsolatedKey[],
  others: readonly IsolatedKey[],
): readonly IsolatedKey[] {
  return entries.filter((entry) =>
    !others.some((other) =>
      other.slice === entry.slice && other.key === entry.key
    )
  );
}

/** Merges holds: confirmed while both are, held while either may be. */
function joinHolds(left: TargetHold, right: TargetHold): TargetHold {
  return {
    token: compareTokens(left.token, right.token) > 0
      ? left.token
      : right.token,
    confirmedUntil: Math.min(left.confirmedUntil, right.confirmedUntil),
    heldUntil: Math.max(left.heldUntil, right.heldUntil),
    unanswered: [...left.unanswered, ...right.unanswered],
  };
}
