/**
 * Which of the known agents gossip goes to: decisions about the agents as one
 * of them knows them, without state.
 *
 * @module
 */
import { type Address, type Agent, distance } from "../core/agent.ts";

/** The agents as one agent knows them, including itself. */
export interface KnownAgents {
  readonly agents: readonly Agent[];
  readonly self: Agent;
}

/** Maximum number of agents that are called at once. */
export const maxAnnouncementPartners = 4;
/** One exchange in this many goes to an agent that counts as lost. */
const roundsPerOutsider = 8;
/** One exchange in this many may go to another data centre. */
const roundsPerRemote = 4;

/** The agent to exchange with in a round; null if no other one lives. */
export function choosePartner(
  known: KnownAgents,
  options: { readonly round: number; readonly random: () => number },
): Agent | null {
  const { round, random } = options;
  const others = otherAgents(known);
  const living = others.filter((agent) => agent.phase !== "lost");
  if (round % roundsPerOutsider === 0 && living.length < others.length) {
    return pick(others.filter((agent) => agent.phase === "lost"), random);
  }
  if (living.length === 0) return null;
  const local = living.filter((agent) => isNear(agent, known));
  const includeRemote = round % roundsPerRemote === 0 || local.length === 0;
  return pick(includeRemote ? living : local, random);
}

/** One of the values at random; null if there are none. */
export function pick<Value>(
  values: readonly Value[],
  random: () => number,
): Value | null {
  return values[Math.floor(random() * values.length)] ?? null;
}

/** The living agents of this data centre but for this one. */
export function nearAgents(known: KnownAgents): readonly Agent[] {
  return livingOthers(known).filter((agent) => isNear(agent, known));
}

/**
 * Agents to tell at once. Prefers serving agents: one that stops soon may not
 * pass the updates on.
 */
export function announcementPartners(known: KnownAgents): readonly Agent[] {
  const others = livingOthers(known);
  const serving = others.filter((agent) => agent.phase === "serving");
  const leaving = others.filter((agent) => agent.phase !== "serving");
  return [...serving, ...leaving].slice(0, maxAnnouncementPartners);
}

/** Agents that have run for longest know most of what was before. */
export function addressesByAge(known: KnownAgents): readonly Address[] {
  return livingOthers(known)
    .toSorted((left, right) => left.incarnation - right.incarnation)
    .map(({ peerAddress }) => peerAddress);
}

function otherAgents({ agents, self }: KnownAgents): readonly Agent[] {
  return agents.filter((agent) => agent.host !== self.host);
}

function livingOthers(known: KnownAgents): readonly Agent[] {
  return otherAgents(known).filter((agent) => agent.phase !== "lost");
}

function isNear(agent: Agent, { self }: KnownAgents): boolean {
  return distance(agent.place, self.place) === 0;
}
