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
 * @module
 */
import type { AgentId } from "../agent.ts";

/** Recent requests to one owner; both counts decay with time. */
interface RecentSends {
  readonly sent: number;
  readonly accepted: number;
  /** On the monotonic clock, in milliseconds. */
  readonly countedAt: number;
  /** The retry delay that the owner last returned with a refusal. */
  readonly retryAfterMilliseconds: number | null;
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
      retryAfterMilliseconds,
    }
    : decayed(former, now);
  const next = new Map(owners);
  next.delete(name);
  next.set(name, {
    sent: current.sent + 1,
    accepted: current.accepted + (full ? 0 : 1),
    countedAt: now,
    retryAfterMilliseconds: full
      ? retryAfterMilliseconds
      : current.retryAfterMilliseconds,
  });
  const [oldest] = next.keys();
  if (next.size > maxOwners && oldest !== undefined) next.delete(oldest);
  return next;
}

/** Whether an entry sends a request to an owner or refuses it. */
export type OwnerDecision =
  | { readonly kind: "send" }
  | {
    readonly kind: "refuse";
    readonly retryAfterMilliseconds: number | null;
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
  asked: OwnerRank & { readonly now: number },
  random: () => number,
): { readonly owners: OverloadedOwners; readonly decision: OwnerDecision } {
  const name = keyOf(asked);
  const known = owners.get(name);
  if (known === undefined) return { owners, decision: send };
  const recent = decayed(known, asked.now);
  const { sent, accepted, retryAfterMilliseconds } = recent;
  const deviation = Math.sqrt(sent) / 2;
  const excess = sent - accepted * maxSentPerAccepted - deviation;
  const share = Math.min(excess / (sent + 1), maxRefusedShare);
  if (random() >= share) return { owners, decision: send };
  return {
    owners: new Map(owners).set(name, { ...recent, sent: sent + 1 }),
    decision: { kind: "refuse", retryAfterMilliseconds },
  };
}
