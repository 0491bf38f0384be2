/**
 * What an agent decides by itself on the platform: durations, sizes and
 * shares.
 *
 * @module
 */
import type { PlatformSettings } from "../../platform/settings.ts";
import type { HopLinkSettings } from "../adapters/hops/hop_links.ts";
import type { ConnectionSettings } from "../adapters/targets/connection_pool.ts";
import type { ServicePolicy } from "../core/routes/desired_state.ts";
import type { RetrySettings } from "../core/retry/retry.ts";
import type { CoordinatorTimes, GroupSettings } from "../tasks/coordinator.ts";
import type { DesiredStateTimes } from "../tasks/desired_state_source.ts";
import type { KeyGrantsTimes } from "../tasks/key_grants_task.ts";
import type { StopTimes } from "./stop.ts";

const callTimeoutMilliseconds = 400;

/** Durations of coordination, in milliseconds. */
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
  // Outlasts the store's usual outages; a lost grantor and server together
  // keep the server's keys unserved for as long.
  delegationMilliseconds: 24_000,
  relocationMilliseconds: 2_000,
  censusTimeoutMilliseconds: 1_500,
};

/** How a service's keys are divided among its targets. */
export const groupSettings: GroupSettings = {
  stripeSlices: 4,
  movesAtOnce: 16,
  toleratedShare: 0.3,
  isolatedKeys: 16,
  // No key gives its slice up: a target that is told ranges may still hold it.
  isolation: {
    minLoadShare: 0.08,
    minRequestsPerSecond: 4,
    coldBelowRequestsPerSecond: 0,
  },
  gatherMilliseconds: 1_500,
};

/** Durations of watching the desired state, in milliseconds. */
export const desiredStateTimes: DesiredStateTimes = {
  watchMilliseconds: 20_000,
  maxWatchLagMilliseconds: 300,
  retryMilliseconds: 400,
};

/** What holds for every service. */
export const servicePolicy: ServicePolicy = {
  keys: { groups: 1, slicesPerGroup: 512 },
  queueLength: 64,
  lowerRankShare: 0.05,
  defaultDeadlineMilliseconds: 2_000,
};

/** Connections to other agents. */
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
 * While keys change hands many requests fail at once; each asking for the
 * table anew would cost their owners more than the requests.
 */
export const shortestTableAgeMilliseconds = 250;

/** A target is silent after so many missed heartbeats. */
export const silentHeartbeats = 4;

export const admissionTickMilliseconds = 10;
export const bodyRoomTickMilliseconds = 50;
/** Targets state their slots, and refuse by themselves what is beyond. */
export const startShare = 1;
/** The longest wait of a request that has missed its objective. */
export const lateWaitMilliseconds = 100;
/** Above what any desired state allows callers to send. */
export const longestHeaderBytes = 65_536;
/** Bodies up to this size are kept, so that they can be sent again. */
export const keptBodyBytes = 524_288;

/** The longest between an order to a target and its late effect. */
const longestOrderDelayMilliseconds = 12_500;
const clockSlowShare = 0.02;

/** How targets are told which keys they hold. */
export function keyGrantsTimes(settings: PlatformSettings): KeyGrantsTimes {
  return {
    order: {
      longestDelayMilliseconds: longestOrderDelayMilliseconds,
      clockSlowShare,
    },
    retryMilliseconds: 200,
    renewBeforeMilliseconds: 1_600,
    maxHoldMilliseconds: settings.bounds.longestHoldMilliseconds,
  };
}

/** Agents that share the budget of repeats, until more are known. */
const assumedAgents = 18;
/** The part of the allowed ratio that is used: other repeats count too. */
const usedRatio = 0.6;

/** The budget of repeats of one agent, which so many share with it. */
export function retrySettings(
  settings: PlatformSettings,
  knownAgents: number,
): RetrySettings {
  const agents = Math.max(assumedAgents, knownAgents);
  return {
    earnedByRequest: settings.bounds.retryRatio * usedRatio,
    mostSaved: Math.max(1, settings.bounds.retrySlack / agents),
    firstDelayMilliseconds: 20,
    longestDelayMilliseconds: 150,
    longestWaitMilliseconds: 400,
  };
}

/** Two questions a second apart take a machine's callers away. */
const announceMilliseconds = 2_100;
/** What is left of the grace for leaving the coordination. */
const leavingMilliseconds = 900;
/** What is left of the grace for closing connections and ending. */
const closingMilliseconds = 300;

/** The store has so long to take the word of a planned stop. */
export const departureTimeoutMilliseconds = 300;

/** How long a planned stop may take. */
export function stopTimes(settings: PlatformSettings): StopTimes {
  const { graceMilliseconds } = settings.bounds;
  return {
    announceMilliseconds,
    timeoutMilliseconds: graceMilliseconds - leavingMilliseconds,
    answersMilliseconds: graceMilliseconds - closingMilliseconds,
    closesIdle: true,
  };
}
