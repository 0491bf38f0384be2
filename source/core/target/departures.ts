/**
 * What an agent has acknowledged of targets that leave, and who keeps it for
 * the agent's next process: one that has just started would take a report that
 * was sent before, and arrives late, for the target's word.
 *
 * @module
 */
import { type Agent, distance } from "../agent.ts";
import type { KeyHash } from "../ownership/table.ts";

/** A target that leaves: no report of it is to be believed any more. */
export interface RecordedDeparture {
  readonly id: string;
  /** It has started no later, in milliseconds since 1970, on its own clock. */
  readonly startedBy: number;
}

/** Whether both lists name the same departures in the same order. */
export function sameDepartures(
  left: readonly RecordedDeparture[],
  right: readonly RecordedDeparture[],
): boolean {
  return left.length === right.length && left.every((departure, index) => {
    const other = right[index];
    return departure.id === other?.id &&
      departure.startedBy === other.startedBy;
  });
}

/** Number of other agents that keep an agent's departures. */
const witnessesPerAgent = 4;

/**
 * The agents that keep this one's departures besides the store: the nearest
 * ones, the same for its next process if that knows the same agents.
 */
export function witnessesOf(
  self: Agent,
  agents: readonly Agent[],
  hash: KeyHash,
): readonly Agent[] {
  const seed = 0;
  return agents
    .filter(({ host, phase }) => host !== self.host && phase !== "lost")
    .map((agent) => ({
      agent,
      far: distance(agent.place, self.place),
      rank: hash(agent.host, seed),
    }))
    .toSorted((left, right) => left.far - right.far || left.rank - right.rank)
    .slice(0, witnessesPerAgent)
    .map(({ agent }) => agent);
}

/** By host: the departures that this agent keeps for others. */
export type WitnessedDepartures = ReadonlyMap<
  string,
  readonly RecordedDeparture[]
>;

/** Hosts whose departures are kept, the latest ones. */
const maxWitnessedHosts = 1_024;

/** Keeps the departures of a host in place of the earlier ones. */
export function witness(
  known: WitnessedDepartures,
  host: string,
  departures: readonly RecordedDeparture[],
): WitnessedDepartures {
  const others = [...known].filter(([other]) => other !== host);
  return new Map([
    ...others.slice(1 - maxWitnessedHosts),
    [host, departures],
  ]);
}
