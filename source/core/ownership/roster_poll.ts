/**
 * Decides whether an agent that cannot reach a group's grantor may claim the
 * group, by the replies of the group's servers. The agent itself may be cut off
 * by a partition, and a claim ends the grantor also for the servers that still
 * reach it.
 *
 * @module
 */

/** The result of polling one server of a roster. */
export type RosterReply =
  | {
    readonly kind: "answered";
    /** The highest epoch that the server has accepted. */
    readonly epoch: number;
    /** Whether the server's grantor still answers it. */
    readonly hears: boolean;
  }
  /** Another process answered at its address, so the polled one has ended. */
  | { readonly kind: "ended" }
  | { readonly kind: "silent" };

/** Whether an agent may claim the next epoch, and if not, why. */
export type ClaimVerdict =
  | "may-claim"
  /** At least half of the servers that answered still reach their grantor. */
  | "heard"
  /** A server has accepted a later epoch than the former grantor's. */
  | "replaced"
  /** Too few answered: the rest may be on the grantor's side of a partition. */
  | "too-few";

/**
 * Evaluates the replies of a roster, in the roster's order. `former.renewed`
 * says whether the grantor may still renew its delegation in the store. If not,
 * it is lost for every server, and the group may be claimed however few servers
 * have answered.
 */
export function evaluateClaim(
  replies: readonly RosterReply[],
  former: {
    readonly epoch: number;
    readonly renewed: boolean;
    /**
     * Whether the store may have lost later claims: the grantor that servers
     * hear may then have an epoch that the store doesn't know.
     */
    readonly mayBeLost?: boolean;
  },
): ClaimVerdict {
  const { mayBeLost = false } = former;
  const living = replies.filter((reply) => reply.kind !== "ended");
  const answers = living.filter((reply) => reply.kind === "answered");
  const isReplaced = answers.some(({ epoch }) => epoch > former.epoch);
  if (isReplaced && !mayBeLost) return "replaced";
  const reaching = answers.filter(({ epoch, hears }) =>
    hears && (epoch === former.epoch || mayBeLost)
  );
  if (reaching.length > 0 && reaching.length * 2 >= answers.length) {
    return "heard";
  }
  const part = {
    answered: answers.length,
    living: living.length,
    hasFirst: living[0]?.kind === "answered",
  };
  return isLargerPart(part) || !former.renewed ? "may-claim" : "too-few";
}

/**
 * Whether the answering servers are the larger part of those that live. Of two
 * equal halves only the one with the roster's first server counts as larger.
 */
function isLargerPart(part: {
  readonly answered: number;
  readonly living: number;
  readonly hasFirst: boolean;
}): boolean {
  const twice = part.answered * 2;
  if (twice === part.living) return part.hasFirst || part.living === 0;
  return twice > part.living;
}

/**
 * Whether polling may stop: further replies would not change which side has the
 * majority, or a later epoch is known. `replies` are those received so far from
 * a roster of `servers` servers.
 */
export function isDecided(
  replies: readonly RosterReply[],
  asked: {
    readonly servers: number;
    readonly epoch: number;
    readonly mayBeLost?: boolean;
  },
): boolean {
  const { mayBeLost = false } = asked;
  let reaching = 0;
  let cutOff = 0;
  let ended = 0;
  for (const reply of replies) {
    if (reply.kind === "ended") ended += 1;
    if (reply.kind !== "answered") continue;
    if (reply.epoch > asked.epoch && !mayBeLost) return true;
    const isFormer = reply.epoch === asked.epoch || mayBeLost;
    if (reply.hears && isFormer) reaching += 1;
    else cutOff += 1;
  }
  const living = asked.servers - ended;
  return reaching * 2 >= living || cutOff * 2 > living;
}
