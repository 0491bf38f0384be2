/**
 * What the requests that are refused for lack of capacity are told, and what
 * the log says of them.
 *
 * @module
 */
import type { FailureReason } from "../request/outcome.ts";
import {
  type Client,
  type ClientShares,
  type FairShares,
  noUse,
  sharesOf,
} from "./fair_shares.ts";
import {
  type BookReturn,
  freeSlots,
  type ReturnCapacity,
  type ReturnSchedule,
} from "./return_schedule.ts";

/** Why a request was refused for lack of capacity, for the log. */
export interface Shortage extends ClientShares {
  /**
   * In how long there is capacity for it; null if not known. Beyond the time
   * to the retry, the caller can't wait for it.
   */
  readonly capacityAfterMilliseconds: number | null;
  /** The slots that more valuable ranks leave to its rank. */
  readonly freeSlots: number;
  /** Whether fair shares decided. */
  readonly fairShares: boolean;
}

/** The refusal of a request. */
export interface RefuseEffect {
  readonly kind: "refuse";
  readonly id: number;
  readonly reason: FailureReason;
  /** When a retry may be admitted, in milliseconds; null if not known. */
  readonly retryAfterMilliseconds: number | null;
  /** What it competed for; left out if capacity was not the reason. */
  readonly shortage?: Shortage;
}

/** A request that is refused as it arrives or while it waits. */
export interface RefusedRequest {
  readonly rank: number;
  /** Expected time in the target. */
  readonly milliseconds: number;
  readonly client: Client;
  /** Left out if its objective doesn't end before its deadline. */
  readonly objectiveAt?: number;
  readonly deadlineAt: number;
}

/** Tells each caller that is refused for lack of capacity when to return. */
export function bookRefusals<Effect extends { readonly kind: string }>(
  effects: readonly (Effect | RefuseEffect)[],
  options: {
    readonly returns: ReturnSchedule;
    readonly capacity: ReturnCapacity;
    /** The recent use of each rank by clients. */
    readonly use: readonly FairShares[];
    readonly requestOf: (id: number) => RefusedRequest | null;
    readonly hasFairShares: (rank: number) => boolean;
    readonly book: BookReturn;
    readonly now: number;
  },
): {
  readonly effects: readonly (Effect | RefuseEffect)[];
  readonly refused: readonly RefusedRequest[];
  readonly returns: ReturnSchedule;
} {
  const { capacity, now, use } = options;
  let { returns } = options;
  const refused: RefusedRequest[] = [];
  const booked = effects.map((effect) => {
    if (!isRefusal(effect) || !lacksCapacity(effect)) return effect;
    const request = options.requestOf(effect.id);
    if (request === null) return effect;
    refused.push(request);
    const { rank, client } = request;
    const waitMilliseconds = effect.retryAfterMilliseconds;
    const next = options.book(
      returns,
      { ...request, waitMilliseconds, now },
      capacity,
    );
    returns = next.schedule;
    const { retryAfterMilliseconds, capacityAfterMilliseconds } = next.booked;
    const shortage = {
      ...sharesOf(use[rank] ?? noUse, client, now),
      capacityAfterMilliseconds,
      freeSlots: freeSlots(returns, rank, capacity),
      fairShares: options.hasFairShares(rank),
    };
    return { ...effect, retryAfterMilliseconds, shortage };
  });
  return { effects: booked, refused, returns };
}

function isRefusal(
  effect: { readonly kind: string },
): effect is RefuseEffect {
  return effect.kind === "refuse";
}

function lacksCapacity(
  { reason, retryAfterMilliseconds }: RefuseEffect,
): boolean {
  return reason === "queue-full" ||
    (reason === "deadline-too-near" && retryAfterMilliseconds !== null);
}
