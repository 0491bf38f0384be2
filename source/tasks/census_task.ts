/**
 * Asks all agents which revision they apply, through a tree of agents, so
 * that no agent asks or hears more than a few.
 *
 * @module
 */
import type { Address } from "../core/agent.ts";
import type { AppliedRevision, CensusReply, Peers } from "../ports/peers.ts";

/** Parts that an agent splits the others into. */
const fanOut = 16;

/** Brings this agent's answer together with those of all given addresses. */
export async function takeCensus(options: {
  readonly own: AppliedRevision;
  readonly addresses: readonly Address[];
  readonly peers: Peers;
  readonly hostOf: (address: Address) => string;
  readonly timeoutMilliseconds: number;
}): Promise<CensusReply> {
  const replies = await Promise.all(
    split(options.addresses).map((part) => askPart(part, options)),
  );
  return {
    applied: [options.own, ...replies.flatMap((reply) => reply.applied)],
    missing: replies.flatMap((reply) => reply.missing),
  };
}

function split(
  addresses: readonly Address[],
): readonly (readonly Address[])[] {
  const size = Math.max(1, Math.ceil(addresses.length / fanOut));
  const parts: (readonly Address[])[] = [];
  for (let start = 0; start < addresses.length; start += size) {
    parts.push(addresses.slice(start, start + size));
  }
  return parts;
}

/** The first agent of a part asks the rest; if it is lost, the next one does. */
async function askPart(
  part: readonly Address[],
  options: Parameters<typeof takeCensus>[0],
): Promise<CensusReply> {
  const [head, ...rest] = part;
  if (head === undefined) return { applied: [], missing: [] };
  const result = await options.peers.call(head, "census", {
    message: { addresses: rest },
    timeoutMilliseconds: options.timeoutMilliseconds,
  });
  if (result.isOk) return result.value;
  const others = await askPart(rest, options);
  return {
    applied: others.applied,
    missing: [options.hostOf(head), ...others.missing],
  };
}
