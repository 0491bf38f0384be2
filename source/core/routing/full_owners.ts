/**
 * The answer to owners that are sent far more than they run: half of all
 * requests go to an owner only to be refused, and its agent spends on them what
 * it needs for the others.
 *
 * Every entry compares, for each owner and rank, what it has sent there with
 * what was run. Once it sends more than a multiple of that, it refuses the rest
 * itself, at once: the owner still gets enough to keep all of its slots in use.
 *
 * @module
 */
import type { AgentId } from "../agent.ts";

/** What went to one owner lately; both counts fade with time. */
interface Exchange {
  readonly sent: number;
  readonly taken: number;
  /** On the monotonic clock, in milliseconds. */
  readonly countedAt: number;
  /** When the owner last said that it may be asked again. */
  readonly retryAfterMilliseconds: number | null;
}

/** What an entry knows of how full owners are. */
export type FullOwners = ReadonlyMap<string, Exchange>;

/** An owner, and the rank of the work that it is asked for. */
export interface OwnerRank {
  readonly owner: AgentId;
  readonly rank: number;
}

/** How one request to an owner ended. */
export interface OwnerReply extends OwnerRank {
  /** Whether it was refused for want of room. */
  readonly full: boolean;
  readonly retryAfterMilliseconds: number | null;
  readonly now: number;
}

/** Nothing is known. */
export const noFullOwners: FullOwners = new Map();

/** An owner is sent this multiple of what it runs. */
const sentForTaken = 2;
/** In this time the counts fade to a third. */
const fadeMilliseconds = 1_000;
/** What an owner that was never heard to be full is taken to have run lately. */
const takenBefore = 1;
/** Some go to every owner: only they show that it has room again. */
const mostRefusedShare = 0.8;
/** Owners and ranks that are remembered. */
const mostOwners = 1_024;

function nameOf({ owner, rank }: OwnerRank): string {
  return `${owner} ${rank}`;
}

function faded(exchange: Exchange, now: number): Exchange {
  const left = Math.exp(-(now - exchange.countedAt) / fadeMilliseconds);
  return {
    ...exchange,
    sent: exchange.sent * left,
    taken: exchange.taken * left,
    countedAt: now,
  };
}

/** Takes note of one reply. */
export function noteReply(owners: FullOwners, reply: OwnerReply): FullOwners {
  const { now, full, retryAfterMilliseconds } = reply;
  const name = nameOf(reply);
  const former = owners.get(name);
  // Most owners are never full, and need no record.
  if (former === undefined && !full) return owners;
  const known = former === undefined
    ? {
      sent: takenBefore,
      taken: takenBefore,
      countedAt: now,
      retryAfterMilliseconds,
    }
    : faded(former, now);
  const next = new Map(owners);
  next.delete(name);
  next.set(name, {
    sent: known.sent + 1,
    taken: known.taken + (full ? 0 : 1),
    countedAt: now,
    retryAfterMilliseconds: full
      ? retryAfterMilliseconds
      : known.retryAfterMilliseconds,
  });
  const [oldest] = next.keys();
  if (next.size > mostOwners && oldest !== undefined) next.delete(oldest);
  return next;
}

/** What an entry does with a request for an owner. */
export type OwnerDecision =
  | { readonly kind: "send" }
  | {
    readonly kind: "refuse";
    readonly retryAfterMilliseconds: number | null;
  };

const send: OwnerDecision = { kind: "send" };

/**
 * Whether a request goes to its owner. Refused requests count as sent, so that
 * the share that goes is steady. Counts vary by chance: one standard deviation
 * of an owner that takes every second request is left out of account.
 *
 * `random` returns a number from 0 up to but not including 1.
 */
export function decideSending(
  owners: FullOwners,
  asked: OwnerRank & { readonly now: number },
  random: () => number,
): { readonly owners: FullOwners; readonly decision: OwnerDecision } {
  const name = nameOf(asked);
  const known = owners.get(name);
  if (known === undefined) return { owners, decision: send };
  const exchange = faded(known, asked.now);
  const { sent, taken, retryAfterMilliseconds } = exchange;
  const chance = Math.sqrt(sent) / 2;
  const excess = sent - taken * sentForTaken - chance;
  const share = Math.min(excess / (sent + 1), mostRefusedShare);
  if (random() >= share) return { owners, decision: send };
  return {
    owners: new Map(owners).set(name, { ...exchange, sent: sent + 1 }),
    decision: { kind: "refuse", retryAfterMilliseconds },
  };
}
