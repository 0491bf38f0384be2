/**
 * Which hosts belong to a group, and which agents may become its grantor.
 *
 * @module
 */
import type { Address, Agent } from "../agent.ts";
import { groupName, groupPrefix, type KeyHash } from "./table.ts";

const membershipSeed = 0x6d656d62;
const candidateSeed = 0x63616e64;

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
 * ones first. Agents of the group's own servers come last, because losing one
 * would mean losing a server and the grantor at once. Of the others, those with
 * most processor time come first: all servers of the group renew with it.
 */
export function grantorCandidates(
  group: string,
  options: { readonly agents: readonly Agent[]; readonly hash: KeyHash },
): readonly Address[] {
  const { agents, hash } = options;
  const ranked = agents
    .filter((agent) => agent.phase !== "lost")
    .map((agent) => ({
      agent,
      member: mayJoin(agent, group) ? 1 : 0,
      leaving: agent.phase === "leaving" ? 1 : 0,
      order: hash(`${group}/${agent.host}`, candidateSeed),
    }))
    .sort((left, right) =>
      left.member - right.member || left.leaving - right.leaving ||
      right.agent.processors - left.agent.processors ||
      left.order - right.order
    );
  return ranked.map((entry) => entry.agent.peerAddress);
}

/**
 * Whether an agent's target is a server of the group, as far as is known: a
 * starting agent tells its service before its group.
 */
export function mayJoin(agent: Agent, group: string): boolean {
  if (agent.group !== null) return agent.group === group;
  return group.startsWith(groupPrefix(agent.service));
}
