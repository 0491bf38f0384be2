/**
 * Grants that a server may be given back although its lease has ended.
 *
 * Invariant: a slice of a server in the roster is reassigned only after the
 * server released it, or after a store write that removes the server from the
 * roster. So a slice that was granted to a server since it last joined the
 * roster, and that it has not released, is no other server's.
 *
 * @module
 */
import type { AgentId } from "../agent.ts";
import type { RosterEntry } from "./delegation.ts";
import type { Grant } from "./renewal.ts";
import { compareTokens } from "./token.ts";

/** The grants that a server reports, in a renewal or to a new grantor. */
export interface GrantReport {
  readonly id: AgentId;
  readonly held: readonly Grant[];
  /** Left out by agents of an earlier release. */
  readonly lapsed?: readonly Grant[] | undefined;
}

/** The grants under an ended lease that no other server can have. */
export function retainedGrants(
  report: GrantReport,
  roster: readonly RosterEntry[],
): readonly Grant[] {
  const since = roster.find(({ id }) => id === report.id)?.since;
  if (since === undefined) return [];
  const lapsed = report.lapsed ?? [];
  return lapsed.filter(({ token }) => compareTokens(token, since) > 0);
}
