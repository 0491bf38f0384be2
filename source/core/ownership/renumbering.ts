/**
 * Numbers the grants of a token anew whenever a connection to the target has
 * been opened: what listens at its address may be the target's next life. The
 * end of a connection can't be relied on, since it may become known late.
 *
 * Invariant: a grant has a higher number than all grants of its token that were
 * written before its connection was open.
 *
 * @module
 */
import { type FencingToken, formatToken, maxRenumberings } from "./token.ts";

/** By token: how many connections had been opened when it was first granted. */
export type FirstGrants = ReadonlyMap<string, number>;

/**
 * Tokens that are remembered, the latest ones. A forgotten one is numbered from
 * the start, which a target that has seen higher numbers refuses.
 */
const maxTokens = 4_096;

/** Returns how often the grants of a token have been numbered anew by now. */
export function renumber(
  firstGrants: FirstGrants,
  token: FencingToken,
  openedConnections: number,
): {
  readonly firstGrants: FirstGrants;
  /** Null when the token has no further number: the keys need a newer one. */
  readonly renumberings: number | null;
} {
  const name = formatToken(token);
  const first = firstGrants.get(name);
  if (first === undefined) {
    const known = [...firstGrants].slice(1 - maxTokens);
    return {
      firstGrants: new Map([...known, [name, openedConnections]]),
      renumberings: 0,
    };
  }
  const renumberings = openedConnections - first;
  return {
    firstGrants,
    renumberings: renumberings > maxRenumberings ? null : renumberings,
  };
}
