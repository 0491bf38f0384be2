/**
 * Who takes part: one agent beside each target, at a place.
 *
 * @module
 */

/** Where a host stands. */
export interface Place {
  readonly dataCenter: string;
  readonly region: string;
}

/** The address of a listener, as `ip:port`. */
export type Address = string;

const addressShape =
  /^(\d{1,3}(\.\d{1,3}){3}|\[[0-9a-fA-F:]{2,45}\]):0*[1-9]\d{0,4}$/;

/** Whether a text is an address that can be called, its numbers in range. */
export function isAddress(text: string): boolean {
  return addressShape.test(text) && URL.canParse(`http://${text}`);
}

/**
 * Names one run of one agent, as `host/incarnation`. A restarted agent has a
 * new identity, so that nothing promised to the old process reaches the new.
 */
export type AgentId = string;

/** The host that an agent runs or ran on. */
export function hostOfAgent(id: AgentId): string {
  const end = id.lastIndexOf("/");
  return end < 0 ? id : id.slice(0, end);
}

/** Names the process that began on a host as its incarnation. */
export function agentIdOf(host: string, incarnation: number): AgentId {
  return `${host}/${incarnation.toString(36)}`;
}

/** The incarnation that an agent began as. */
function incarnationOf(id: AgentId): number {
  return parseInt(id.slice(id.lastIndexOf("/") + 1), 36);
}

/** Whether a later process of the same host is known: a host runs one. */
export function hasEnded(id: AgentId, agents: readonly Agent[]): boolean {
  const host = hostOfAgent(id);
  return agents.some((agent) =>
    agent.host === host && agent.id !== id &&
    agent.incarnation > incarnationOf(id)
  );
}

/**
 * Whether the machine that an agent ran on is gone: another host's process
 * answers at its address, which one machine has at a time.
 */
export function isReplacedBy(id: AgentId, answering: AgentId): boolean {
  return hostOfAgent(id) !== hostOfAgent(answering);
}

/**
 * The entry that an agent leaves behind when it has stopped as planned: of a
 * process after its own that never serves. Only one that holds and grants
 * nothing any more may leave it.
 */
export function departedAgent(agent: Agent): Agent {
  const incarnation = incarnationOf(agent.id) + 1;
  const id = agentIdOf(agent.host, incarnation);
  return { ...agent, id, incarnation, phase: "lost" };
}

/** Whether this process is known to have stopped as planned. */
export function hasDeparted(id: AgentId, agents: readonly Agent[]): boolean {
  const next = agentIdOf(hostOfAgent(id), incarnationOf(id) + 1);
  return agents.some((agent) => agent.id === next && agent.phase === "lost");
}

/** Whether a target takes new work. */
export type TargetPhase = "serving" | "leaving" | "lost";

/** What an agent tells all others about itself and its target. */
export interface Agent {
  readonly id: AgentId;
  readonly host: string;
  /** Grows with each start and each correction of a false suspicion. */
  readonly incarnation: number;
  readonly callerAddress: Address;
  readonly peerAddress: Address;
  readonly place: Place;
  readonly service: string;
  /** The ownership group of the target; null when its service has no keys. */
  readonly group: string | null;
  /** Requests that the target runs at one time. */
  readonly slots: number;
  /** Whether the target refuses stale fencing tokens by itself. */
  readonly checksFencing: boolean;
  readonly phase: TargetPhase;
}

/** How far apart two places are; lower is nearer. */
export function distance(from: Place, to: Place): 0 | 1 | 2 {
  if (from.dataCenter === to.dataCenter) return 0;
  if (from.region === to.region) return 1;
  return 2;
}
