/**
 * Which agents watch the store for all others, chosen alike by all that know
 * the same agents, and for how long each of their watches waits. Watches end
 * one after the other: only the end of a watch shows whether its connection has
 * gone silent, and then all connections may have.
 *
 * A watching agent may not reach the store, or not the other agents, and may
 * not know it. So it reports to a few deputies in its data centre, which watch
 * in its place once it reports a failure or nothing. Only deputies do: the
 * calls to the store don't grow with the number of agents.
 *
 * @module
 */
import type { Agent } from "../agent.ts";
import type { KeyHash } from "../ownership/table.ts";

/** Number of agents in each data centre that watch the store. */
const watchersPerDataCenter = 2;
/** Number of agents in each data centre that may watch in their place. */
const deputiesPerDataCenter = 3;

/** The place of an agent among those that watch. */
export interface WatcherRank {
  /** From 0 up to but not including `count`. */
  readonly rank: number;
  readonly count: number;
  /** Whether it watches in the place of another agent. */
  readonly substitutes: boolean;
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
  return watchersOf(withSelf(self, agents), hash).includes(self);
}

/** What decides whether an agent watches, besides which agents there are. */
export interface WatcherConditions {
  readonly hash: KeyHash;
  /** Whether it hears of no other agent: then any agent may be the only one. */
  readonly isolated: boolean;
  /** Whether another agent is believed to reach the store. */
  readonly reachesStore: (agent: Agent) => boolean;
}

/**
 * The rank of an agent among those that watch, or null if it is none of them. A
 * deputy shares the turns of its data centre only.
 */
export function watcherRank(
  self: Agent,
  agents: readonly Agent[],
  conditions: WatcherConditions,
): WatcherRank | null {
  const { hash } = conditions;
  const all = withSelf(self, agents);
  if (conditions.isolated) return rankWithin(inRankOrder(all, hash), self);
  const ranked = rankedNear(self, all, hash);
  const position = ranked.indexOf(self);
  if (position < 0) return null;
  if (position < watchersPerDataCenter) {
    return rankWithin(watchersOf(all, hash), self);
  }
  const reaching = agentsAhead(self, ranked).filter(conditions.reachesStore);
  return reaching.length < watchersPerDataCenter
    ? { rank: reaching.length, count: watchersPerDataCenter, substitutes: true }
    : null;
}

function rankWithin(
  watching: readonly Agent[],
  self: Agent,
): WatcherRank | null {
  const rank = watching.indexOf(self);
  return rank < 0 ? null : { rank, count: watching.length, substitutes: false };
}

/** The watchers and then the deputies of the agent's data centre. */
export function rankedNear(
  self: Agent,
  agents: readonly Agent[],
  hash: KeyHash,
): readonly Agent[] {
  const near = withSelf(self, agents).filter(({ place }) =>
    place.dataCenter === self.place.dataCenter
  );
  const count = watchersPerDataCenter + deputiesPerDataCenter;
  return inRankOrder(near, hash).slice(0, count);
}

/** The agents whose reports decide whether this one watches as their deputy. */
export function agentsAhead(
  self: Agent,
  ranked: readonly Agent[],
): readonly Agent[] {
  const position = ranked.indexOf(self);
  return position < watchersPerDataCenter ? [] : ranked.slice(0, position);
}

/** The deputies to which this agent reports whether it reaches the store. */
export function deputiesBehind(
  self: Agent,
  ranked: readonly Agent[],
): readonly Agent[] {
  const position = ranked.indexOf(self);
  if (position < 0) return [];
  return ranked.slice(Math.max(position + 1, watchersPerDataCenter));
}

/** The agents, this one as it describes itself here. */
function withSelf(self: Agent, agents: readonly Agent[]): readonly Agent[] {
  return [...agents.filter(({ host }) => host !== self.host), self];
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
