/**
 * What the target beside an agent may still hold, as far as the agent can
 * know: a target that is told to hold keys holds them until the told time is
 * over, and an order that it did not answer may take effect late.
 *
 * @module
 */
import type { IsolatedKey } from "./table.ts";
import { compareTokens, type FencingToken, noToken } from "./token.ts";

/** The last orders that were sent for one slice. */
export interface TargetHold {
  /** The newest token that the target was sent for the slice. */
  readonly token: FencingToken;
  /** The target has confirmed that it holds the slice until then. */
  readonly confirmedUntil: number;
  /** It may hold the slice until then by the orders that it has answered. */
  readonly heldUntil: number;
  /** The others may still take effect: the answer to one tells of no other. */
  readonly unanswered: readonly UnansweredOrder[];
}

/** An order to hold that may still take effect. */
interface UnansweredOrder {
  readonly sentAt: number;
  /** The target may hold the slice until then by this order. */
  readonly mayHoldUntil: number;
}

/** How targets carry orders out, in milliseconds. */
export interface OrderTimes {
  /** The longest between sending an order and its effect. */
  readonly longestDelayMilliseconds: number;
  /** The share by which the target's clock may run slow. */
  readonly clockSlowShare: number;
}

/** Nothing was ever sent for the slice under this token. */
export function createHold(token: FencingToken): TargetHold {
  return { token, confirmedUntil: 0, heldUntil: 0, unanswered: [] };
}

/** An order to hold goes out; until it is answered it may come late. */
export function recordOrderSent(
  hold: TargetHold,
  order: {
    readonly token: FencingToken;
    readonly sentAt: number;
    readonly holdMilliseconds: number;
  },
  times: OrderTimes,
): TargetHold {
  const length = order.holdMilliseconds * (1 + times.clockSlowShare);
  const lateUntil = order.sentAt + times.longestDelayMilliseconds + length;
  return {
    ...hold,
    token: compareTokens(hold.token, order.token) > 0
      ? hold.token
      : order.token,
    unanswered: [
      ...hold.unanswered.filter((earlier) =>
        earlier.mayHoldUntil > order.sentAt
      ),
      { sentAt: order.sentAt, mayHoldUntil: lateUntil },
    ],
  };
}

/** The target has answered one order: it took effect before the answer. */
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
  return order.answeredAt + order.holdMilliseconds * (1 + times.clockSlowShare);
}

/** The target has answered the orders for all parts of the slice. */
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
 * When a slice that the target does not confirm to have given up is surely no
 * longer held. A target that is gone takes no late order any more.
 */
export function holdDefinitelyEndsAt(
  hold: TargetHold,
  options: { readonly targetLives: boolean },
): number {
  return options.targetLives
    ? Math.max(
      hold.heldUntil,
      ...hold.unanswered.map(({ mayHoldUntil: lateUntil }) => lateUntil),
    )
    : hold.heldUntil;
}

/** Isolated keys before and after a change of the table. */
export interface IsolatedKeysChange {
  readonly former: readonly IsolatedKey[];
  readonly next: readonly IsolatedKey[];
}

/**
 * The holds once the keys are divided anew. A key that gets a slice of its own
 * is held as the slice was that it comes from; one that loses its slice is
 * held there as before, under a number that may be above that of its new one.
 */
export function repartitionHolds(
  holds: ReadonlyMap<number, TargetHold>,
  { former, next }: IsolatedKeysChange,
): ReadonlyMap<number, TargetHold> {
  const redivided = new Map(holds);
  for (const { slice, base } of withoutEntries(former, next)) {
    const rejoining = redivided.get(slice) ?? createHold(noToken);
    const other = redivided.get(base) ?? createHold(noToken);
    redivided.delete(slice);
    redivided.set(base, joinHolds(other, rejoining));
  }
  for (const { slice, base } of withoutEntries(next, former)) {
    const hold = redivided.get(base);
    if (hold !== undefined) redivided.set(slice, hold);
  }
  return redivided;
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

/** Confirmed as far as both are; held as long as either may be. */
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
