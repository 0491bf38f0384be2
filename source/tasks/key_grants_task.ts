/**
 * The task that tells the target beside this agent which keys it holds: it
 * grants what the holder's lease covers, and takes back what the holder
 * releases.
 *
 * @module
 */
import type { Result } from "true-myth";
import type { Clocks } from "../core/clocks.ts";
import {
  type CoveringRange,
  type KeyRange,
  type NumberedKeys,
  rangesOfGrant,
  rangesOfGrants,
} from "../core/ownership/key_ranges.ts";
import type { Grant } from "../core/ownership/renewal.ts";
import type { OwnershipTable } from "../core/ownership/table.ts";
import {
  beginHold,
  holdConfirmed,
  holdSent,
  holdSurelyEnds,
  type OrderTimes,
  type TargetHold,
} from "../core/ownership/target_hold.ts";
import { compareTokens, noToken } from "../core/ownership/token.ts";
import type { Events } from "../ports/events.ts";
import type { KeyServer, KeyServerFault } from "../ports/key_server.ts";
import { monotonicNow, pause, readClocks } from "./time.ts";

/** What the holder may hold just now. */
export interface HeldView {
  readonly grants: readonly Grant[];
  readonly table: OwnershipTable;
  readonly leaseEndsAt: Clocks;
}

/** A running task. */
export interface KeyGrantsTask {
  /** Grants these slices, and no others, until the lease ends. */
  hold(view: HeldView): void;
  /** Takes a slice back; brings what the next holder is to be given. */
  surrender(
    grant: Grant,
    table: OwnershipTable,
  ): Promise<{ readonly handover: string | undefined }>;
  /** Whether the target has confirmed that it holds the slice still. */
  confirmed(slice: number): boolean;
  /** A new process has taken the target's place: it holds nothing. */
  forget(): void;
}

/** Settings of the task. */
export interface KeyGrantsTimes {
  readonly order: OrderTimes;
  readonly retryMilliseconds: number;
  /** A hold is renewed once less than this is left of it. */
  readonly renewBeforeMilliseconds: number;
  /** A target that is told to hold keys does so no longer than this. */
  readonly longestHoldMilliseconds: number;
}

/** A hold shorter than this is not worth an order. */
const shortestHoldMilliseconds = 50;

/** Starts with nothing held. */
export function startKeyGrants(options: {
  readonly keyServer: KeyServer;
  readonly keys: NumberedKeys;
  readonly times: KeyGrantsTimes;
  readonly events: Events;
  /** Whether the target's process is known to run. */
  readonly targetLives: () => boolean;
  /** The target refuses the token of this slice for good. */
  readonly onSuperseded: (slice: number) => void;
}): KeyGrantsTask {
  const { keyServer, keys, times, events } = options;
  let holds: ReadonlyMap<number, TargetHold> = new Map();
  let view: HeldView | null = null;
  let round = 0;
  /** Orders that the target has not answered yet. */
  const inFlight = new Set<Promise<unknown>>();

  function holdOf(grant: Grant): TargetHold {
    const known = holds.get(grant.slice);
    if (known === undefined) return beginHold(grant.token);
    const renewed = compareTokens(known.token, grant.token) < 0;
    return renewed ? { ...known, token: grant.token } : known;
  }

  function change(
    slices: readonly number[],
    step: (hold: TargetHold) => TargetHold,
  ): void {
    const next = new Map(holds);
    for (const slice of slices) {
      next.set(slice, step(holds.get(slice) ?? beginHold(noToken)));
    }
    holds = next;
  }

  /** One order for one range; brings whether the target confirmed it. */
  async function order(
    range: CoveringRange,
    context: {
      readonly view: HeldView;
      readonly handover: string | null;
    },
  ): Promise<Result<null, KeyServerFault> | null> {
    const sentAt = monotonicNow();
    const holdMilliseconds = holdLength(context.view, readClocks());
    if (holdMilliseconds < shortestHoldMilliseconds) return null;
    const { token, slices } = range;
    change(
      slices,
      (hold) =>
        holdSent(hold, { token, sentAt, holdMilliseconds }, times.order),
    );
    const result = await track(keyServer.grant(range, {
      holdMilliseconds,
      handover: context.handover,
    }));
    if (result.isErr) {
      events.record("target-grant-failed", {
        keys: `${range.first}-${range.last}`,
        ...describeFault(result.error),
      });
      return result;
    }
    const answeredAt = monotonicNow();
    change(slices, (hold) =>
      holdConfirmed(
        hold,
        { sentAt, answeredAt, holdMilliseconds },
        times.order,
      ));
    return result;
  }

  async function track<Answer>(order: Promise<Answer>): Promise<Answer> {
    inFlight.add(order);
    try {
      return await order;
    } finally {
      inFlight.delete(order);
    }
  }

  /** One clock stands still while the host is suspended: the nearer end counts. */
  function holdLength({ leaseEndsAt }: HeldView, now: Clocks): number {
    const left = Math.min(
      leaseEndsAt.monotonic - now.monotonic,
      leaseEndsAt.wall - now.wall,
    ) / (1 + times.order.clockSlowShare);
    return Math.floor(Math.min(left, times.longestHoldMilliseconds));
  }

  /** Slices that come with something handed over are granted by themselves. */
  function isHandedOver(grant: Grant): boolean {
    if (grant.handover === undefined) return false;
    return (holds.get(grant.slice)?.confirmedUntil ?? 0) <= monotonicNow();
  }

  /** A hold that lasts for long needs no renewal yet. */
  function needsOrder(range: CoveringRange): boolean {
    const renewedFrom = monotonicNow() + times.renewBeforeMilliseconds;
    return range.slices.some((slice) =>
      (holds.get(slice)?.confirmedUntil ?? 0) < renewedFrom
    );
  }

  function ordersFor(view: HeldView): readonly {
    readonly range: CoveringRange;
    readonly handover: string | null;
  }[] {
    const { table } = view;
    // A token below one that the target was sent before would be refused.
    const grants = view.grants.map((grant) => ({
      ...grant,
      token: holdOf(grant).token,
    }));
    const single = grants.filter(isHandedOver);
    const joined = grants.filter((grant) => !isHandedOver(grant));
    return [
      ...single.flatMap((grant) =>
        rangesOfGrant(grant, { table, keys }).map((range) => ({
          range,
          handover: grant.handover ?? null,
        }))
      ),
      ...rangesOfGrants(joined, { table, keys })
        .filter(needsOrder)
        .map((range) => ({ range, handover: null })),
    ];
  }

  async function runRound(view: HeldView, number: number): Promise<void> {
    let left = ordersFor(view);
    while (left.length > 0 && number === round) {
      const results = await Promise.all(left.map(async (entry) => ({
        entry,
        result: await order(entry.range, { view, handover: entry.handover }),
      })));
      if (number !== round) return;
      for (const { entry, result } of results) {
        if (result?.isErr && result.error.kind === "superseded") {
          entry.range.slices.forEach(options.onSuperseded);
        }
      }
      left = results
        .filter(({ result }) =>
          result?.isErr === true && result.error.kind === "unanswered"
        )
        .map(({ entry }) => entry);
      if (left.length > 0) await pause(times.retryMilliseconds);
    }
  }

  /** Until the target confirms, or surely holds the slice no longer. */
  async function surrender(
    grant: Grant,
    table: OwnershipTable,
  ): Promise<{ readonly handover: string | undefined }> {
    dropFromView(grant.slice);
    // A grant that is overtaken by its release would bring the slice back.
    await Promise.allSettled([...inFlight]);
    const { token } = holdOf(grant);
    const ranges = rangesOfGrant({ slice: grant.slice, token }, {
      table,
      keys,
    });
    let handover: string | undefined;
    for (const range of ranges) {
      const result = await releaseRange(range, grant);
      handover ??= result ?? undefined;
    }
    const next = new Map(holds);
    next.delete(grant.slice);
    holds = next;
    return { handover };
  }

  /** No order that covers the slice is sent again. */
  function dropFromView(slice: number): void {
    if (view === null) return;
    const grants = view.grants.filter((grant) => grant.slice !== slice);
    if (grants.length === view.grants.length) return;
    view = { ...view, grants };
    round += 1;
  }

  async function releaseRange(
    range: KeyRange,
    grant: Grant,
  ): Promise<string | null> {
    for (;;) {
      const result = await keyServer.release(range);
      if (result.isOk) return result.value;
      events.record("target-release-failed", {
        slice: grant.slice,
        ...describeFault(result.error),
      });
      if (result.error.kind === "gone") return null;
      const hold = holdOf(grant);
      const targetLives = options.targetLives();
      if (monotonicNow() >= holdSurelyEnds(hold, { targetLives })) return null;
      await pause(times.retryMilliseconds);
    }
  }

  return {
    hold(next) {
      view = next;
      round += 1;
      void runRound(view, round);
    },
    surrender,
    confirmed: (slice) =>
      (holds.get(slice)?.confirmedUntil ?? 0) > monotonicNow(),
    forget() {
      round += 1;
      holds = new Map();
    },
  };
}

function describeFault(fault: KeyServerFault) {
  return fault.kind === "unanswered"
    ? { reason: fault.kind, detail: fault.detail }
    : { reason: fault.kind };
}
