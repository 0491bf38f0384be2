/**
 * What an entry knows of a target from its own requests and replies: how much
 * it runs, how long it usually takes, and whether it keeps failing.
 *
 * @module
 */
import { recordSlowness, type Slowness } from "../load/target_load.ts";
import {
  entrySmoothingFactor,
  type ObservedHealth,
  recordEnd,
  unknownHealth,
} from "../target/observed_health.ts";

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
  /** What its requests saw of it. */
  readonly health: ObservedHealth;
}

/** What happened at a target. Times are monotonic, in milliseconds. */
export type TargetEvent =
  | { readonly kind: "sent"; readonly now: number }
  | {
    readonly kind: "replied";
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
    readonly took?: RequestDuration;
    /** Whether its agent refused it because the target fails requests. */
    readonly failing?: boolean;
    readonly now: number;
  }
  | {
    readonly kind: "abandoned";
    readonly took?: RequestDuration;
    readonly now: number;
  };

/** How long a request took; left out where that says nothing of the target. */
export interface RequestDuration {
  readonly rank: number;
  readonly milliseconds: number;
}

const failuresBeforeEjection = 3;
const minEjectionMilliseconds = 1_000;
const maxEjectionMilliseconds = 30_000;
/** The assumed time to an answer of a target that has given none. */
export const defaultMilliseconds = 50;
/** Added to the time of a failed request, for what it costs its caller. */
const failurePenaltyMilliseconds = 1_000;
/** An abandoned request that took this multiple shows a silent target. */
const silenceFactor = 2;
const minSmoothingFactor = 0.1;
/** Time constant of the moving average. */
const smoothingMilliseconds = 2_000;

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
  health: unknownHealth,
};

/** A view of a target of which nothing is known. */
export function createView(now: number): TargetView {
  return { ...initialView, firstSeenAt: now };
}

/** Applies one event at a target. */
export function updateView(view: TargetView, event: TargetEvent): TargetView {
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
        health: recordEnd(
          view.health,
          { kind: event.failure === true ? "failed" : "answered" },
          { now: event.now, maxWeight: entrySmoothingFactor },
        ),
      };
    case "failed":
      return afterFailure(
        {
          ...view,
          ...penalizeFailure(view, event),
          ...failedHealth(view, event),
        },
        event.now,
      );
  }
}

/** The estimated time to an answer. */
type TimeEstimate = Pick<TargetView, "typicalMilliseconds" | "measuredAt">;

interface EndedRequest {
  readonly took?: RequestDuration;
  readonly failing?: boolean;
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

/** Most refusals show how full a target is, not how it works. */
function failedHealth(
  { health }: TargetView,
  { took, failing = false, now }: EndedRequest,
): Pick<TargetView, "health"> {
  if (took === undefined && !failing) return { health };
  const options = { now, maxWeight: entrySmoothingFactor };
  return { health: recordEnd(health, { kind: "failed" }, options) };
}

/** An abandoned request counts only if it took longer than an answer would. */
function abandon(view: TargetView, ended: EndedRequest): TargetView {
  const { took } = ended;
  const inFlight = Math.max(0, view.inFlight - 1);
  const typical = view.typicalMilliseconds.get(took?.rank ?? -1) ??
    defaultMilliseconds;
  const slow = took !== undefined && took.milliseconds > typical;
  if (!slow) return { ...view, inFlight };
  const silent = took.milliseconds > typical * silenceFactor;
  return {
    ...view,
    inFlight,
    ...updateEstimate(view, ended),
    ...(silent ? failedHealth(view, ended) : {}),
  };
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
