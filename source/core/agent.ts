/**
 * Agents: their identity, address and location. One agent is co-located with
 * each target.
 *
 * @module
 */

/** The location of a host. */
export interface Place {
  readonly dataCenter: string;
  readonly region: string;
}

/** The address of a listener, as `ip:port`. */
export type Address = string;

const addressPattern =
  /^(\d{1,3}(\.\d{1,3}){3}|\[[0-9a-fA-F:]{2,45}\]):0*[1-9]\d{0,4}$/;

/** Whether a text is a valid `ip:port` with a port other than 0. */
export function isAddress(text: string): boolean {
  return addressPattern.test(text) && URL.canParse(`http://${text}`);
}

/**
 * Identifies one process of an agent, as `host/incarnation`. A restarted agent
 * has a new id, so that nothing granted to the former process passes to it.
 */
export type AgentId = string;

/** The host that the agent with this id runs or ran on. */
export function hostOfAgent(id: AgentId): string {
  const end = id.lastIndexOf("/");
  return end < 0 ? id : id.slice(0, end);
}

/** The id of the process that started on a host with this incarnation. */
export function agentIdOf(host: string, incarnation: number): AgentId {
  return `${host}/${incarnation.toString(36)}`;
}

/** The incarnation that an agent started with. */
function incarnationOf(id: AgentId): number {
  return parseInt(id.slice(id.lastIndexOf("/") + 1), 36);
}

/**
 * Whether the process has ended: a later one of the same host is known, and a
 * host runs only one agent at a time.
 */
export function hasEnded(id: AgentId, agents: readonly Agent[]): boolean {
  const host = hostOfAgent(id);
  return agents.some((agent) =>
    agent.host === host && agent.id !== id &&
    agent.incarnation > incarnationOf(id)
  );
}

/**
 * Whether the machine that an agent ran on is gone: a process of another host
 * answers at its address, and only one machine has an address at a time.
 */
export function isReplacedBy(id: AgentId, answering: AgentId): boolean {
  return hostOfAgent(id) !== hostOfAgent(answering);
}

/**
 * The agent description that records a planned stop: that of a lost process
 * with the next incarnation, which never serves. Only an agent that no longer
 * holds or grants anything may publish it.
 */
export function departedAgent(agent: Agent): Agent {
  const incarnation = incarnationOf(agent.id) + 1;
  const id = agentIdOf(agent.host, incarnation);
  return { ...agent, id, incarnation, phase: "lost" };
}

/** Whether the process is known to have ended by a planned stop. */
export function hasDeparted(id: AgentId, agents: readonly Agent[]): boolean {
  const next = agentIdOf(hostOfAgent(id), incarnationOf(id) + 1);
  return agents.some((agent) => agent.id === next && agent.phase === "lost");
}

/** Whether a target accepts new requests. */
export type TargetPhase = "serving" | "leaving" | "lost";

/** The description of an agent and its target that all agents share. */
export interface Agent {
  readonly id: AgentId;
  readonly host: string;
  /** Grows with each start, and each time a false report of loss is refuted. */
  readonly incarnation: number;
  readonly callerAddress: Address;
  readonly peerAddress: Address;
  readonly place: Place;
  readonly service: string;
  /** The ownership group of the target; null when its service has no keys. */
  readonly group: string | null;
  /** How many requests the target runs concurrently. */
  readonly slots: number;
  /** Processor time that the agent may use, in cores. */
  readonly processors: number;
  /** Whether the target itself rejects stale fencing tokens. */
  readonly checksFencing: boolean;
  readonly phase: TargetPhase;
}

/** 0 within a data centre, 1 within a region, 2 between regions. */
export function distance(from: Place, to: Place): 0 | 1 | 2 {
  if (from.dataCenter === to.dataCenter) return 0;
  if (from.region === to.region) return 1;
  return 2;
}
