/**
 * Which agents watch the store for all others, chosen alike by all that know
 * the same agents, and for how long each of their watches waits. Watches end
 * one after the other: only the end of a watch shows whether its connection has
 * gone silent, and then all connections may have.
 *
 * @module
 */
import type { Agent } from "../agent.ts";
import type { KeyHash } from "../ownership/table.ts";

/** Number of agents in each data centre that watch the store. */
const watchersPerDataCenter = 2;

/** The place of an agent among those that watch. */
export interface WatcherRank {
  /** From 0 up to but not including `count`. */
  readonly rank: number;
  readonly count: number;
}

/** All agents that watch the store, in the order of their ranks. */
export function watchersOf(
  agents: readonly Agent[],
  hash: KeyHash,
): readonly Agent[] {
  const earlier = new Map<string, number>();
  return inRankOrder(agents, hash).filter(({ place }) => {
    const count = earlier.get(place.dataCenter) ?? 0;
    earlier.set(place.dataCenter, count + 1);
    return count < watchersPerDataCenter;
  });
}

/** Whether this agent is one of the watchers of its data centre. */
export function isWatcher(
  self: Agent,
  agents: readonly Agent[],
  hash: KeyHash,
): boolean {
  return watcherRank(self, agents, { hash, isolated: false }) !== null;
}

/**
 * The rank of an agent among those that watch, or null if it is none of them.
 * When it is isolated, any agent may be, so that all count as watching.
 */
export function watcherRank(
  self: Agent,
  agents: readonly Agent[],
  options: { readonly hash: KeyHash; readonly isolated: boolean },
): WatcherRank | null {
  const all = [...agents.filter(({ host }) => host !== self.host), self];
  const watching = options.isolated
    ? inRankOrder(all, options.hash)
    : watchersOf(all, options.hash);
  const rank = watching.indexOf(self);
  return rank < 0 ? null : { rank, count: watching.length };
}

function inRankOrder(
  agents: readonly Agent[],
  hash: KeyHash,
): readonly Agent[] {
  const seed = 0;
  return agents.filter(({ phase }) => phase !== "lost")
    .map((agent) => ({ agent, rank: hash(agent.host, seed) }))
    .toSorted((left, right) => left.rank - right.rank)
    .map(({ agent }) => agent);
}

/**
 * How long the next watch waits, in milliseconds, so that one watch ends in
 * each interval, whatever the number of watchers.
 */
export function nextWatchMilliseconds(
  { rank, count }: WatcherRank,
  options: {
    /** Whether the last watch ended by its time and not with all others. */
    readonly endedInTurn: boolean;
    readonly intervalMilliseconds: number;
    readonly maxMilliseconds: number;
  },
): number {
  const turns = options.endedInTurn ? count : rank + 1;
  return Math.min(
    turns * options.intervalMilliseconds,
    options.maxMilliseconds,
  );
}
