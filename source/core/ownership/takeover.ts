/**
 * Creates the first state of a new grantor from the stored roster, the servers'
 * answers and the former grantor's handover. Slices that may be held by servers
 * that have not answered are reserved.
 *
 * @module
 */
import type { AgentId } from "../agent.ts";
import type { Clocks } from "../clocks.ts";
import type { RosterEntry } from "./delegation.ts";
import { slicesFromHandover } from "./handover.ts";
import type { Handover } from "./handover_message.ts";
import { retainedGrants } from "./retained_grants.ts";
import {
  delegationEnd,
  type GrantorSettings,
  type GrantorState,
  type Holder,
  type Slice,
} from "./grantor_state.ts";
import {
  freeUnreportedSlices,
  hasAllReports,
  sliceFromBase,
} from "./unreported_slices.ts";
import { fullBudget } from "./move_budget.ts";
import type { Grant, TakeoverAnswer } from "./renewal.ts";
import type { IsolatedKey } from "./table.ts";
import { compareTokens, type FencingToken, noToken } from "./token.ts";

/** What a new grantor knows once the servers have been asked. */
export interface Takeover {
  readonly group: string;
  readonly epoch: number;
  readonly settings: GrantorSettings;
  readonly roster: readonly RosterEntry[];
  readonly answers: readonly TakeoverAnswer[];
  /** Whether all earlier grantors have stopped, so that none renews a lease. */
  readonly earlierStopped: boolean;
  /** Whether there has been an earlier grantor. */
  readonly hasEarlierGrantor: boolean;
  readonly formerDelegationMilliseconds: number;
  /** The handover of the former grantor; left out if there is none. */
  readonly handover?: Handover | undefined;
  /** When the store was asked for the epoch. */
  readonly askedAt: Clocks;
  readonly isolatedKeys: readonly IsolatedKey[];
  /** Until when servers outside the roster may have grants; null for none. */
  readonly unlistedUntil?: number | null;
  readonly now: Clocks;
}

/** The first state of a grantor after a takeover. */
export function createGrantor(takeover: Takeover): GrantorState {
  const holders = new Map(
    takeover.answers.map((
      answer,
    ) => [answer.id, reportedHolder(answer, takeover)]),
  );
  const slices = createSlices(takeover);
  const state: GrantorState = {
    group: takeover.group,
    epoch: takeover.epoch,
    settings: takeover.settings,
    delegationEndsAt: delegationEnd(takeover.askedAt, takeover.settings),
    sequence: restoredSequence,
    assignmentStartsAt: takeover.now.monotonic +
      takeover.settings.initialAssignmentDelayMilliseconds,
    assignmentStarted:
      takeover.settings.initialAssignmentDelayMilliseconds === 0 ||
      isMostlyHeld(slices),
    roster: takeover.roster,
    applicants: [],
    applicantsSince: null,
    holders,
    unresponsive: unresponsiveServers(takeover),
    unlistedUntil: takeover.unlistedUntil ?? null,
    slices,
    isolatedKeys: takeover.isolatedKeys,
    busyKeys: [],
    loads: new Map(),
    moveBudget: fullBudget,
    earlierMayGrant: takeover.hasEarlierGrantor,
    mayBeSuperseded: false,
    rosterChanged: false,
    unconfirmed: null,
  };
  return hasAllReports(state) ? freeUnreportedSlices(state) : state;
}

/** Sequence of the tokens for grants that are restored after an ended lease. */
const restoredSequence = 1;

/**
 * Whether more than half of the slices are held. If so the group's servers have
 * joined, and free slices need not wait for more of them.
 */
function isMostlyHeld(slices: readonly Slice[]): boolean {
  const held = slices.filter((slice) => slice.kind === "held");
  return held.length * 2 > slices.length;
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
    weightLimit: answer.weightLimit,
    samples: 0,
    checksFencing: answer.checksFencing,
    leaving: answer.leaving,
    leaseHadExpired: false,
    leaseEndsAt: takeover.now.monotonic +
      takeover.settings.leaseMilliseconds,
    tableVersion: noToken,
    settledVersion: noToken,
    settling: { version: noToken, since: takeover.now.monotonic },
  };
}

/** The slices that servers reported; of two reports the newer one counts. */
function reportedSlices(takeover: Takeover): ReadonlyMap<number, Slice> {
  const newest = new Map<number, FencingToken>();
  const slices = new Map<number, Slice>();
  function record(
    owner: AgentId,
    grant: Grant,
    token: FencingToken = grant.token,
  ): void {
    const known = newest.get(grant.slice);
    if (known !== undefined && compareTokens(grant.token, known) < 0) return;
    newest.set(grant.slice, grant.token);
    slices.set(grant.slice, { kind: "held", owner, token });
  }
  const restored = { epoch: takeover.epoch, sequence: restoredSequence };
  for (const answer of takeover.answers) {
    for (const grant of answer.held) record(answer.id, grant);
    for (const grant of retainedGrants(answer, takeover.roster)) {
      record(answer.id, grant, restored);
    }
  }
  return slices;
}

function createSlices(takeover: Takeover): readonly Slice[] {
  const reported = reportedSlices(takeover);
  const createUnreported = createUnreportedSlices(takeover);
  return Array.from(
    { length: countSlices(takeover) },
    (_, slice) => reported.get(slice) ?? createUnreported(slice, reported),
  );
}

/** Returns a function that creates the state of a slice nobody reported. */
function createUnreportedSlices(
  takeover: Takeover,
): (slice: number, reported: ReadonlyMap<number, Slice>) => Slice {
  const { handover, now } = takeover;
  const unknown: Slice = {
    kind: "reserved",
    owner: null,
    token: noToken,
    availableAt: unreportedGrantsEndAt(takeover),
  };
  if (handover === undefined) return () => unknown;
  const answered = new Set(takeover.answers.map(({ id }) => id));
  const known = slicesFromHandover(handover, {
    now: now.monotonic,
    hasAnswered: (id) => answered.has(id),
  });
  const token = { epoch: takeover.epoch, sequence: restoredSequence };
  return (slice, reported) => {
    const found = known[slice] ?? null;
    if (found !== null) return found;
    // The holder of the base may serve the key and not know of its own slice.
    const base = takeover.isolatedKeys.find((key) => key.slice === slice)?.base;
    if (base === undefined) return { kind: "free" };
    return sliceFromBase(reported.get(base) ?? known[base] ?? undefined, token);
  };
}

function unresponsiveServers(takeover: Takeover): ReadonlySet<AgentId> {
  const answered = new Set(takeover.answers.map((answer) => answer.id));
  const ids = takeover.roster.map((entry) => entry.id);
  return new Set(ids.filter((id) => !answered.has(id)));
}

function unreportedGrantsEndAt(takeover: Takeover): number {
  const { settings } = takeover;
  const former = takeover.earlierStopped
    ? 0
    : takeover.formerDelegationMilliseconds;
  const end = takeover.now.monotonic + former + settings.leaseMilliseconds +
    settings.longestDeadlineMilliseconds;
  return Math.max(end, takeover.unlistedUntil ?? end);
}
