/**
 * Routing of requests without keys: to the nearest targets first, to farther
 * ones when the near ones are at capacity, and to none that keeps failing.
 *
 * Invariants:
 * - a target that is leaving or lost gets no new requests;
 * - a target in a region that is not allowed, or in an evacuated data centre,
 *   gets none either;
 * - at most half of the targets of one distance are ejected at one time.
 *
 * @module
 */
import { type Agent, type AgentId, distance, type Place } from "../agent.ts";
import {
  expectedWithSlowness,
  recordSlowness,
  type Slowness,
} from "../load/target_load.ts";
import { pickAnyPair, type PickPair } from "./candidate_pairs.ts";
import { busyRestrictedRegions } from "./restricted_regions.ts";
import { allowsRegion } from "../routes/allowed_regions.ts";

/** What an entry knows of one target from its own requests and replies. */
export interface TargetView {
  /** Requests of this entry that have not ended. */
  readonly inFlight: number;
  /** Requests running and waiting at the target, as of its last reply. */
  readonly reportedLoad: number;
  readonly reportedAt: number;
  /** How slow its machine is, by its own reports; null without any. */
  readonly slowness: Slowness | null;
  /** Moving average of the time to an answer, for each rank. */
  readonly typicalMilliseconds: ReadonlyMap<number, number>;
  /** When that was last updated. */
  readonly measuredAt: number;
  readonly consecutiveFailures: number;
  readonly ejections: number;
  readonly ejectedUntil: number;
  readonly firstSeenAt: number;
}

/** What an entry knows of the targets. */
export interface RoutingState {
  readonly views: ReadonlyMap<AgentId, TargetView>;
}

/** An event at a target. Times are monotonic, in milliseconds. */
export type RoutingEvent =
  | { readonly kind: "sent"; readonly id: AgentId; readonly now: number }
  | {
    readonly kind: "replied";
    readonly id: AgentId;
    readonly load: number | null;
    /** How long work takes there at this moment, 1 being usual. */
    readonly slowness?: number | null;
    readonly took?: RequestDuration;
    /** Whether the target itself answered with a failure. */
    readonly failure?: boolean;
    readonly now: number;
  }
  | {
    readonly kind: "failed";
    readonly id: AgentId;
    readonly took?: RequestDuration;
    readonly now: number;
  }
  | {
    readonly kind: "abandoned";
    readonly id: AgentId;
    readonly took?: RequestDuration;
    readonly now: number;
  };

/** How long a request took; left out where that says nothing of the target. */
export interface RequestDuration {
  readonly rank: number;
  readonly milliseconds: number;
}

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
}

const failuresBeforeEjection = 3;
const minEjectionMilliseconds = 1_000;
const maxEjectionMilliseconds = 30_000;
const maxEjectedShare = 0.5;
/** From this load over slots on, targets of other regions are considered. */
const spillThreshold = 1.5;
/** Added to the time of a target that is left to restricted requests. */
const restrictedMilliseconds = 100;
/** What distance adds to the time to an answer, by how links are billed. */
const distanceMilliseconds = [0, 8, 80] as const;
/** What each kilobyte of the request adds to that. */
const kilobyteMilliseconds = [0, 6, 30] as const;
/** The assumed time to an answer of a target that has given none. */
const defaultMilliseconds = 50;
/** Added to the time of a failed request, for what it costs its caller. */
const failurePenaltyMilliseconds = 1_000;
const minSmoothingFactor = 0.1;
/** Time constant of the moving average. */
const smoothingMilliseconds = 2_000;
/** An average that is older than this is stale. */
const measurementLifetimeMilliseconds = 3_000;
/** A newly seen target gets its full share after this time. */
const warmUpMilliseconds = 5_000;
/** An older report of load is ignored. */
const reportLifetimeMilliseconds = 1_000;

const initialView: Omit<TargetView, "firstSeenAt"> = {
  inFlight: 0,
  reportedLoad: 0,
  reportedAt: 0,
  slowness: null,
  typicalMilliseconds: new Map(),
  measuredAt: 0,
  consecutiveFailures: 0,
  ejections: 0,
  ejectedUntil: 0,
};

/** A state in which nothing is known of any target. */
export function createRouting(): RoutingState {
  return { views: new Map() };
}

/** Applies one event at a target. */
export function stepRouting(
  state: RoutingState,
  event: RoutingEvent,
): RoutingState {
  const view = state.views.get(event.id) ??
    { ...initialView, firstSeenAt: event.now };
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

function updateView(view: TargetView, event: RoutingEvent): TargetView {
  switch (event.kind) {
    case "sent":
      return { ...view, inFlight: view.inFlight + 1 };
    case "abandoned":
      return abandon(view, event);
    case "replied":
      return {
        ...view,
        inFlight: Math.max(0, view.inFlight - 1),
        reportedLoad: event.load ?? view.reportedLoad,
        reportedAt: event.load === null ? view.reportedAt : event.now,
        slowness: recordSlowness(view.slowness, {
          slowness: event.slowness ?? null,
          now: event.now,
        }),
        ...(event.failure === true ? penalizeFailure : updateEstimate)(
          view,
          event,
        ),
        consecutiveFailures: 0,
        ejections: 0,
      };
    case "failed":
      return afterFailure(
        { ...view, ...penalizeFailure(view, event) },
        event.now,
      );
  }
}

/** The estimated time to an answer. */
type TimeEstimate = Pick<TargetView, "typicalMilliseconds" | "measuredAt">;

interface EndedRequest {
  readonly took?: RequestDuration;
  readonly now: number;
}

/**
 * The longer ago the last answer came, the more the next one counts, because an
 * entry that sends a target few requests must learn from few answers.
 */
function updateEstimate(
  view: TargetView,
  { took, now }: EndedRequest,
): TimeEstimate {
  const { typicalMilliseconds } = view;
  if (took === undefined) return { typicalMilliseconds, measuredAt: now };
  const { rank, milliseconds } = took;
  const mean = typicalMilliseconds.get(rank) ?? milliseconds;
  const age = Math.max(0, now - view.measuredAt);
  const share = 1 - Math.exp(-age / smoothingMilliseconds);
  const next = mean +
    (milliseconds - mean) * Math.max(minSmoothingFactor, share);
  return {
    typicalMilliseconds: new Map(typicalMilliseconds).set(rank, next),
    measuredAt: now,
  };
}

function penalizeFailure(
  view: TargetView,
  { took, now }: EndedRequest,
): TimeEstimate {
  if (took === undefined) return view;
  const milliseconds = took.milliseconds + failurePenaltyMilliseconds;
  return updateEstimate(view, { took: { ...took, milliseconds }, now });
}

/** An abandoned request counts only if it took longer than an answer would. */
function abandon(view: TargetView, ended: EndedRequest): TargetView {
  const { took } = ended;
  const inFlight = Math.max(0, view.inFlight - 1);
  const typical = view.typicalMilliseconds.get(took?.rank ?? -1) ??
    defaultMilliseconds;
  const slow = took !== undefined && took.milliseconds > typical;
  return { ...view, inFlight, ...(slow ? updateEstimate(view, ended) : {}) };
}

function afterFailure(view: TargetView, now: number): TargetView {
  const consecutiveFailures = view.consecutiveFailures + 1;
  const inFlight = Math.max(0, view.inFlight - 1);
  if (consecutiveFailures < failuresBeforeEjection) {
    return { ...view, inFlight, consecutiveFailures };
  }
  const ejectionMilliseconds = Math.min(
    maxEjectionMilliseconds,
    minEjectionMilliseconds * 2 ** view.ejections,
  );
  return {
    ...view,
    inFlight,
    consecutiveFailures: 0,
    ejections: view.ejections + 1,
    ejectedUntil: now + ejectionMilliseconds,
  };
}

/** A target and its expected time to an answer. */
interface Candidate {
  readonly agent: Agent;
  readonly milliseconds: number;
  /** Load at the target over its slots. */
  readonly utilization: number;
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
      reportedUtilization(state, id, slots, query),
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

/** Load over slots as lately reported; null without a recent report. */
function reportedUtilization(
  state: RoutingState,
  id: AgentId,
  slots: number,
  { now }: RouteQuery,
): number | null {
  const view = state.views.get(id);
  if (view === undefined) return null;
  if (now - view.reportedAt >= reportLifetimeMilliseconds) return null;
  return view.reportedLoad / slots;
}

/** What a choice among the targets of one distance depends on. */
interface TierOptions {
  readonly query: RouteQuery;
  readonly tier: 0 | 1 | 2;
  /** Regions whose targets are left to requests that are restricted to them. */
  readonly avoidedRegions: ReadonlySet<string>;
}

function eligible(
  state: RoutingState,
  options: Pick<TierOptions, "query" | "tier">,
): readonly Agent[] {
  const { query, tier } = options;
  const members = query.targets.filter((agent) =>
    agent.phase === "serving" && distance(query.from, agent.place) === tier &&
    allowsRegion(query.allowedRegions ?? [], agent.place.region) &&
    query.evacuated?.has(agent.place.dataCenter) !== true
  );
  const notEjected = members.filter((agent) =>
    !isEjected(state, agent.id, query.now)
  );
  const enough = notEjected.length >= members.length * (1 - maxEjectedShare);
  const available = enough ? notEjected : members;
  return available.filter((agent) => !query.tried.has(agent.id));
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
    evaluateTarget(state, { ...options, agent })
  );
  return candidates.reduce((left, right) =>
    right.milliseconds < left.milliseconds ? right : left
  );
}

/** Estimates a target by what this entry has seen of it. */
function evaluateTarget(
  state: RoutingState,
  options: TierOptions & { readonly agent: Agent },
): Candidate {
  const { agent, query, avoidedRegions } = options;
  const distance = distanceMilliseconds[options.tier] +
    kilobyteMilliseconds[options.tier] * query.bodyBytes / 1_000 +
    (avoidedRegions.has(agent.place.region) ? restrictedMilliseconds : 0);
  const view = state.views.get(agent.id);
  if (view === undefined) {
    return {
      agent,
      utilization: 0,
      milliseconds: defaultMilliseconds + distance,
    };
  }
  const utilization = targetUtilization(view, {
    slots: agent.slots,
    now: query.now,
  });
  const expected = expectedWithSlowness(view.slowness, {
    milliseconds: expectedTime(view, query),
    now: query.now,
  });
  return {
    agent,
    utilization,
    milliseconds: expected * (1 + utilization) + distance,
  };
}

/**
 * A target that is avoided gives no answers, so its average must expire. Only
 * one request at a time then tries it again.
 */
function expectedTime(view: TargetView, query: RouteQuery): number {
  const stale = query.now - view.measuredAt > measurementLifetimeMilliseconds;
  if (stale && view.inFlight === 0) return defaultMilliseconds;
  return view.typicalMilliseconds.get(query.rank) ?? defaultMilliseconds;
}

function targetUtilization(
  view: TargetView,
  options: { readonly slots: number; readonly now: number },
): number {
  const { slots, now } = options;
  const fresh = now - view.reportedAt < reportLifetimeMilliseconds;
  const load = Math.max(view.inFlight, fresh ? view.reportedLoad : 0);
  const warmUpShare = Math.min(
    1,
    0.2 + (now - view.firstSeenAt) / warmUpMilliseconds,
  );
  return (load + view.inFlight / 2) / (slots * warmUpShare);
}
