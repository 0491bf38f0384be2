/**
 * Routing of requests without keys: to the nearest targets first, to farther
 * ones when the near ones are at capacity, and to none that keeps failing.
 *
 * Invariants:
 * - a target that is leaving or lost gets no new requests;
 * - a target in a region that is not allowed, or in an evacuated data centre,
 *   gets none either;
 * - at most half of the targets of one distance are ejected at one time;
 * - failing targets are left out only while another one can be chosen.
 *
 * @module
 */
import { type Agent, type AgentId, distance, type Place } from "../agent.ts";
import { allowsRegion } from "../routes/allowed_regions.ts";
import { pickAnyPair, type PickPair } from "./candidate_pairs.ts";
import {
  type Candidate,
  type Consideration,
  evaluateTarget,
  reportedUtilization,
} from "./expected_answers.ts";
import { leaveOutNone, type LeavesOut } from "./failing_targets.ts";
import { busyRestrictedRegions } from "./restricted_regions.ts";
import {
  createView,
  type TargetEvent,
  type TargetView,
  updateView,
} from "./target_views.ts";

/** What an entry knows of the targets. */
export interface RoutingState {
  readonly views: ReadonlyMap<AgentId, TargetView>;
}

/** An event at one of the targets. */
export type RoutingEvent = TargetEvent & { readonly id: AgentId };

/** The request that a target is chosen for. */
export interface RouteQuery {
  readonly from: Place;
  /** The regions whose targets may run it; empty or left out for all. */
  readonly allowedRegions?: readonly string[];
  /**
   * The regions that other requests of its service are restricted to, while it
   * may run anywhere; none when left out.
   */
  readonly restrictedRegions?: ReadonlySet<string>;
  /** Data centres whose targets may not run it; none when left out. */
  readonly evacuated?: ReadonlySet<string>;
  readonly targets: readonly Agent[];
  readonly rank: number;
  readonly bodyBytes: number;
  /** Targets that have been tried for this request. */
  readonly tried: ReadonlySet<AgentId>;
  readonly now: number;
  /** Returns a number from 0 up to but not including 1. */
  readonly random: () => number;
  /** Draws the targets to compare; any of them when left out. */
  readonly pickPair?: PickPair;
  /** Which failing targets it leaves out; none when left out. */
  readonly leavesOut?: LeavesOut;
}

const maxEjectedShare = 0.5;
/** From this load over slots on, targets of other regions are considered. */
const spillThreshold = 1.5;

/** A state in which nothing is known of any target. */
export function createRouting(): RoutingState {
  return { views: new Map() };
}

/** Applies one event at a target. */
export function stepRouting(
  state: RoutingState,
  event: RoutingEvent,
): RoutingState {
  const view = state.views.get(event.id) ?? createView(event.now);
  const views = new Map(state.views).set(event.id, updateView(view, event));
  return { views };
}

/** Removes all targets but those that are present. */
export function forgetTargets(
  state: RoutingState,
  present: ReadonlySet<AgentId>,
): RoutingState {
  const views = [...state.views].filter(([id]) => present.has(id));
  return views.length === state.views.size ? state : { views: new Map(views) };
}

/** A choice, and the failing targets that were left out of it. */
export interface RouteChoice {
  /** Null when no target is eligible. */
  readonly target: Agent | null;
  readonly leftOut: ReadonlySet<AgentId>;
}

/** Chooses among the targets that don't fail, or among all if there are none. */
export function chooseHealthyTarget(
  state: RoutingState,
  query: RouteQuery,
): RouteChoice {
  const leftOut = failingTargets(state, query);
  if (leftOut.size > 0) {
    const tried = new Set([...query.tried, ...leftOut]);
    const target = chooseTarget(state, { ...query, tried });
    if (target !== null) return { target, leftOut };
  }
  return { target: chooseTarget(state, query), leftOut: new Set() };
}

function failingTargets(
  state: RoutingState,
  query: RouteQuery,
): ReadonlySet<AgentId> {
  const { now, random, leavesOut = leaveOutNone } = query;
  const targets = query.targets.filter((agent) => mayServe(agent, query));
  const sharesLeft = targets.reduce(
    (sum, { id }) => sum + (state.views.get(id)?.health.share ?? 1),
    0,
  );
  const meanShare = sharesLeft / targets.length;
  const failing = targets.filter(({ id }) => {
    const view = state.views.get(id);
    if (view === undefined) return false;
    const { health, inFlight } = view;
    return leavesOut({ health, meanShare, inFlight, now }, random);
  });
  return new Set(failing.map(({ id }) => id));
}

/**
 * Chooses the target with the shortest expected time to an answer; null when
 * none is eligible. Other regions are considered only when no near target has
 * capacity, or when the near one is left to requests that can't go elsewhere.
 */
export function chooseTarget(
  state: RoutingState,
  query: RouteQuery,
): Agent | null {
  const avoidedRegions = busyRestrictedRegions(query.restrictedRegions, {
    targets: query.targets,
    utilizationOf: ({ id, slots }) =>
      reportedUtilization(state.views.get(id), { slots, now: query.now }),
  });
  let best: Candidate | null = null;
  for (const tier of [0, 1, 2] as const) {
    const spills = best === null || best.utilization >= spillThreshold ||
      avoidedRegions.has(best.agent.place.region);
    if (tier === 2 && !spills) break;
    const candidate = betterOfTwo(state, { query, tier, avoidedRegions });
    if (candidate === null) continue;
    if (best === null || candidate.milliseconds < best.milliseconds) {
      best = candidate;
    }
  }
  return best?.agent ?? null;
}

/** What a choice among the targets of one distance depends on. */
interface TierOptions extends Pick<Consideration, "tier" | "avoidedRegions"> {
  readonly query: RouteQuery;
}

function eligible(
  state: RoutingState,
  options: Pick<TierOptions, "query" | "tier">,
): readonly Agent[] {
  const { query, tier } = options;
  const members = query.targets.filter((agent) =>
    distance(query.from, agent.place) === tier && mayServe(agent, query)
  );
  const notEjected = members.filter((agent) =>
    !isEjected(state, agent.id, query.now)
  );
  const enough = notEjected.length >= members.length * (1 - maxEjectedShare);
  const available = enough ? notEjected : members;
  return available.filter((agent) => !query.tried.has(agent.id));
}

/** Whether a target may get the request, whatever is known of its health. */
function mayServe(
  { phase, place }: Agent,
  { allowedRegions = [], evacuated }: RouteQuery,
): boolean {
  return phase === "serving" && allowsRegion(allowedRegions, place.region) &&
    evacuated?.has(place.dataCenter) !== true;
}

function isEjected(state: RoutingState, id: AgentId, now: number): boolean {
  return (state.views.get(id)?.ejectedUntil ?? 0) > now;
}

/** A request that leaves its region has no reason to go to an avoided one. */
function withoutAvoided(
  members: readonly Agent[],
  { tier, avoidedRegions }: TierOptions,
): readonly Agent[] {
  if (tier < 2 || avoidedRegions.size === 0) return members;
  const others = members.filter(({ place }) =>
    !avoidedRegions.has(place.region)
  );
  return others.length > 0 ? others : members;
}

function betterOfTwo(
  state: RoutingState,
  options: TierOptions,
): Candidate | null {
  const { query } = options;
  const members = withoutAvoided(eligible(state, options), options);
  if (members.length === 0) return null;
  const { pickPair = pickAnyPair } = query;
  const candidates = pickPair(members, query.random).map((agent) =>
    evaluateTarget(agent, state.views.get(agent.id), { ...query, ...options })
  );
  return candidates.reduce((left, right) =>
    right.milliseconds < left.milliseconds ? right : left
  );
}
