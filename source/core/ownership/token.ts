/**
 * Fencing tokens, which order the grants of a slice.
 *
 * @module
 */

/** Ordered by the grantor's epoch, then by the sequence within that epoch. */
export interface FencingToken {
  readonly epoch: number;
  readonly sequence: number;
}

/** A token that is older than every token issued by a grantor. */
export const noToken: FencingToken = { epoch: 0, sequence: 0 };

/** Negative if `left` is older, zero if equal, positive if newer. */
export function compareTokens(left: FencingToken, right: FencingToken): number {
  return left.epoch - right.epoch || left.sequence - right.sequence;
}

/** The newer of two tokens. */
export function newerToken(
  left: FencingToken,
  right: FencingToken,
): FencingToken {
  return compareTokens(left, right) < 0 ? right : left;
}

/** Formats a token as `epoch.sequence`. */
export function formatToken(token: FencingToken): string {
  return `${token.epoch}.${token.sequence}`;
}

/** Parses `epoch.sequence`; null if the text is not a token. */
export function parseToken(text: string): FencingToken | null {
  const match = /^(\d{1,15})\.(\d{1,15})$/.exec(text);
  if (match === null) return null;
  return { epoch: Number(match[1]), sequence: Number(match[2]) };
}

/** Exclusive upper bound of the sequence within one epoch. */
const sequencesPerEpoch = 2 ** 24;

/**
 * How often the grants of one token can be numbered anew. A target may have
 * been replaced by its next life, which must get a higher number.
 */
export const maxRenumberings = 255;

/**
 * Encodes a token as an integer, for targets that compare fencing numbers. The
 * number of a release is greater than those of the grants it ends, so that a
 * grant is refused if it arrives after its release.
 */
export function fencingNumber(
  token: FencingToken,
  order: "grant" | "release",
  renumberings = 0,
): number {
  const position = token.epoch * sequencesPerEpoch + token.sequence;
  const orders = position * 2 + (order === "release" ? 1 : 0);
  return orders * (maxRenumberings + 1) + renumberings;
}
