/**
 * Admission control at the agent of a target: which request runs next, which
 * waits, and which is refused before it starts. This is its step function; the
 * rules that it applies, and their invariants, are in the modules it imports.
 *
 * Invariant: every request that arrives is started or refused, exactly once,
 * unless it is withdrawn before; none starts after the close.
 *
 * @module
 */
import { recordSlowness } from "../load/target_load.ts";
import { changeColdRate, returnStart } from "./cold_start.ts";
import { noCompetition } from "./competition.ts";
import {
  type FinishKind,
  limitAfter,
  resizedLimit,
} from "./concurrency_limit.ts";
import {
  hasFairShares,
  isShortWork,
  occupiedMilliseconds,
  orderFor,
  recordMeasurement,
  recordOffered,
  recordShortage,
  slotsInUse,
  typicalMilliseconds,
} from "./estimates.ts";
import type { AdmissionEvent, AdmissionTransition, EventOf } from "./events.ts";
import {
  evictOverflow,
  queueAgain,
  refuseOfLargest,
  refuseOverdue,
  refuseWaiting,
} from "./evictions.ts";
import { noUse, unknownClient } from "./fair_shares.ts";
import { noOfferedWork, scaledOffered } from "./offered_work.ts";
import { enqueue, resizeQueues, withoutRequest } from "./queue.ts";
import { reasonToRefuse, refuse } from "./refusal.ts";
import { reportedAfter } from "./reported_load.ts";
import {
  type BookReturn,
  bookReturn,
  keepDelay,
  rescaleReturns,
} from "./return_schedule.ts";
import type { AdmissionSettings } from "./settings.ts";
import { bookRefusals, type RefusedRequest } from "./shortage.ts";
import { startQueued } from "./starts.ts";
import {
  type AdmissionState,
  type RunningRequest,
  waitingRank,
  type WaitingRequest,
} from "./state.ts";

/** Applies one event to admission. */
export function stepAdmission(
  state: AdmissionState,
  event: AdmissionEvent,
  book: BookReturn = bookReturn,
): AdmissionTransition {
  const next = decide(state, event);
  return "now" in event
    ? bookRefused(next, { before: state, event, book })
    : next;
}

function decide(
  state: AdmissionState,
  event: AdmissionEvent,
): AdmissionTransition {
  switch (event.kind) {
    case "arrived":
      return arrive(state, event);
    case "finished":
      return finish(state, event);
    case "withdrawn":
      return { state: withoutRequest(state, event.id), effects: [] };
    case "tick":
      return startQueued(refuseOverdue(state, event.now), event.now);
    case "settings":
      return { state: applySettings(state, event.settings), effects: [] };
    case "coldRate":
      return applyColdRate(state, event);
    case "refuseWaiting":
      return refuseWaiting(state);
    case "close":
      return refuseWaiting({ ...state, closed: true });
  }
}

/** Tells each caller that is refused for lack of capacity when to return. */
function bookRefused(
  { state, effects }: AdmissionTransition,
  { before, event, book }: {
    readonly before: AdmissionState;
    readonly event: AdmissionEvent & { readonly now: number };
    readonly book: BookReturn;
  },
): AdmissionTransition {
  const shares = state.settings.ranks.map(({ share }) => share);
  const booked = bookRefusals(effects, {
    returns: state.returns,
    capacity: { slots: slotsInUse(state), shares },
    use: state.use,
    requestOf: (id) => refusedRequest(id, { before, event }),
    hasFairShares: (rank) => hasFairShares(before, rank, event.now),
    book: state.settings.returnOrder ?? true ? book : keepDelay,
    now: event.now,
  });
  const recorded = booked.refused.reduce(
    (sum, { client, rank }) =>
      recordShortage(sum, client, { rank, now: event.now }),
    state,
  );
  return {
    state: { ...recorded, returns: booked.returns },
    effects: booked.effects,
  };
}

/** The refused request: the one that arrived, or one that waited before. */
function refusedRequest(
  id: number,
  { before, event }: {
    readonly before: AdmissionState;
    readonly event: AdmissionEvent;
  },
): RefusedRequest | null {
  if (event.kind === "arrived" && event.id === id) {
    const rank = waitingRank(before, event);
    return describeRefused(before, arrivedRequest(before, event, rank), rank);
  }
  for (const [rank, queue] of before.waiting.entries()) {
    const entry = queue.find((entry) => entry.id === id);
    if (entry !== undefined) return describeRefused(before, entry, rank);
  }
  return null;
}

function describeRefused(
  state: AdmissionState,
  { work, statedObjectiveAt, deadlineAt, client }: WaitingRequest,
  rank: number,
): RefusedRequest {
  const milliseconds = occupiedMilliseconds(state, { rank, work });
  const refused = { rank, milliseconds, deadlineAt, client };
  return statedObjectiveAt < deadlineAt
    ? { ...refused, objectiveAt: statedObjectiveAt }
    : refused;
}

function arrive(
  before: AdmissionState,
  event: EventOf<"arrived">,
): AdmissionTransition {
  const { now } = event;
  const rank = waitingRank(before, event);
  const entry = arrivedRequest(before, event, rank);
  const refused = reasonToRefuse(before, entry, { rank, now });
  const { work, client } = entry;
  const state = recordOffered(before, { rank, work, client, now });
  if (refused !== null) return { state, effects: [refuse(entry, refused)] };
  const orderOf = orderFor(state, rank, now);
  const evicted = evictOverflow(enqueue(state, rank, entry, orderOf), now);
  const timely = refuseOfLargest(evicted.state, rank, now);
  const effects = [...evicted.effects, ...timely.effects];
  return startQueued({ state: timely.state, effects }, now);
}

/** A request as it waits. One of short work may wait until its deadline. */
function arrivedRequest(
  state: AdmissionState,
  event: EventOf<"arrived">,
  rank: number,
): WaitingRequest {
  const { id, work = null, keyed = false, deadlineAt } = event;
  const { client = unknownClient, objectiveAt: stated = deadlineAt } = event;
  const isShort = isShortWork(state, { rank, work });
  const objectiveAt = isShort ? deadlineAt : stated;
  return {
    id,
    work,
    keyed,
    client,
    arrivedAt: event.now,
    statedObjectiveAt: stated,
    objectiveAt,
    deadlineAt,
  };
}

function finish(
  state: AdmissionState,
  event: EventOf<"finished">,
): AdmissionTransition {
  const { id, now } = event;
  const ended = state.running.get(id);
  if (ended === undefined) return { state, effects: [] };
  const running = new Map(state.running);
  running.delete(id);
  const slowness = recordSlowness(state.slowness, {
    slowness: event.slowness ?? null,
    now,
  });
  const left = {
    ...state,
    running,
    coldStarts: coldStartsAfter(state, ended, event.finish),
    slowness,
    reported: reportedAfter(state, ended, event),
    limit: limitAfter(state, event.finish),
  };
  const measured = hasRun(event.finish)
    ? recordMeasurement(left, ended, now)
    : left;
  return startQueued(refuseOverdue(measured, now), now);
}

/** Whether the target ran a request that ended so. */
function hasRun(finish: FinishKind): boolean {
  return finish === "answered" || finish === "failed";
}

/** Gives back the start of a request that a cold target doesn't count. */
function coldStartsAfter(
  { coldStarts }: AdmissionState,
  ended: RunningRequest,
  finish: FinishKind,
): AdmissionState["coldStarts"] {
  const uncounted = finish === "unused" || finish === "misdirected";
  return coldStarts !== null && uncounted
    ? returnStart(coldStarts, ended)
    : coldStarts;
}

/**
 * Ranks may change with the configuration. Requests keep the index of their
 * rank; those of removed ranks, waiting or running, move to the last one.
 */
function applySettings(
  state: AdmissionState,
  settings: AdmissionSettings,
): AdmissionState {
  const { ranks } = settings;
  return {
    ...state,
    settings,
    running: withinRanks(state.running, ranks.length),
    waiting: resizeQueues(state.waiting, ranks.length),
    limit: resizedLimit(state, settings),
    offered: ranks.map((_, rank) => state.offered[rank] ?? noOfferedWork),
    use: ranks.map((_, rank) => state.use[rank] ?? noUse),
    competition: ranks.map((_, rank) =>
      state.competition[rank] ?? noCompetition
    ),
    credits: ranks.map((_, rank) => state.credits[rank] ?? 0),
    serviceMilliseconds: ranks.map((_, rank) =>
      state.serviceMilliseconds[rank] ?? 0
    ),
  };
}

/** Moves the running requests of removed ranks to the last one. */
function withinRanks(
  running: AdmissionState["running"],
  count: number,
): AdmissionState["running"] {
  const moved = [...running].map(([id, request]) =>
    [id, { ...request, rank: Math.min(request.rank, count - 1) }] as const
  );
  return new Map(moved);
}

/** Refuses the waiting requests that a target that became cold can't start. */
function applyColdRate(
  state: AdmissionState,
  event: EventOf<"coldRate">,
): AdmissionTransition {
  const { now } = event;
  const coldStarts = changeColdRate(state.coldStarts, event);
  if (coldStarts === state.coldStarts) {
    return startQueued({ state, effects: [] }, now);
  }
  const changed = withColdStarts(state, coldStarts, now);
  return coldStarts === null
    ? startQueued({ state: changed, effects: [] }, now)
    : startQueued(queueAgain(changed, now), now);
}

/** Changes the starts, and what depends on how much the target can run. */
function withColdStarts(
  state: AdmissionState,
  coldStarts: AdmissionState["coldStarts"],
  now: number,
): AdmissionState {
  const changed = { ...state, coldStarts };
  const slots = slotsInUse(changed);
  const ratio = slots > 0 ? slotsInUse(state) / slots : 1;
  const factorOf = (rank: number) =>
    typicalMilliseconds(changed, rank) / typicalMilliseconds(state, rank);
  const ratioOf = (rank: number) => ratio * factorOf(rank);
  return {
    ...changed,
    // What clients have asked for is counted in another measure from now on.
    competition: state.competition.map(() => noCompetition),
    offered: state.offered.map((offered, rank) =>
      scaledOffered(offered, factorOf(rank))
    ),
    returns: rescaleReturns(state.returns, { ratioOf, factorOf, now }),
  };
}
