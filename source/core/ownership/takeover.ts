/**
 * How a new grantor begins: from the store's roster and from what each server
 * reported, without touching what it could not hear of.
 *
 * @module
 */
import type { AgentId } from "../agent.ts";
import type { Clocks } from "../clocks.ts";
import type { RosterEntry } from "./delegation.ts";
import {
  delegationEnd,
  type GrantorSettings,
  type GrantorState,
  type Holder,
  type Slice,
} from "./grantor_state.ts";
import { freeUnreported } from "./unreported.ts";
import type { TakeoverAnswer } from "./renewal.ts";
import type { IsolatedKey } from "./table.ts";
import { compareTokens, type FencingToken, noToken } from "./token.ts";

/** All that a new grantor knows once it has asked everybody. */
export interface Takeover {
  readonly group: string;
  readonly epoch: number;
  readonly settings: GrantorSettings;
  readonly roster: readonly RosterEntry[];
  readonly answers: readonly TakeoverAnswer[];
  /** Whether no earlier grantor can renew a lease any more. */
  readonly earlierStopped: boolean;
  /** Whether there has been an earlier grantor. */
  readonly claimedFromOther: boolean;
  readonly formerDurationMilliseconds: number;
  /** When the epoch was asked of the store. */
  readonly askedAt: Clocks;
  readonly isolatedKeys: readonly IsolatedKey[];
  readonly now: Clocks;
}

/** The first state of a grantor, from what the servers reported. */
export function beginGrantor(takeover: Takeover): GrantorState {
  const holders = new Map(
    takeover.answers.map((
      answer,
    ) => [answer.id, reportedHolder(answer, takeover)]),
  );
  const sliceCount = countSlices(takeover);
  const slices = Array.from(
    { length: sliceCount },
    (_, slice) => reportedSlice(slice, takeover),
  );
  const state: GrantorState = {
    group: takeover.group,
    epoch: takeover.epoch,
    settings: takeover.settings,
    delegationEndsAt: delegationEnd(takeover.askedAt, takeover.settings),
    sequence: 0,
    assignsFrom: takeover.now.monotonic + takeover.settings.gatherMilliseconds,
    assigns: takeover.settings.gatherMilliseconds === 0,
    roster: takeover.roster,
    applicants: [],
    holders,
    unheard: unheardOf(takeover),
    slices,
    isolatedKeys: takeover.isolatedKeys,
    busyKeys: [],
    loads: new Map(),
    earlierMayGrant: takeover.claimedFromOther,
    writing: null,
  };
  return state.unheard.size === 0 ? freeUnreported(state) : state;
}

function countSlices(takeover: Takeover): number {
  const isolated = takeover.isolatedKeys.map((entry) => entry.slice + 1);
  return Math.max(takeover.settings.hashedSlices, ...isolated);
}

function reportedHolder(answer: TakeoverAnswer, takeover: Takeover): Holder {
  const entry = takeover.roster.find((entry) => entry.id === answer.id);
  return {
    id: answer.id,
    peerAddress: entry?.peerAddress ?? "",
    weight: answer.weight,
    weighings: 0,
    checksFencing: answer.checksFencing,
    leaving: answer.leaving,
    leaseEndsAt: takeover.now.monotonic +
      takeover.settings.leaseMilliseconds,
    tableVersion: noToken,
    settledVersion: noToken,
    settling: { version: noToken, since: takeover.now.monotonic },
  };
}

function reportedSlice(slice: number, takeover: Takeover): Slice {
  let newest: { owner: AgentId; token: FencingToken } | null = null;
  for (const answer of takeover.answers) {
    const grant = answer.held.find((grant) => grant.slice === slice);
    if (grant === undefined) continue;
    if (newest !== null && compareTokens(grant.token, newest.token) < 0) {
      continue;
    }
    newest = { owner: answer.id, token: grant.token };
  }
  if (newest !== null) return { kind: "held", ...newest };
  return {
    kind: "reserved",
    owner: null,
    token: noToken,
    availableAt: unheardGrantsEndAt(takeover),
  };
}

function unheardOf(takeover: Takeover): ReadonlySet<AgentId> {
  const answered = new Set(takeover.answers.map((answer) => answer.id));
  const ids = takeover.roster.map((entry) => entry.id);
  return new Set(ids.filter((id) => !answered.has(id)));
}

function unheardGrantsEndAt(takeover: Takeover): number {
  const { settings } = takeover;
  const former = takeover.earlierStopped
    ? 0
    : takeover.formerDurationMilliseconds;
  return takeover.now.monotonic + former + settings.leaseMilliseconds +
    settings.longestDeadlineMilliseconds;
}
