/**
 * Whether the clients of a rank compete, and which waiting requests then start
 * before an arriving one.
 *
 * Clients begin to compete when one that asks for less than its share, or clearly
 * got less, is refused or waits past its objective, while another asks for
 * clearly more than its share of what the others leave. They compete until this
 * has not been so for some seconds. Even clients don't compete, also when they
 * ask for too much together: fair shares would only choose which of them is late.
 *
 * @module
 */
import {
  type Client,
  type Competitor,
  type FairShares,
  hasCompetition,
  noUse,
  recordUse,
  usesByAccount,
  usesByEntry,
  workAhead,
} from "./fair_shares.ts";
import {
  competesWith,
  isFullyUtilized,
  type QueuedRequest,
  startsBefore,
} from "./objective_first.ts";

/** What the clients of a rank ask for, and whether they compete for it. */
export interface Competition {
  /** The work that they have asked for lately, whether refused or not. */
  readonly asked: FairShares;
  readonly isCompeting: boolean;
  /** When it was last decided whether they compete. */
  readonly decidedAt: number;
  /** When they were last seen to. */
  readonly seenAt: number;
}

/** What the clients of a rank have got lately. */
export interface RankUse {
  readonly use: FairShares;
  /** What a typical request of the rank takes, as time in a slot. */
  readonly typicalMilliseconds: number;
  readonly now: number;
}

/** Before any request. */
export const noCompetition: Competition = {
  asked: noUse,
  isCompeting: false,
  decidedAt: 0,
  seenAt: 0,
};

/** A client that asks for more than this multiple of its share floods a rank. */
const floodFactor = 1.5;
/** How far uses have to be from equal ones, as a factor, to be uneven. */
const unevenFactor = 1.25;
/** Deviations from a use by chance that are allowed for. */
const usedDeviations = 2;
/** How often it is decided whether clients still compete. */
const decisionMilliseconds = 250;
/** Clients compete for so long after it was last seen, as returns fade first. */
const retentionMilliseconds = 5_000;

/** Records the work of an arriving request. */
export function recordAsked(
  competition: Competition,
  client: Client,
  asked: { readonly milliseconds: number; readonly now: number },
): Competition {
  return { ...competition, asked: recordUse(competition.asked, client, asked) };
}

/**
 * Decides whether clients compete, when one of them was refused or late. It has
 * asked for less than its share or, as its callers return, got clearly less, and
 * another one floods the rank.
 */
export function afterShortage(
  competition: Competition,
  client: Client,
  view: RankUse,
): Competition {
  if (competition.isCompeting) return competition;
  const { account, entry } = client;
  const isCompeting = comparisons(competition.asked, view, client).some(
    ({ level, ...compared }) => {
      const name = level === "accounts" ? account : entry;
      const asked = compared.asked.get(name) ?? 0;
      return isFlooded(compared, [asked], asksLess) ||
        gotTooLittle(compared, name);
    },
  );
  const { now } = view;
  return isCompeting
    ? { ...competition, isCompeting, decidedAt: now, seenAt: now }
    : competition;
}

/**
 * Decides from time to time whether clients still compete: one floods the rank,
 * and another asks for less than its share. What they get is fair by then.
 */
export function afterArrival(
  competition: Competition,
  view: RankUse,
): Competition {
  const { asked, isCompeting, decidedAt } = competition;
  const { now } = view;
  if (!isCompeting || now - decidedAt < decisionMilliseconds) {
    return competition;
  }
  const isSeen = comparisons(asked, view).some((compared) =>
    isFlooded(compared, [...compared.asked.values()], asksHardlyMore)
  );
  const seenAt = isSeen ? now : competition.seenAt;
  return {
    asked,
    isCompeting: now - seenAt < retentionMilliseconds,
    decidedAt: now,
    seenAt,
  };
}

/** What the accounts of a rank, or the entries of one account, ask for and get. */
interface Compared {
  readonly asked: ReadonlyMap<string, number>;
  readonly used: ReadonlyMap<string, number>;
  /** What each may use if those that ask for less get all of it. */
  readonly share: number;
  /** By how much an amount may differ by chance, as requests arrive at random. */
  readonly deviation: (amount: number) => number;
}

/**
 * The accounts with each other, and the entries of each account that asks for
 * more than its share; only those of one account if a client is given.
 */
function comparisons(
  asked: FairShares,
  { use, typicalMilliseconds, now }: RankUse,
  client: Client | null = null,
): readonly (Compared & { readonly level: "accounts" | "entries" })[] {
  const deviation = (amount: number) => Math.sqrt(amount * typicalMilliseconds);
  const compare = (
    asked: ReadonlyMap<string, number>,
    used: ReadonlyMap<string, number>,
  ) => ({ asked, used, share: equalShare(asked, sumOf(used)), deviation });
  const accounts = compare(usesByAccount(asked, now), usesByAccount(use, now));
  const large = [...accounts.asked].filter(([account, amount]) =>
    amount > accounts.share && (client === null || client.account === account)
  );
  return [
    { level: "accounts", ...accounts },
    ...large.map(([account]) => ({
      level: "entries" as const,
      ...compare(
        usesByEntry(asked, account, now),
        usesByEntry(use, account, now),
      ),
    })),
  ];
}

/** Whether one floods while one of these amounts is modest. */
function isFlooded(
  compared: Compared,
  amounts: readonly number[],
  isModest: (amount: number, compared: Compared) => boolean,
): boolean {
  return floodingOf(compared).length > 0 &&
    amounts.some((amount) => isModest(amount, compared));
}

/** Whether an amount is below the share; hardly a request tells nothing. */
function asksLess(
  amount: number,
  { share, deviation }: Pick<Compared, "share" | "deviation">,
): boolean {
  return deviation(amount) <= amount && amount + deviation(amount) <= share;
}

/** The same for clients that compete already, whose callers still return. */
function asksHardlyMore(
  amount: number,
  { share, deviation }: Compared,
): boolean {
  return asksLess(amount, { share: share * unevenFactor, deviation });
}

/** Whether `name` got clearly less than its share, and one that floods more. */
function gotTooLittle(compared: Compared, name: string): boolean {
  const { used, share, deviation } = compared;
  const chance = (amount: number) => deviation(amount) * usedDeviations;
  const own = used.get(name) ?? 0;
  if (own + chance(own) > share / unevenFactor) return false;
  return floodingOf(compared).some((other) => {
    const amount = used.get(other) ?? 0;
    return amount - chance(amount) > share * unevenFactor;
  });
}

function floodingOf({ asked, share, deviation }: Compared): readonly string[] {
  return [...asked].flatMap(([name, amount]) =>
    amount - deviation(amount) > share * floodFactor ? [name] : []
  );
}

/**
 * The share that each gets of a capacity if those that ask for less get all that
 * they ask for; infinite if all do.
 */
function equalShare(
  asked: ReadonlyMap<string, number>,
  capacity: number,
): number {
  const sorted = [...asked.values()].toSorted((one, other) => one - other);
  let left = capacity;
  for (const [index, amount] of sorted.entries()) {
    const share = left / (sorted.length - index);
    if (amount > share) return share;
    left -= amount;
  }
  return Infinity;
}

function sumOf(amounts: ReadonlyMap<string, number>): number {
  return [...amounts.values()].reduce((sum, amount) => sum + amount, 0);
}

/** A request of a client, with what its order depends on. */
export interface Competing extends QueuedRequest {
  readonly client: Client;
}

/**
 * Whether clients compete for what is left to a rank: nearly all slots are
 * needed, and requests of several of them wait.
 */
export function isContested(
  waiting: readonly Competitor[],
  utilization: number,
  arriving = waiting[0]?.client,
): boolean {
  return isFullyUtilized(utilization) && hasCompetition(waiting, arriving);
}

/** The waiting work of a rank that starts before an arriving request of it. */
export function workBefore(
  waiting: readonly Competing[],
  arriving: Competing,
  view: {
    readonly now: number;
    /** The offered load of the rank and those above. */
    readonly utilization: number;
    readonly use: FairShares;
    /** Whether late requests count although they would start afterwards. */
    readonly countsLate: boolean;
  },
): number {
  const { now, utilization, use, countsLate } = view;
  const { client } = arriving;
  if (!isContested(waiting, utilization, client)) {
    return waiting.reduce(
      (sum, other) =>
        (countsLate
            ? other.orderAt <= arriving.orderAt
            : startsBefore(other, arriving, now))
          ? sum + other.serviceMilliseconds
          : sum,
      0,
    );
  }
  const ahead = waiting
    .filter((other) => competesWith(other, arriving, now))
    .map((other) => ({
      client: other.client,
      milliseconds: other.serviceMilliseconds,
      first: startsBefore(other, arriving, now),
    }));
  return workAhead(ahead, client, { shares: use, now });
}
