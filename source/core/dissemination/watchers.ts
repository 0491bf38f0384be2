/**
 * Which agents watch the store for all others, chosen alike by all that know
 * the same agents.
 *
 * @module
 */
import type { Agent } from "../agent.ts";
import type { KeyHash } from "../ownership/table.ts";

/** Number of agents in each data centre that watch the store. */
const watchersPerDataCenter = 2;

/** Whether this agent is one of the watchers of its data centre. */
export function isWatcher(
  self: Agent,
  agents: readonly Agent[],
  hash: KeyHash,
): boolean {
  const near = agents.filter((agent) =>
    agent.place.dataCenter === self.place.dataCenter && agent.phase !== "lost"
  );
  const seed = 0;
  const own = hash(self.host, seed);
  const earlier = near.filter((agent) => hash(agent.host, seed) < own);
  return earlier.length < watchersPerDataCenter;
}
