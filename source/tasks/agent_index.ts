/**
 * An index of all known agents by id and by service. It is rebuilt when the
 * list of agents changes, not for each request.
 *
 * @module
 */
import type { Agent, AgentId } from "../core/agent.ts";

/** Look-ups in the current list of agents. */
export interface AgentIndex {
  /** Null for an unknown agent. */
  byId(id: AgentId): Agent | null;
  ofService(service: string): readonly Agent[];
}

/** Reads the list on each look-up; `onChange` is called with each new list. */
export function indexAgents(
  agents: () => readonly Agent[],
  onChange: (agents: readonly Agent[]) => void,
): AgentIndex {
  let known: readonly Agent[] | null = null;
  let ids: ReadonlyMap<AgentId, Agent> = new Map();
  let services: ReadonlyMap<string, readonly Agent[]> = new Map();

  function rebuildIfChanged(): void {
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
      rebuildIfChanged();
      return ids.get(id) ?? null;
    },
    ofService(service) {
      rebuildIfChanged();
      return services.get(service) ?? [];
    },
  };
}
