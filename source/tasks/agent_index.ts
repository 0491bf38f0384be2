/**
 * All known agents by what requests look them up by: worked out when the list
 * changes, not for each request.
 *
 * @module
 */
import type { Agent, AgentId } from "../core/agent.ts";

/** The agents as they are now. */
export interface AgentIndex {
  /** Null for an agent that is not known. */
  byId(id: AgentId): Agent | null;
  ofService(service: string): readonly Agent[];
}

/** Reads the list with each question; `onChange` hears of each new one. */
export function indexAgents(
  agents: () => readonly Agent[],
  onChange: (agents: readonly Agent[]) => void,
): AgentIndex {
  let known: readonly Agent[] | null = null;
  let ids: ReadonlyMap<AgentId, Agent> = new Map();
  let services: ReadonlyMap<string, readonly Agent[]> = new Map();

  function look(): void {
    const current = agents();
    if (current === known) return;
    known = current;
    ids = new Map(current.map((agent) => [agent.id, agent]));
    const groups = new Map<string, Agent[]>();
    for (const agent of current) {
      const group = groups.get(agent.service) ?? [];
      group.push(agent);
      groups.set(agent.service, group);
    }
    services = groups;
    onChange(current);
  }

  return {
    byId(id) {
      look();
      return ids.get(id) ?? null;
    },
    ofService(service) {
      look();
      return services.get(service) ?? [];
    },
  };
}
