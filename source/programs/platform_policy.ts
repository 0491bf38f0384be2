/**
 * The durations, sizes and shares of an agent on the platform that its settings
 * file doesn't hold, or that are derived from it.
 *
 * @module
 */
import type {
  PlatformBounds,
  PlatformSettings,
} from "../../platform/settings.ts";
import type { HopLinkSettings } from "../adapters/hops/hop_links.ts";
import type { ConnectionSettings } from "../adapters/targets/connection_pool.ts";
import type { AdmissionSettings } from "../core/admission/settings.ts";
import { type Configuration, serviceNamed } from "../core/document/document.ts";
import type { ServicePolicy } from "../core/routes/desired_state.ts";
import type { GrantorSettings } from "../core/ownership/grantor_state.ts";
import type { MoveBudgetSettings } from "../core/ownership/move_budget.ts";
import type { RetrySettings } from "../core/retry/retry.ts";
import type { TargetAdmission } from "../tasks/admission_task.ts";
import type { CoordinatorTimes, GroupSettings } from "../tasks/coordinator.ts";
import type { DeparturesTimes } from "../tasks/departures_task.ts";
import type { DesiredStateTimes } from "../tasks/desired_state_source.ts";
import type { KeyGrantsTimes } from "../tasks/key_grants_task.ts";
import type { ReportedKeysSettings } from "../tasks/reported_keys_task.ts";
import type { StopTimes } from "./stop.ts";

const callTimeoutMilliseconds = 400;

/** Durations for the coordination of agents. */
export const coordinatorTimes: CoordinatorTimes = {
  holder: {
    renewalMilliseconds: 1_000,
    retryMilliseconds: 200,
    callTimeoutMilliseconds,
    marginMilliseconds: 200,
  },
  grantor: {
    tickMilliseconds: 100,
    callTimeoutMilliseconds,
    storeRetryMilliseconds: 500,
  },
  gossip: { exchangeMilliseconds: 500, callTimeoutMilliseconds },
  leaseMilliseconds: 4_000,
  // Longer than typical outages of the store. If a grantor and a server are
  // lost together, the server's keys are not served for this long.
  delegationMilliseconds: 24_000,
  relocationMilliseconds: 2_000,
  censusTimeoutMilliseconds: 1_500,
};

/** How the slices of a service are divided among its targets. */
export const groupSettings: GroupSettings = {
  slicesPerStripe: 4,
  maxConcurrentMoves: 16,
  imbalanceTolerance: 0.3,
  isolatedKeys: 16,
  // With coldPerSecond 0 no isolated key gives its slice up to a busier one: a
  // target, which is granted ranges of keys, may still hold the key.
  isolation: {
    minLoadShare: 0.08,
    minRequestsPerSecond: 4,
    coldBelowRequestsPerSecond: 0,
  },
  initialAssignmentDelayMilliseconds: 1_500,
};

/** The settings of an agent, as far as they have bounds of cold targets. */
interface ColdBounds {
  readonly bounds: Pick<PlatformBounds, "coldRate">;
}

/** The budget for moves of slices. */
const unevenDemand: MoveBudgetSettings = {
  intervalMilliseconds: 10_000,
  maxKeyShare: 0.08,
  evenOutPart: 0.25,
  minStayMilliseconds: 10_000,
};
/**
 * Load above capacity has moves of its own, so that the others need not follow
 * differences that may be noise.
 */
const unevenDemandTolerance = 0.5;

/**
 * The same by the settings of an agent: where these have the bounds of cold
 * targets, load above capacity is moved first, within a budget.
 */
export function groupSettingsFor(
  { bounds }: ColdBounds,
): GroupSettings & Pick<GrantorSettings, "unevenDemand"> {
  if (bounds.coldRate === null) return groupSettings;
  const imbalanceTolerance = unevenDemandTolerance;
  return { ...groupSettings, imbalanceTolerance, unevenDemand };
}

/** The schema of renewals allows no more. */
const maxWeightLimit = 1_000_000;

/**
 * The most that a target takes at this moment, in requests a second; null
 * without a limit. A cold one takes its rate. One whose machine is slow takes
 * what it runs otherwise: it keeps its keys and is given no more.
 */
export function weightLimit(
  { bounds }: ColdBounds,
  target: Pick<
    TargetAdmission,
    "coldRequestsPerSecond" | "machineSlowness" | "throughput"
  >,
): number | null {
  const cold = target.coldRequestsPerSecond();
  if (cold !== null || bounds.coldRate === null) return cold;
  const slowness = target.machineSlowness();
  if (slowness === 1) return null;
  return Math.min(maxWeightLimit, target.throughput() * slowness);
}

/** Durations for watching the desired state. */
export const desiredStateTimes: DesiredStateTimes = {
  maxWatchMilliseconds: 20_000,
  watchIntervalMilliseconds: 1_000,
  maxWatchLagMilliseconds: 300,
  retryMilliseconds: 400,
  substituteRetryMilliseconds: 2_000,
  slowReadMilliseconds: 400,
  introductionMilliseconds: 300,
  maxSilenceMilliseconds: 1_500,
  reportMilliseconds: 500,
  maxReportAgeMilliseconds: 1_100,
};

/** Durations for keeping and learning the departures of targets. */
export const departuresTimes: DeparturesTimes = {
  maxKeepMilliseconds: 800,
  storeWaitMilliseconds: 1_000,
  callTimeoutMilliseconds,
  retryMilliseconds: 400,
};

/** The policy of every service. */
export const servicePolicy: ServicePolicy = {
  keys: { groups: 1, slicesPerGroup: 512 },
  queueLength: 64,
  lowerRankShare: 0.05,
  defaultDeadlineMilliseconds: 2_000,
};

/** Connections to other agents, for requests that don't go over links. */
export const connections: ConnectionSettings = {
  maxConnections: 64,
  connectTimeoutMilliseconds: 300,
  idleMilliseconds: 10_000,
  silenceMilliseconds: 700,
};

/** Links to other agents, for requests with small bodies. */
export const links: HopLinkSettings = {
  maxLinksPerAgent: 3,
  requestsPerLink: 6,
  connectTimeoutMilliseconds: 400,
  silenceMilliseconds: 700,
  longestBodyBytes: 16_384,
};

/**
 * An ownership table younger than this is not fetched again. When keys move,
 * many requests fail at once; if each of them fetched the table, this would cost
 * the owners more than the requests themselves.
 */
export const minTableAgeMilliseconds = 250;

/** A target counts as silent after this many missed heartbeats. */
export const maxMissedHeartbeats = 4;

/** Interval at which the admission task checks its queue. */
export const admissionTickMilliseconds = 10;
/** Interval at which the admission of large bodies is checked. */
export const bodyAdmissionTickMilliseconds = 50;
/**
 * The share of its slots that a new target is given at once. Targets report
 * their slots and refuse requests beyond them, so no warm-up is needed.
 */
const initialSlotShare = 1;
/** Maximum wait for a slot of a request that has missed its objective. */
const maxLateWaitMilliseconds = 100;
/**
 * Late requests count as ahead of an arriving one. Admitting requests as if
 * those would wait loses more answers than it gains (docs/design/competition.md).
 */
const discountsLate = false;
/** More than any desired state allows callers to send. */
export const maxHeaderBytes = 65_536;
/** Bodies up to this size are retained, so that they can be sent again. */
export const maxRetainedBodyBytes = 524_288;

/**
 * A connection of which nothing is read for so long while an answer waits is
 * closed. It is the idle time-out of callers in the users' deployments.
 */
export const maxUnreadMilliseconds = 15_000;

/**
 * Whether failing targets lose traffic. Not yet: a target answers with 500 when a
 * call that its request makes fails, which counts as its own failure, and the
 * other targets are full when that happens most.
 */
export const avoidsFailingTargets: boolean = false;

/** Settings of the admission of a service's target with so many slots. */
export function admissionSettings(
  configuration: Configuration,
  target: {
    readonly service: string;
    readonly slots: number;
    /** Whether targets of the deployment may differ in what they can run. */
    readonly unevenTargets: boolean;
  },
): AdmissionSettings {
  const service = serviceNamed(configuration, target.service);
  const { ranks } = configuration;
  return {
    slots: target.slots,
    ranks: ranks.length > 0 ? ranks : [{ name: "any", share: 0 }],
    queueLength: service?.queueLength ?? servicePolicy.queueLength,
    initialShare: initialSlotShare,
    maxLateWaitMilliseconds,
    discountsLate,
    limitsByReport: target.unevenTargets,
    fairShares: target.unevenTargets,
  };
}

/** The maximum time between sending an order to a target and its effect. */
const maxOrderDelayMilliseconds = 12_500;
/** The share by which the clock of a target may run slow. */
const maxClockSlowShare = 0.02;

/** Durations for granting keys to targets. */
export function keyGrantsTimes(settings: PlatformSettings): KeyGrantsTimes {
  return {
    order: {
      maxDelayMilliseconds: maxOrderDelayMilliseconds,
      maxClockSlowShare,
    },
    retryMilliseconds: 200,
    renewBeforeMilliseconds: 1_600,
    maxHoldMilliseconds: settings.bounds.maxHoldMilliseconds,
  };
}

/** Settings for a target that learns its keys from answers to heartbeats. */
export function reportedKeysSettings(
  settings: PlatformSettings,
): ReportedKeysSettings {
  return {
    // No answer, of this agent or of a former one, goes beyond its lease.
    maxHoldMilliseconds: Math.min(
      settings.bounds.maxHoldMilliseconds,
      coordinatorTimes.leaseMilliseconds,
    ),
    maxClockSlowShare,
    answerMilliseconds: 1_000,
    checkMilliseconds: 200,
  };
}

/** The number of agents that share the retry budget, until more are known. */
const minAssumedAgents = 18;
/**
 * The share of the allowed retry ratio that this budget uses. The rest is for
 * retries that are not charged to it.
 */
const usedRetryShare = 0.6;

/**
 * The retry budget of one agent: its part of the platform's budget, which is
 * divided among the known agents.
 */
export function retrySettings(
  settings: PlatformSettings,
  knownAgents: number,
): RetrySettings {
  const agents = Math.max(minAssumedAgents, knownAgents);
  return {
    earnedByRequest: settings.bounds.retryRatio * usedRetryShare,
    maxSaved: Math.max(1, settings.bounds.retrySlack / agents),
    firstDelayMilliseconds: 20,
    maxDelayMilliseconds: 150,
    maxWaitMilliseconds: 400,
    loanTimeoutMilliseconds: callTimeoutMilliseconds,
  };
}

/**
 * Callers stop sending to a host after two readiness checks, which are a second
 * apart.
 */
const announceMilliseconds = 2_100;
/** The end of the grace period, reserved for leaving the coordination. */
const leaveReserveMilliseconds = 900;
/** The end of the grace period, reserved for closing connections. */
const closeReserveMilliseconds = 300;

/** Timeout for writing to the store that this agent has stopped. */
export const departureTimeoutMilliseconds = 300;

/** Durations of a planned stop within the grace period of the settings. */
export function stopTimes(settings: PlatformSettings): StopTimes {
  const { graceMilliseconds } = settings.bounds;
  return {
    announceMilliseconds,
    timeoutMilliseconds: graceMilliseconds - leaveReserveMilliseconds,
    drainTimeoutMilliseconds: graceMilliseconds - closeReserveMilliseconds,
    closesIdle: true,
  };
}
