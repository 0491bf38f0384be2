/**
 * Polls the servers of a group on whether they still reach their grantor, until
 * no further reply can change the verdict.
 *
 * @module
 */
import {
  type ClaimVerdict,
  evaluateClaim,
  isDecided,
  type RosterReply,
} from "../core/ownership/roster_poll.ts";
import type { Delegation, RosterEntry } from "../core/ownership/delegation.ts";
import type { Peers } from "../ports/peers.ts";

/** The verdict of a roster poll, with the replies that it is based on. */
export interface RosterPollResult {
  readonly verdict: ClaimVerdict;
  readonly replies: readonly RosterReply[];
}

/**
 * Timeout of a roster poll, in call timeouts: servers may ask their grantor
 * before they answer.
 */
export const rosterPollTimeoutCalls = 3;

/** Asks each server once; resolves no later than the timeout. */
export async function pollRoster(
  delegation: Pick<Delegation, "roster" | "group" | "epoch">,
  options: {
    readonly peers: Peers;
    readonly timeoutMilliseconds: number;
    /**
     * Whether the grantor may still be renewing its delegation in the store.
     */
    readonly renewed: boolean;
    /** Whether the store may have lost the record of a later grantor. */
    readonly mayBeLost?: boolean;
  },
): Promise<RosterPollResult> {
  const { roster, group, epoch } = delegation;
  const { renewed, mayBeLost = false } = options;
  const replies: RosterReply[] = roster.map(() => ({ kind: "silent" }));

  async function ask(entry: RosterEntry): Promise<RosterReply> {
    const result = await options.peers.call(entry.peerAddress, "hearsGrantor", {
      message: { group },
      timeoutMilliseconds: options.timeoutMilliseconds,
    });
    if (result.isErr) return { kind: "silent" };
    const { id, epoch, hears } = result.value;
    if (id !== entry.id) return { kind: "ended" };
    return { kind: "answered", epoch, hears };
  }

  await new Promise<void>((resolve) => {
    const decided = () =>
      isDecided(replies, { servers: roster.length, epoch, mayBeLost });
    const all = roster.map(async (entry, index) => {
      replies[index] = await ask(entry);
      if (decided()) resolve();
    });
    void Promise.all(all).then(() => resolve());
  });
  const verdict = evaluateClaim(replies, { epoch, renewed, mayBeLost });
  return { verdict, replies: [...replies] };
}
