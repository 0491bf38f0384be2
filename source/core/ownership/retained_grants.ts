/**
 * What a server may be given back though its lease has ended.
 *
 * Invariant: a slice leaves a server of the roster only by its own release, or
 * after a store write that drops the server. So what a server has held since
 * it was last let into the roster is nobody else's, whatever the time.
 *
 * @module
 */
import type { AgentId } from "../agent.ts";
import type { RosterEntry } from "./delegation.ts";
import type { Grant } from "./renewal.ts";
import { compareTokens } from "./token.ts";

/** What a server says of its grants, in a renewal or to a new grantor. */
export interface GrantReport {
  readonly id: AgentId;
  readonly held: readonly Grant[];
  /** Left out by agents of an earlier release. */
  readonly lapsed?: readonly Grant[] | undefined;
}

/** The grants under an ended lease that are still this server's alone. */
export function retainedGrants(
  report: GrantReport,
  roster: readonly RosterEntry[],
): readonly Grant[] {
  const since = roster.find(({ id }) => id === report.id)?.since;
  if (since === undefined) return [];
  const lapsed = report.lapsed ?? [];
  return lapsed.filter(({ token }) => compareTokens(token, since) > 0);
}
