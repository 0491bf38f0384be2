/**
 * The desired state as published by a platform, which validates and numbers it,
 * and its conversion to the configuration of an agent.
 *
 * @module
 */
import {
  type ColdStart,
  type Configuration,
  emptyConfiguration,
  type KeyPolicy,
  type Rank,
  type Service,
} from "../document/document.ts";
import type { RequestLimits, Route } from "./routes.ts";

/** A service of a desired state. */
export interface DesiredService {
  readonly name: string;
  /** Whether its requests have keys, which are divided among its targets. */
  readonly keyed: boolean;
  /** What its targets take shortly after their start; null for no bound. */
  readonly coldStart: ColdStart | null;
}

/** The configuration that operators want in force, at one version. */
export interface DesiredState {
  readonly version: number;
  readonly routes: readonly Route[];
  readonly services: readonly DesiredService[];
  readonly limits: RequestLimits;
}

/** Settings for all services that the desired state doesn't contain. */
export interface ServicePolicy {
  readonly keys: KeyPolicy;
  readonly queueLength: number;
  /** The part of the work guaranteed to each rank but the first, 0 to 1. */
  readonly lowerRankShare: number;
  /** The deadline of ranks, and of services to which no route leads. */
  readonly defaultDeadlineMilliseconds: number;
}

/** Converts a desired state to a configuration. */
export function configurationOfDesired(
  desired: DesiredState,
  policy: ServicePolicy,
): Configuration {
  const ranks = ranksOf(desired, policy);
  return {
    ...emptyConfiguration,
    revision: desired.version,
    ranks,
    services: desired.services.map((service) =>
      serviceOf(service, { desired, policy, ranks })
    ),
    hostRoutes: desired.routes,
    limits: desired.limits,
  };
}

/**
 * The index of the rank of a priority; the last rank if the priority is
 * unknown. Ranks are numbered without gaps.
 */
export function rankOfPriority(
  ranks: readonly Rank[],
  priority: number,
): number {
  const index = ranks.findIndex((rank) => rank.name === rankName(priority));
  return index < 0 ? Math.max(0, ranks.length - 1) : index;
}

function rankName(priority: number): string {
  return `priority-${priority}`;
}

function ranksOf(
  desired: DesiredState,
  policy: ServicePolicy,
): readonly Rank[] {
  const priorities = new Set(desired.routes.map((route) => route.priority));
  const ordered = [...priorities].sort((left, right) => left - right);
  return ordered.map((priority, index) => ({
    name: rankName(priority),
    share: index === 0 ? 0 : policy.lowerRankShare,
    defaultDeadlineMilliseconds: policy.defaultDeadlineMilliseconds,
  }));
}

function serviceOf(
  service: DesiredService,
  context: {
    readonly desired: DesiredState;
    readonly policy: ServicePolicy;
    readonly ranks: readonly Rank[];
  },
): Service {
  const { desired, policy, ranks } = context;
  const timeouts = desired.routes
    .filter((route) =>
      route.destinations.some((destination) =>
        destination.service === service.name
      )
    )
    .map((route) => route.timeoutMilliseconds);
  return {
    name: service.name,
    routes: [],
    keys: service.keyed ? policy.keys : null,
    defaultRank: ranks.at(-1)?.name ?? "",
    longestDeadlineMilliseconds: timeouts.length === 0
      ? policy.defaultDeadlineMilliseconds
      : Math.max(...timeouts),
    queueLength: policy.queueLength,
    longestBodyBytes: desired.limits.bodyBytes,
    coldStart: service.coldStart,
  };
}
