/**
 * Locates the grantor of a holder's group: other servers of the group may know
 * it, and agents that could grant look it up in the store or take the group
 * over.
 *
 * @module
 */
import type { Address } from "../core/agent.ts";
import type { Events } from "../ports/events.ts";
import type { GrantorLocation, LocateEffort, Peers } from "../ports/peers.ts";

const maxMembersAsked = 2;
const maxCandidatesAsked = 3;

/** Asks other agents in turn; null when none of them locates a grantor. */
export async function locateGrantor(options: {
  readonly group: string;
  /**
   * Only a grantor of a later epoch than this one's is of use; null for any.
   */
  readonly unreachable: GrantorLocation | null;
  /** Other servers of the group. */
  readonly members: readonly Address[];
  /** Agents that could grant, best candidate first. */
  readonly grantors: readonly Address[];
  /**
   * How often none was located before: then the next candidates are asked, as
   * the first ones may not reach the store.
   */
  readonly failures: number;
  readonly peers: Peers;
  readonly events: Events;
  /** Timeout of each call. */
  readonly timeoutMilliseconds: number;
}): Promise<GrantorLocation | null> {
  const { group, unreachable, members, grantors } = options;

  async function askInOrder(
    addresses: readonly Address[],
    effort: LocateEffort,
  ): Promise<GrantorLocation | null> {
    for (const address of addresses) {
      const result = await options.peers.call(address, "locateGrantor", {
        message: { group, unreachable, effort },
        timeoutMilliseconds: options.timeoutMilliseconds,
      });
      if (result.isErr || result.value === null) continue;
      options.events.record("grantor-located", {
        group,
        epoch: result.value.epoch,
        grantor: result.value.address,
      });
      return result.value;
    }
    return null;
  }

  const known = await askInOrder(members.slice(0, maxMembersAsked), "known");
  if (known !== null) return known;
  const others = grantors.filter((address) => address !== unreachable?.address);
  const first = options.failures * maxCandidatesAsked % others.length;
  const inTurn = [...others.slice(first), ...others.slice(0, first)];
  return await askInOrder(inTurn.slice(0, maxCandidatesAsked), "take-over");
}
