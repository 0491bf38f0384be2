/**
 * Which waiting request starts next: first by rank, then by objective, and by
 * fair shares while clients compete.
 *
 * Invariants:
 * - no more requests run than the limit, and none starts before a cold target
 *   may be given it;
 * - a waiting rank that holds a share gets at least that share of the work, and
 *   beyond the shares the most urgent rank goes first.
 *
 * @module
 */
import { isStartFree, takeStart } from "./cold_start.ts";
import {
  expectedServiceTime,
  isRankContested,
  occupiedMilliseconds,
  recordShortage,
  type Work,
} from "./estimates.ts";
import type { AdmissionTransition } from "./events.ts";
import { firstInTurn, noUse, recordUse } from "./fair_shares.ts";
import { nextToStart } from "./objective_first.ts";
import { dequeue, queueOf } from "./queue.ts";
import { refusal, refuse } from "./refusal.ts";
import { startLimit } from "./reported_load.ts";
import {
  type AdmissionState,
  defaultServiceMilliseconds,
  type WaitingRequest,
} from "./state.ts";

/** The most starts that a rank may be owed, so that they don't pile up. */
const maxCredit = 2;

/** Starts waiting requests while there is a slot and a start for them. */
export function startQueued(
  before: AdmissionTransition,
  now: number,
): AdmissionTransition {
  let { state } = before;
  const effects = [...before.effects];
  while (mayStart(state, now)) {
    const rank = nextRank(state);
    if (rank === null) break;
    const next = nextOfRank(state, rank, now);
    if (next === undefined) break;
    state = dequeue(state, rank, next);
    if (next.deadlineAt <= now) {
      effects.push(refuse(next, refusal("deadline-passed")));
      continue;
    }
    const isLate = next.objectiveAt < now;
    state = start(state, next, { rank, now });
    if (isLate) state = recordShortage(state, next.client, { rank, now });
    effects.push({ kind: "start", id: next.id });
  }
  return { state, effects };
}

function mayStart(state: AdmissionState, now: number): boolean {
  return state.running.size < startLimit(state, now) &&
    isStartFree(state.coldStarts, now);
}

/** The rank that is owed the most starts, or else the most urgent waiting. */
function nextRank(state: AdmissionState): number | null {
  let owed: number | null = null;
  let urgent: number | null = null;
  state.waiting.forEach((queue, rank) => {
    if (queue.length === 0) return;
    urgent ??= rank;
    const credit = state.credits[rank] ?? 0;
    if (credit >= 1 && (owed === null || credit > (state.credits[owed] ?? 0))) {
      owed = rank;
    }
  });
  return owed ?? urgent;
}

function nextOfRank(
  state: AdmissionState,
  rank: number,
  now: number,
): WaitingRequest | undefined {
  const queue = queueOf(state, rank);
  const use = state.use[rank] ?? noUse;
  const index = nextToStart(queue, {
    now,
    serviceMillisecondsOf: ({ work }) =>
      expectedServiceTime(state, { rank, work }),
    ...(isRankContested(state, rank, now)
      ? { choose: (requests) => firstInTurn(requests, use, now) }
      : {}),
  });
  return queue[index];
}

function start(
  state: AdmissionState,
  { id, work, keyed, client, deadlineAt }: WaitingRequest,
  { rank, now }: { readonly rank: number; readonly now: number },
): AdmissionState {
  const request = { rank, work, keyed, startedAt: now, deadlineAt };
  const milliseconds = occupiedMilliseconds(state, request) ||
    defaultServiceMilliseconds;
  const use = recordUse(state.use[rank] ?? noUse, client, {
    milliseconds,
    now,
  });
  return {
    ...state,
    running: new Map(state.running).set(id, request),
    credits: creditsAfter(state, request),
    use: state.use.with(rank, use),
    coldStarts: state.coldStarts === null
      ? null
      : takeStart(state.coldStarts, now),
  };
}

/**
 * What each rank is owed after a start of one of them. A rank without waiting
 * requests keeps its credit: one with few or long requests earned it more slowly
 * than its requests can wait, and got next to nothing of its share.
 */
function creditsAfter(state: AdmissionState, started: Work): readonly number[] {
  return state.credits.map((credit, rank) => {
    if (rank === started.rank) return Math.max(0, credit - 1);
    const share = state.settings.ranks[rank]?.share ?? 0;
    const earned = share / (1 - share) * relativeWork(state, started, rank);
    return Math.min(maxCredit, credit + earned);
  });
}

/**
 * How many requests of a rank are as much work as this one, at most one. Shares
 * are parts of the work: a twentieth of the starts would be a third of the work
 * if requests of that rank took ten times as long. They are parts of the starts
 * as well: short requests of a lower rank otherwise started before nearly all
 * waiting requests of the ranks above.
 */
function relativeWork(
  state: AdmissionState,
  started: Work,
  rank: number,
): number {
  const typical = occupiedMilliseconds(state, { rank, work: null });
  const milliseconds = occupiedMilliseconds(state, started);
  return typical > 0 && milliseconds > 0
    ? Math.min(1, milliseconds / typical)
    : 1;
}
