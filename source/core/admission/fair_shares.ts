/**
 * Fair shares of a target among the client accounts that its requests come
 * from, and among the entries that forward them.
 *
 * While there is competition, the account that has used the target least starts
 * next, and of its entries the one that has used it least. So all get equal
 * parts, except those that ask for less: they get all that they ask for. Use is
 * remembered for some seconds, so that none of them starves.
 *
 * Accounts come before entries: an account with many entries gets no more than
 * one with few.
 *
 * @module
 */

/** Whom a request comes from; empty texts where it isn't known. */
export interface Client {
  /** The agent that forwarded it. */
  readonly entry: string;
  /** The service that it comes from, as stated by the entry. */
  readonly account: string;
}

/** Time in slots that was used, decayed up to the time `at`. */
interface Use {
  readonly milliseconds: number;
  readonly at: number;
}

/** Recent use of a target by the requests of one rank. */
export interface FairShares {
  readonly accounts: ReadonlyMap<string, Use>;
  /** By account and entry. */
  readonly entries: ReadonlyMap<string, Use>;
}

/** The parts of the recent use that fall to a client, 0 to 1. */
export interface ClientShares {
  readonly accountShare: number;
  /** Of the use of its account. */
  readonly entryShare: number;
}

/** A waiting request, as it competes with others of its rank. */
export interface Competitor {
  readonly client: Client;
}

/** Work of a waiting request that may start before an arriving one. */
export interface WorkAhead extends Competitor {
  /** Expected time in the target. */
  readonly milliseconds: number;
  /** Whether it would start first if both had the same client. */
  readonly first: boolean;
}

/** Before any use. */
export const noUse: FairShares = { accounts: new Map(), entries: new Map() };

/** A request of an unknown client. */
export const unknownClient: Client = { entry: "", account: "" };

/** Time in which the memory of use decays to about a third. */
const decayMilliseconds = 3_000;
/** Above this number the account or entry with the oldest use is forgotten. */
const maxNames = 1_024;

function entryKey({ account, entry }: Client): string {
  return `${account}\n${entry}`;
}

function decayed(use: Use | undefined, now: number): number {
  if (use === undefined) return 0;
  const age = Math.max(0, now - use.at);
  return use.milliseconds * Math.exp(-age / decayMilliseconds);
}

function addUse(
  uses: ReadonlyMap<string, Use>,
  name: string,
  used: { readonly milliseconds: number; readonly now: number },
): ReadonlyMap<string, Use> {
  const milliseconds = decayed(uses.get(name), used.now) + used.milliseconds;
  const next = new Map(uses);
  next.delete(name);
  next.set(name, { milliseconds, at: used.now });
  const [oldest] = next.keys();
  if (next.size > maxNames && oldest !== undefined) next.delete(oldest);
  return next;
}

/** Records that a request of a client starts. */
export function recordUse(
  shares: FairShares,
  client: Client,
  used: { readonly milliseconds: number; readonly now: number },
): FairShares {
  return {
    accounts: addUse(shares.accounts, client.account, used),
    entries: addUse(shares.entries, entryKey(client), used),
  };
}

/** The parts of the recent use that fall to a client. */
export function sharesOf(
  shares: FairShares,
  client: Client,
  now: number,
): ClientShares {
  const account = decayed(shares.accounts.get(client.account), now);
  const entry = decayed(shares.entries.get(entryKey(client)), now);
  let total = 0;
  for (const use of shares.accounts.values()) total += decayed(use, now);
  return {
    accountShare: total === 0 ? 0 : account / total,
    entryShare: account === 0 ? 0 : Math.min(1, entry / account),
  };
}

/** What each account has used, or asked for. */
export function usesByAccount(
  { accounts }: FairShares,
  now: number,
): ReadonlyMap<string, number> {
  return new Map(
    [...accounts].map(([name, use]) => [name, decayed(use, now)] as const),
  );
}

/** What each entry of an account has used, or asked for. */
export function usesByEntry(
  { entries }: FairShares,
  account: string,
  now: number,
): ReadonlyMap<string, number> {
  const prefix = entryKey({ account, entry: "" });
  return new Map(
    [...entries].flatMap(([name, use]) =>
      name.startsWith(prefix)
        ? [[name.slice(prefix.length), decayed(use, now)] as const]
        : []
    ),
  );
}

/** Whether requests of several clients wait, or of others than this one. */
export function hasCompetition(
  waiting: readonly Competitor[],
  client = waiting[0]?.client,
): boolean {
  return client !== undefined &&
    waiting.some((other) => !isSame(other.client, client));
}

function isSame(one: Client, other: Client): boolean {
  return one.account === other.account && one.entry === other.entry;
}

/**
 * The first request of the client whose turn it is: of the account with the
 * least recent use, the entry with the least recent use.
 */
export function firstInTurn<Request extends Competitor>(
  waiting: readonly Request[],
  shares: FairShares,
  now: number,
): Request | undefined {
  let chosen: Request | undefined;
  let least: readonly [number, number] = [Infinity, Infinity];
  for (const request of waiting) {
    const use = useOf(shares, request.client, now);
    const isLess = use[0] < least[0] ||
      (use[0] === least[0] && use[1] < least[1]);
    if (!isLess) continue;
    least = use;
    chosen = request;
  }
  return chosen;
}

/** Recent use by the account and by the entry of a client. */
function useOf(
  shares: FairShares,
  client: Client,
  now: number,
): readonly [number, number] {
  return [
    decayed(shares.accounts.get(client.account), now),
    decayed(shares.entries.get(entryKey(client)), now),
  ];
}

/**
 * The last request of the client that has most, used and waiting: the one to
 * refuse first.
 */
export function lastOfLargest<
  Request extends Competitor & { readonly milliseconds: number },
>(
  waiting: readonly Request[],
  shares: FairShares,
  now: number,
): Request | undefined {
  const accounts = sumOf(waiting, ({ client }) => client.account);
  const entries = sumOf(waiting, ({ client }) => entryKey(client));
  let chosen: Request | undefined;
  let most: readonly [number, number] = [-1, -1];
  for (const request of waiting) {
    const { client } = request;
    const use = useOf(shares, client, now);
    const account = use[0] + (accounts.get(client.account) ?? 0);
    const entry = use[1] + (entries.get(entryKey(client)) ?? 0);
    const isLess = account < most[0] ||
      (account === most[0] && entry < most[1]);
    if (isLess) continue;
    most = [account, entry];
    chosen = request;
  }
  return chosen;
}

function sumOf<Request extends { readonly milliseconds: number }>(
  requests: readonly Request[],
  nameOf: (request: Request) => string,
): ReadonlyMap<string, number> {
  const sums = new Map<string, number>();
  for (const request of requests) {
    const name = nameOf(request);
    sums.set(name, (sums.get(name) ?? 0) + request.milliseconds);
  }
  return sums;
}

/**
 * The work that starts before an arriving request of a client: that of its own
 * before it, and of each other client as much as it has used less.
 */
export function workAhead(
  waiting: readonly WorkAhead[],
  client: Client,
  view: { readonly shares: FairShares; readonly now: number },
): number {
  const { shares, now } = view;
  const [accountUse, entryUse] = useOf(shares, client, now);
  const own = waiting.filter((other) => isSame(other.client, client))
    .reduce(
      (sum, { milliseconds, first }) => first ? sum + milliseconds : sum,
      0,
    );
  const sameAccount = waiting.filter((other) =>
    other.client.account === client.account && !isSame(other.client, client)
  );
  const inAccount = own + aheadOf(entryUse + own, {
    waiting: sumOf(sameAccount, ({ client }) => entryKey(client)),
    uses: shares.entries,
    now,
  });
  const otherAccounts = waiting.filter((other) =>
    other.client.account !== client.account
  );
  return inAccount + aheadOf(accountUse + inAccount, {
    waiting: sumOf(otherAccounts, ({ client }) => client.account),
    uses: shares.accounts,
    now,
  });
}

/** The waiting work of others until each has used as much. */
function aheadOf(
  use: number,
  others: {
    readonly waiting: ReadonlyMap<string, number>;
    readonly uses: ReadonlyMap<string, Use>;
    readonly now: number;
  },
): number {
  let ahead = 0;
  for (const [name, milliseconds] of others.waiting) {
    const less = use - decayed(others.uses.get(name), others.now);
    ahead += Math.min(milliseconds, Math.max(0, less));
  }
  return ahead;
}
