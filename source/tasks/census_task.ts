/**
 * Collects the configuration revisions that all agents apply, through a tree of
 * agents, so that no agent exchanges messages with more than a few others.
 *
 * @module
 */
import type { Address } from "../core/agent.ts";
import type { AppliedRevision, CensusReply, Peers } from "../ports/peers.ts";

/** Number of parts into which an agent splits the addresses. */
const fanOut = 16;

/** Combines this agent's revision with those of all agents at `addresses`. */
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

/**
 * Lets the first agent of a part ask the others. If it does not answer, it is
 * reported as missing and the next agent takes its role.
 */
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
