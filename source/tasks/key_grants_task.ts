/**
 * The task for a target that is ordered to hold keys: it grants the keys that
 * the holder's lease covers and takes back those that the holder releases.
 *
 * @module
 */
import { Result } from "true-myth";
import {
  type HoldOrder,
  ordersToHold,
  splitOrders,
  withoutCovered,
} from "../core/ownership/hold_orders.ts";
import {
  type KeyRange,
  type KeyRangeWithSlices,
  type NumberedKeys,
  rangesOfGrant,
} from "../core/ownership/key_ranges.ts";
import { type FirstGrants, renumber } from "../core/ownership/renumbering.ts";
import {
  type Grant,
  maxHandoverCharacters,
} from "../core/ownership/renewal.ts";
import type { IsolatedKey, OwnershipTable } from "../core/ownership/table.ts";
import {
  createHold,
  holdEndsBy,
  holdMillisecondsWithin,
  type OrderTimes,
  recordHoldConfirmed,
  recordOrderAnswered,
  recordOrderSent,
  repartitionHolds,
  type TargetHold,
} from "../core/ownership/target_hold.ts";
import {
  compareTokens,
  type FencingToken,
  newerToken,
  noToken,
} from "../core/ownership/token.ts";
import type { Events } from "../ports/events.ts";
import type { KeyServer, KeyServerFault } from "../ports/key_server.ts";
import type { HeldView, KeyGrantsTask } from "./key_grants.ts";
import { monotonicNow, pause, readClocks } from "./time.ts";

/** Settings of the task. */
export interface KeyGrantsTimes {
  readonly order: OrderTimes;
  readonly retryMilliseconds: number;
  /** A hold is renewed once less than this is left of it. */
  readonly renewBeforeMilliseconds: number;
  /** Longest time for which one order lets the target hold keys. */
  readonly maxHoldMilliseconds: number;
}

/** When an order was sent and for how long it lets the target hold. */
interface OrderSent {
  readonly sentAt: number;
  readonly holdMilliseconds: number;
}

/** An order that the target has not answered yet. */
interface PendingOrder {
  readonly range: KeyRangeWithSlices;
  /** The isolated keys at the time it was sent. */
  readonly division: readonly IsolatedKey[];
}

/** Maximum number of orders to hold that the target has not answered yet. */
const maxPendingOrders = 8;
/** A hold shorter than this is not worth an order. */
const minHoldMilliseconds = 50;

/** Starts the task with nothing held. */
export function startKeyGrants(options: {
  readonly keyServer: KeyServer;
  readonly keys: NumberedKeys;
  readonly times: KeyGrantsTimes;
  readonly events: Events;
  /** Whether the target's process is known to run. */
  readonly targetLives: () => boolean;
  /** Called when the target has seen a newer token for this slice. */
  readonly onSuperseded: (slice: number) => void;
}): KeyGrantsTask {
  const { keyServer, keys, times, events } = options;
  let holds: ReadonlyMap<number, TargetHold> = new Map();
  let view: HeldView | null = null;
  let viewNumber = 0;
  /** The keys that have slices of their own in the latest table. */
  let isolatedKeys: readonly IsolatedKey[] = [];
  /** Orders that the current view still requires to be sent. */
  let queuedOrders: readonly HoldOrder[] = [];
  /** Orders that the target has not answered yet, with the keys they cover. */
  const pendingOrders = new Map<Promise<unknown>, PendingOrder>();
  /** For slices of several ranges, the earliest answered order. */
  const answeredParts = new Map<number, OrderSent>();
  let firstGrants: FirstGrants = new Map();
  /** Releases of all keys under way; orders to hold wait for them. */
  let emptyings = 0;
  let retryTimer: ReturnType<typeof setTimeout> | null = null;

  function holdOf(grant: Grant): TargetHold {
    const known = holds.get(grant.slice);
    if (known === undefined) return createHold(grant.token);
    const renewed = compareTokens(known.token, grant.token) < 0;
    return renewed ? { ...known, token: grant.token } : known;
  }

  function updateHolds(
    slices: readonly number[],
    step: (hold: TargetHold) => TargetHold,
  ): void {
    const next = new Map(holds);
    for (const slice of slices) {
      next.set(slice, step(holds.get(slice) ?? createHold(noToken)));
    }
    holds = next;
  }

  /** How often the token's grants have been numbered anew; null if too often. */
  function numberOf(
    token: FencingToken,
    openedConnections: number,
  ): number | null {
    const numbered = renumber(firstGrants, token, openedConnections);
    firstGrants = numbered.firstGrants;
    return numbered.renumberings;
  }

  /** Sends one order for one range; fails if the target did not confirm it. */
  async function order(
    { range, handover }: HoldOrder,
    { sentAt, holdMilliseconds }: OrderSent,
  ): Promise<Result<null, KeyServerFault>> {
    const { token, slices } = range;
    if (numberOf(token, keyServer.openedConnections()) === null) {
      events.record("target-grant-failed", {
        keys: `${range.first}-${range.last}`,
        reason: "no-further-number",
      });
      return Result.err({ kind: "superseded" });
    }
    updateHolds(
      slices,
      (hold) =>
        recordOrderSent(hold, { token, sentAt, holdMilliseconds }, times.order),
    );
    const result = await keyServer.grant(range, {
      holdMilliseconds,
      handover,
      renumberings: (openedConnections) => numberOf(token, openedConnections),
    });
    if (result.isErr) {
      events.record("target-grant-failed", {
        keys: `${range.first}-${range.last}`,
        ...describeFault(result.error),
      });
    }
    return result;
  }

  /** Applies the table's isolated keys to the holds, if they have changed. */
  function adoptDivision(table: OwnershipTable): void {
    const next = table.isolatedKeys;
    if (sameKeys(next, isolatedKeys)) return;
    holds = repartitionHolds(holds, { former: isolatedKeys, next });
    answeredParts.clear();
    isolatedKeys = next;
  }

  /** Replaces the view and the queued orders of the earlier view. */
  function updateView(next: HeldView): void {
    adoptDivision(next.table);
    view = next;
    viewNumber += 1;
    queuedOrders = ordersToHold({
      ...next,
      holds,
      keys,
      now: monotonicNow(),
      renewBeforeMilliseconds: times.renewBeforeMilliseconds,
    });
    sendQueued();
  }

  /** Sends queued orders, except those for keys that a pending order covers. */
  function sendQueued(): void {
    if (view === null || emptyings > 0) return;
    const holdMilliseconds = holdMillisecondsWithin(view.leaseEndsAt, {
      now: readClocks(),
      maxClockSlowShare: times.order.maxClockSlowShare,
      maxHoldMilliseconds: times.maxHoldMilliseconds,
    });
    if (holdMilliseconds < minHoldMilliseconds) return;
    const { sendNow: now, sendLater: later } = splitOrders(queuedOrders, {
      inFlight: [...pendingOrders.values()].map(({ range }) => range),
      maxInFlight: maxPendingOrders,
    });
    queuedOrders = later;
    for (const entry of now) send(entry, holdMilliseconds);
  }

  function send(entry: HoldOrder, holdMilliseconds: number): void {
    const number = viewNumber;
    const division = isolatedKeys;
    const times = { sentAt: monotonicNow(), holdMilliseconds };
    const sent = order(entry, times).then((result) => {
      pendingOrders.delete(sent);
      if (result.isErr) {
        return handleFault(entry, { fault: result.error, number });
      }
      queuedOrders = withoutCovered(queuedOrders, entry.range);
      if (division === isolatedKeys) {
        recordAnswer(entry.range.slices, times);
        entry.range.slices.forEach((slice) => confirmIfComplete(slice, times));
      } else scheduleRetry();
      sendQueued();
    });
    pendingOrders.set(sent, { range: entry.range, division });
  }

  function recordAnswer(slices: readonly number[], sent: OrderSent): void {
    const answered = { ...sent, answeredAt: monotonicNow() };
    updateHolds(
      slices,
      (hold) => recordOrderAnswered(hold, answered, times.order),
    );
  }

  /** A slice that keys were isolated from is held once all its ranges are. */
  function confirmIfComplete(
    slice: number,
    part: OrderSent,
  ): void {
    const answeredAt = monotonicNow();
    const first = answeredParts.get(slice) ?? part;
    const earliest = first.sentAt < part.sentAt ? first : part;
    const open = [...queuedOrders, ...pendingOrders.values()];
    if (open.some(({ range }) => range.slices.includes(slice))) {
      answeredParts.set(slice, earliest);
      return;
    }
    answeredParts.delete(slice);
    updateHolds(
      [slice],
      (hold) =>
        recordHoldConfirmed(hold, { ...earliest, answeredAt }, times.order),
    );
  }

  function handleFault(
    { range }: HoldOrder,
    failed: { readonly fault: KeyServerFault; readonly number: number },
  ): void {
    // If the range has changed since, another of its slices may be the reason.
    const superseded = failed.fault.kind === "superseded";
    if (superseded && failed.number === viewNumber) {
      range.slices.forEach(options.onSuperseded);
    } else if (failed.fault.kind !== "gone") {
      scheduleRetry();
    }
    sendQueued();
  }

  function scheduleRetry(): void {
    if (retryTimer !== null) return;
    retryTimer = setTimeout(() => {
      retryTimer = null;
      if (view !== null) updateView(view);
    }, times.retryMilliseconds);
  }

  /**
   * Repeats orders until the target confirms or definitely no longer holds the
   * slice.
   */
  async function surrender(
    grant: Grant,
    table: OwnershipTable,
  ): Promise<{ readonly handover: string | undefined }> {
    if (view !== null) view = { ...view, table };
    adoptDivision(table);
    dropFromView(grant.slice);
    // A grant that arrived after the release would give the slice back.
    await Promise.allSettled(pendingOrdersFor(grant.slice));
    const { token } = holdOf(grant);
    const ranges = rangesOfGrant({ slice: grant.slice, token }, {
      table,
      keys,
    });
    let handover: string | undefined;
    for (const range of ranges) {
      const result = await releaseRange(range, () => [holdOf(grant)]);
      handover ??= transferableHandover(result, range);
    }
    const next = new Map(holds);
    next.delete(grant.slice);
    holds = next;
    return { handover };
  }

  /** No renewal may carry a longer one; without it the keys start cold. */
  function transferableHandover(
    handover: string | null,
    range: KeyRange,
  ): string | undefined {
    if (handover === null) return undefined;
    if (handover.length <= maxHandoverCharacters) return handover;
    events.record("target-handover-dropped", {
      keys: `${range.first}-${range.last}`,
      characters: handover.length,
    });
    return undefined;
  }

  function pendingOrdersFor(slice: number): readonly Promise<unknown>[] {
    return [...pendingOrders]
      .filter(([, { range, division }]) =>
        range.slices.includes(slice) || division !== isolatedKeys
      )
      .map(([order]) => order);
  }

  /** Makes sure that no further order to hold covers the slice. */
  function dropFromView(slice: number): void {
    if (view === null) return;
    const grants = view.grants.filter((grant) => grant.slice !== slice);
    if (grants.length === view.grants.length) return;
    updateView({ ...view, grants });
  }

  /** Orders the release until it is confirmed or these holds have ended. */
  async function releaseRange(
    range: KeyRange,
    holdsOfRange: () => readonly TargetHold[],
  ): Promise<string | null> {
    for (;;) {
      const result = await keyServer.release(range);
      if (result.isOk) return result.value;
      events.record("target-release-failed", {
        keys: `${range.first}-${range.last}`,
        ...describeFault(result.error),
      });
      if (result.error.kind === "gone") return null;
      const targetLives = options.targetLives();
      const mayHold = holdsOfRange().some((hold) =>
        monotonicNow() < holdEndsBy(hold, { targetLives })
      );
      if (!mayHold) return null;
      await pause(times.retryMilliseconds);
    }
  }

  /** Sends no order to hold before the target has been emptied. */
  async function whileEmptying<Value>(
    empty: () => Promise<Value>,
  ): Promise<Value> {
    emptyings += 1;
    const value = await empty();
    emptyings -= 1;
    sendQueued();
    return value;
  }

  function allKeys(token: FencingToken): KeyRange {
    return { first: 0, last: keys.count - 1, token };
  }

  async function emptyTarget(epoch: number): Promise<boolean> {
    const range = allKeys({ epoch, sequence: 0 });
    const result = await whileEmptying(() => keyServer.release(range));
    // A target whose process has ended holds nothing.
    return result.isOk || result.error.kind === "gone";
  }

  /**
   * Orders go to an address. The process that listens there now may have taken
   * some that were meant for the former one, or may still be that one.
   */
  async function replaceTarget(): Promise<void> {
    if (view !== null) updateView({ ...view, grants: [] });
    answeredParts.clear();
    await whileEmptying(async () => {
      await Promise.allSettled(pendingOrders.keys());
      const allHolds = () => [...holds.values()];
      if (holds.size === 0) return;
      await releaseRange(allKeys(newestToken(allHolds())), allHolds);
      holds = new Map();
    });
  }

  return {
    hold: updateView,
    emptyTarget,
    surrender,
    isConfirmed: (slice) =>
      (holds.get(slice)?.confirmedUntil ?? 0) > monotonicNow(),
    isServedUntilReleased: () => false,
    replaceTarget,
  };
}

function newestToken(holds: readonly TargetHold[]): FencingToken {
  return holds.map(({ token }) => token).reduce(newerToken, noToken);
}

function sameKeys(
  left: readonly IsolatedKey[],
  right: readonly IsolatedKey[],
): boolean {
  return left.length === right.length && left.every((entry, index) => {
    const other = right[index];
    return other?.key === entry.key && other.slice === entry.slice;
  });
}

function describeFault(fault: KeyServerFault) {
  return fault.kind === "unanswered"
    ? { reason: fault.kind, detail: fault.detail }
    : { reason: fault.kind };
}
