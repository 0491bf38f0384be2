/**
 * Whether a group may be taken from its grantor, judged by what its servers
 * say. An agent that can't reach a grantor knows little: the cut may be its
 * own, and a claim ends the grantor for all that still hear it.
 *
 * @module
 */

/** What became of the question to one server of a roster. */
export type RosterReply =
  | {
    readonly kind: "answered";
    /** The highest epoch that the server has accepted. */
    readonly epoch: number;
    /** Whether its grantor has answered it just now. */
    readonly hears: boolean;
  }
  /** Another process answers there, so that the one asked for has ended. */
  | { readonly kind: "ended" }
  | { readonly kind: "silent" };

/** What follows for an agent that would claim the next epoch. */
export type ClaimVerdict =
  | "may-claim"
  /** At least half of the servers that answer hear their grantor. */
  | "heard"
  /** A later epoch than the one asked about is known. */
  | "replaced"
  /** The rest may be on the grantor's side of a cut. */
  | "too-few";

/**
 * Judges the words of a roster, in the roster's order. `renewed` says whether
 * the grantor may still renew its delegation at the store: one that has ceased
 * to is lost for everybody, however few can be asked.
 */
export function evaluateClaim(
  words: readonly RosterReply[],
  former: { readonly epoch: number; readonly renewed: boolean },
): ClaimVerdict {
  const living = words.filter((word) => word.kind !== "ended");
  const answers = living.filter((word) => word.kind === "answered");
  if (answers.some(({ epoch }) => epoch > former.epoch)) return "replaced";
  const hearing = answers.filter(({ epoch, hears }) =>
    hears && epoch === former.epoch
  );
  if (hearing.length > 0 && hearing.length * 2 >= answers.length) {
    return "heard";
  }
  const part = {
    answered: answers.length,
    living: living.length,
    hasFirst: living[0]?.kind === "answered",
  };
  return isLargerPart(part) || !former.renewed ? "may-claim" : "too-few";
}

/** Of two equal halves only one may claim: that of the roster's first server. */
function isLargerPart(part: {
  readonly answered: number;
  readonly living: number;
  readonly hasFirst: boolean;
}): boolean {
  const twice = part.answered * 2;
  if (twice === part.living) return part.hasFirst || part.living === 0;
  return twice > part.living;
}

/** Whether no further answer can change the verdict on these words. */
export function isDecided(
  words: readonly RosterReply[],
  asked: { readonly servers: number; readonly epoch: number },
): boolean {
  let hearing = 0;
  let deaf = 0;
  let ended = 0;
  for (const word of words) {
    if (word.kind === "ended") ended += 1;
    if (word.kind !== "answered") continue;
    if (word.epoch > asked.epoch) return true;
    if (word.hears && word.epoch === asked.epoch) hearing += 1;
    else deaf += 1;
  }
  const living = asked.servers - ended;
  return hearing * 2 >= living || deaf * 2 > living;
}
