/**
 * Which hosts belong to a group, and which agents may become its grantor.
 *
 * @module
 */
import type { Address, Agent } from "../agent.ts";
import { groupName, groupPrefix, type KeyHash } from "./table.ts";

const membershipSeed = 0x6d656d62;
const candidateSeed = 0x63616e64;
/** Of the most processor time that an agent has, for a grantor. */
const minProcessorShare = 0.5;

/** The group that a host's target belongs to; stable across restarts. */
export function groupOfHost(
  host: string,
  options: {
    readonly service: string;
    readonly groups: number;
    readonly hash: KeyHash;
  },
): string {
  const index = options.hash(host, membershipSeed) % options.groups;
  return groupName(options.service, index);
}

/**
 * Peer addresses of the agents that may become a group's grantor, preferred
 * ones first. All servers of the group renew with it, so one with much less
 * processor time than others comes last. Of those that are left, agents of the
 * group's own servers come after others, because losing one would mean losing a
 * server and the grantor at once.
 */
export function grantorCandidates(
  group: string,
  options: {
    readonly agents: readonly Agent[];
    readonly hash: KeyHash;
    readonly mayOwnKeys?: (agent: Agent) => boolean;
  },
): readonly Address[] {
  const { hash, mayOwnKeys } = options;
  const agents = options.agents.filter((agent) => agent.phase !== "lost");
  const most = Math.max(...agents.map(({ processors }) => processors));
  const ranked = agents
    .map((agent) => ({
      agent,
      small: agent.processors < most * minProcessorShare ? 1 : 0,
      member: mayJoin(agent, group, mayOwnKeys) ? 1 : 0,
      leaving: agent.phase === "leaving" ? 1 : 0,
      order: hash(`${group}/${agent.host}`, candidateSeed),
    }))
    .sort((left, right) =>
      left.small - right.small || left.member - right.member ||
      left.leaving - right.leaving ||
      right.agent.processors - left.agent.processors ||
      left.order - right.order
    );
  return ranked.map((entry) => entry.agent.peerAddress);
}

/**
 * Whether an agent's target is a server of the group, as far as is known: a
 * starting agent tells its service before its group. One that may not own keys
 * doesn't join a group.
 */
export function mayJoin(
  agent: Agent,
  group: string,
  mayOwnKeys: (agent: Agent) => boolean = () => true,
): boolean {
  if (agent.group !== null) return agent.group === group;
  return group.startsWith(groupPrefix(agent.service)) && mayOwnKeys(agent);
}
