/**
 * Load shedding at entries for overloaded owners: those that are sent far more
 * requests than they run. Without it, half of all requests went to an owner
 * only to be refused, and its agent spent on them what it needed for the
 * others.
 *
 * For each owner and rank, an entry compares the requests that it has sent with
 * those that were accepted. Above a multiple of that, it refuses the rest
 * itself, at once. The owner still gets enough to keep all of its slots in use.
 *
 * The callers that an entry refuses itself are told what the owner has told the
 * last one, as long as they can return by then and be in time. The others return
 * one after the other, behind the last one that the owner has given a time. The
 * owner does not know of them, so they are as far apart as those of this entry
 * that it refuses.
 *
 * @module
 */
import {
  longestWait,
  minRetryMilliseconds,
} from "../admission/return_schedule.ts";
import type { AgentId } from "../agent.ts";

/** Recent requests to one owner; both counts decay with time. */
interface RecentSends {
  readonly sent: number;
  readonly accepted: number;
  /** On the monotonic clock, in milliseconds. */
  readonly countedAt: number;
  /** When the last refused caller returns; null if the owner has not said. */
  readonly returnsAt: number | null;
  /** The time that the owner last gave a refused caller. */
  readonly ownerReturnsAt: number | null;
  /** The delay that the owner last told a refused caller. */
  readonly ownerDelayMilliseconds: number | null;
  /** Mean time between the returns of two callers that the owner refused. */
  readonly returnGapMilliseconds: number;
}

/** The owners that have refused requests for lack of capacity lately. */
export type OverloadedOwners = ReadonlyMap<string, RecentSends>;

/** An owner, and the rank of a request for it. */
export interface OwnerRank {
  readonly owner: AgentId;
  readonly rank: number;
}

/** How one request to an owner ended. */
export interface OwnerReply extends OwnerRank {
  /** Whether it was refused because the queue was full. */
  readonly full: boolean;
  readonly retryAfterMilliseconds: number | null;
  /** The deadline of the request; not known when left out. */
  readonly deadlineAt?: number;
  readonly now: number;
}

/** Before any refusal. */
export const noOverloadedOwners: OverloadedOwners = new Map();

/** An owner is sent at most this multiple of what it accepts. */
const maxSentPerAccepted = 2;
/** In this time the counts decay to about a third. */
const decayMilliseconds = 1_000;
/** What an owner is assumed to have accepted before its first refusal. */
const initialAccepted = 1;
/**
 * The rest is always sent: only that shows that an owner has capacity again.
 */
const maxRefusedShare = 0.8;
/** Above this number of owners and ranks the oldest record is dropped. */
const maxOwners = 1_024;
/** The part of a newly observed gap between returns in their mean. */
const gapSmoothingFactor = 0.2;
/**
 * A longer gap shows a pause between refusals or the wait for the first return,
 * not the distance of two returns.
 */
const maxGapMilliseconds = 250;
/** Returns that lie this far back say nothing about the next ones. */
const gapRetentionMilliseconds = 5_000;
/**
 * How much sooner than by the entry's own calculation a caller may have to
 * return at the latest: hops take some time off its deadline.
 */
const longestWaitToleranceMilliseconds = 5;

function keyOf({ owner, rank }: OwnerRank): string {
  return `${owner} ${rank}`;
}

function decayed(recent: RecentSends, now: number): RecentSends {
  const factor = Math.exp(-(now - recent.countedAt) / decayMilliseconds);
  return {
    ...recent,
    sent: recent.sent * factor,
    accepted: recent.accepted * factor,
    countedAt: now,
  };
}

/** Records one reply. */
export function recordReply(
  owners: OverloadedOwners,
  reply: OwnerReply,
): OverloadedOwners {
  const { now, full, retryAfterMilliseconds } = reply;
  const name = keyOf(reply);
  const former = owners.get(name);
  // Most owners are never overloaded, and need no record.
  if (former === undefined && !full) return owners;
  const current = former === undefined
    ? {
      sent: initialAccepted,
      accepted: initialAccepted,
      countedAt: now,
      returnsAt: null,
      ownerReturnsAt: null,
      ownerDelayMilliseconds: null,
      returnGapMilliseconds: minRetryMilliseconds,
    }
    : decayed(former, now);
  const next = new Map(owners);
  next.delete(name);
  next.set(name, {
    sent: current.sent + 1,
    accepted: current.accepted + (full ? 0 : 1),
    countedAt: now,
    ownerDelayMilliseconds: full
      ? retryAfterMilliseconds
      : current.ownerDelayMilliseconds,
    ...(full && retryAfterMilliseconds !== null
      ? returnsAfterRefusal(current, { ...reply, retryAfterMilliseconds })
      : returnsOf(current)),
  });
  const [oldest] = next.keys();
  if (next.size > maxOwners && oldest !== undefined) next.delete(oldest);
  return next;
}

type Returns = Pick<
  RecentSends,
  "returnsAt" | "ownerReturnsAt" | "returnGapMilliseconds"
>;

function returnsOf(
  { returnsAt, ownerReturnsAt, returnGapMilliseconds }: RecentSends,
): Returns {
  return { returnsAt, ownerReturnsAt, returnGapMilliseconds };
}

function returnsAfterRefusal(
  recent: Returns,
  reply: {
    readonly retryAfterMilliseconds: number;
    readonly deadlineAt?: number;
    readonly now: number;
  },
): Returns {
  const { retryAfterMilliseconds, deadlineAt = Infinity, now } = reply;
  const toldAt = now + retryAfterMilliseconds;
  const { ownerReturnsAt, returnGapMilliseconds } = withoutOldGap(recent, now);
  const returnsAt = Math.max(recent.returnsAt ?? toldAt, toldAt);
  // The longest wait of a caller isn't a time that the owner has booked.
  const longest = longestWait({ deadlineAt, now }) -
    longestWaitToleranceMilliseconds;
  if (retryAfterMilliseconds >= longest) {
    return { returnsAt, ownerReturnsAt, returnGapMilliseconds };
  }
  if (ownerReturnsAt === null) {
    return { returnsAt, ownerReturnsAt: toldAt, returnGapMilliseconds };
  }
  // Nobody was due to return between the owner's last return and now.
  const sinceLast = toldAt - Math.max(ownerReturnsAt, now);
  const gap = Math.min(maxGapMilliseconds, Math.max(0, sinceLast));
  return {
    returnsAt,
    ownerReturnsAt: toldAt,
    returnGapMilliseconds: returnGapMilliseconds +
      (gap - returnGapMilliseconds) * gapSmoothingFactor,
  };
}

/** Forgets a gap that was observed long ago. */
function withoutOldGap(recent: Returns, now: number): Returns {
  const { ownerReturnsAt } = recent;
  const isOld = ownerReturnsAt !== null &&
    now - ownerReturnsAt > gapRetentionMilliseconds;
  if (!isOld) return recent;
  return {
    ...recent,
    ownerReturnsAt: null,
    returnGapMilliseconds: minRetryMilliseconds,
  };
}

/** What a caller is told, and when the last one returns after it. */
interface NextReturn {
  readonly returnsAt: number | null;
  readonly retryAfterMilliseconds: number | null;
  readonly returnsEarly: boolean;
}

/**
 * Gives a caller the delay that the owner told the last one, if it can be in
 * time then; null otherwise. In the order of return it would be late.
 */
function timelyReturn(
  { returnsAt, ownerDelayMilliseconds }: RecentSends,
  asked: {
    readonly now: number;
    readonly objectiveAt: number | null;
    readonly deadlineAt: number;
  },
): NextReturn | null {
  const retryAfterMilliseconds = ownerDelayMilliseconds ?? Infinity;
  const { now, objectiveAt } = asked;
  const canBeTimely = objectiveAt !== null &&
    now + retryAfterMilliseconds < objectiveAt &&
    retryAfterMilliseconds <= longestWait(asked);
  return canBeTimely
    ? { returnsAt, retryAfterMilliseconds, returnsEarly: false }
    : null;
}

/**
 * Gives a caller that the entry refuses the next time to return. One that can't
 * wait for it returns as late as it can, and takes no time from the others.
 */
function nextReturn(
  { returnsAt, returnGapMilliseconds }: Returns,
  asked: { readonly now: number; readonly deadlineAt: number },
): NextReturn {
  if (returnsAt === null) {
    return { returnsAt, retryAfterMilliseconds: null, returnsEarly: false };
  }
  const { now } = asked;
  const gap = Math.max(minRetryMilliseconds, returnGapMilliseconds);
  const at = Math.max(now, returnsAt) + gap;
  const longest = longestWait(asked);
  const returnsEarly = at - now > longest;
  return returnsEarly
    ? { returnsAt, retryAfterMilliseconds: longest, returnsEarly }
    : { returnsAt: at, retryAfterMilliseconds: at - now, returnsEarly };
}

/** Whether an entry sends a request to an owner or refuses it. */
export type OwnerDecision =
  | { readonly kind: "send" }
  | {
    readonly kind: "refuse";
    readonly retryAfterMilliseconds: number | null;
    /** Whether its caller returns before the owner is expected to have room. */
    readonly returnsEarly: boolean;
  };

const send: OwnerDecision = { kind: "send" };

/**
 * Decides whether to send a request to its owner. Requests that are refused
 * here count as sent, so that the share that is sent stays constant. The counts
 * vary by chance, so one standard deviation is allowed for, as of an owner that
 * accepts every second request.
 *
 * `random` returns a number from 0 up to but not including 1.
 */
export function decideSending(
  owners: OverloadedOwners,
  asked: OwnerRank & {
    readonly now: number;
    /** The end of its objective; without one, it can't be in time. */
    readonly objectiveAt?: number | null;
    /** How long its caller waits at most; no bound when left out. */
    readonly deadlineAt?: number;
  },
  random: () => number,
): { readonly owners: OverloadedOwners; readonly decision: OwnerDecision } {
  const name = keyOf(asked);
  const known = owners.get(name);
  if (known === undefined) return { owners, decision: send };
  const recent = decayed(known, asked.now);
  const { sent, accepted } = recent;
  const deviation = Math.sqrt(sent) / 2;
  const excess = sent - accepted * maxSentPerAccepted - deviation;
  const share = Math.min(excess / (sent + 1), maxRefusedShare);
  if (random() >= share) return { owners, decision: send };
  const { now, objectiveAt = null, deadlineAt = Infinity } = asked;
  const { returnsAt, ...told } =
    timelyReturn(recent, { now, objectiveAt, deadlineAt }) ??
      nextReturn(recent, { now, deadlineAt });
  return {
    owners: new Map(owners).set(name, { ...recent, sent: sent + 1, returnsAt }),
    decision: { kind: "refuse", ...told },
  };
}
