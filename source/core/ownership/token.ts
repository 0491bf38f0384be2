/**
 * Fencing tokens: the order in which grants of a slice were made.
 *
 * @module
 */

/** Orders grants: first by the grantor's epoch, then by its sequence. */
export interface FencingToken {
  readonly epoch: number;
  readonly sequence: number;
}

/** The token below every token that a grantor gives. */
export const noToken: FencingToken = { epoch: 0, sequence: 0 };

/** Negative when `left` is older, zero when equal, positive when newer. */
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

/** Writes a token as `epoch.sequence`. */
export function formatToken(token: FencingToken): string {
  return `${token.epoch}.${token.sequence}`;
}

/** Reads `epoch.sequence`; null when the text is no token. */
export function parseToken(text: string): FencingToken | null {
  const match = /^(\d{1,15})\.(\d{1,15})$/.exec(text);
  if (match === null) return null;
  return { epoch: Number(match[1]), sequence: Number(match[2]) };
}

/** Grants of one epoch are numbered below this. */
const sequencesPerEpoch = 2 ** 24;

/**
 * The whole number that stands for a token towards servers that compare
 * numbers. The one of a release is above the one of the grant that it ends, so
 * that the grant is refused if it arrives after its release.
 */
export function fencingNumber(
  token: FencingToken,
  order: "grant" | "release",
): number {
  const place = token.epoch * sequencesPerEpoch + token.sequence;
  return place * 2 + (order === "release" ? 1 : 0);
}
