/**
 * A whole desired state, as a platform that judges and numbers it hands it
 * out, and the configuration that an agent makes of it.
 *
 * @module
 */
import {
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
  /** Whether its keys are divided among its targets. */
  readonly keyed: boolean;
}

/** What operators want in force, at one version. */
export interface DesiredState {
  readonly version: number;
  readonly routes: readonly Route[];
  readonly services: readonly DesiredService[];
  readonly limits: RequestLimits;
}

/** What an agent decides by itself for all services. */
export interface ServicePolicy {
  readonly keys: KeyPolicy;
  readonly queueLength: number;
  /** The part of the starts that each rank but the first keeps, 0 to 1. */
  readonly lowerRankShare: number;
  /** The longest deadline where no route leads to a service, milliseconds. */
  readonly usualDeadlineMilliseconds: number;
}

/** The configuration that stands for a desired state. */
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

/** The rank of a priority; ranks are numbered without gaps. */
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
    defaultDeadlineMilliseconds: policy.usualDeadlineMilliseconds,
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
      route.destinations.some((part) => part.service === service.name)
    )
    .map((route) => route.timeoutMilliseconds);
  return {
    name: service.name,
    routes: [],
    keys: service.keyed ? policy.keys : null,
    defaultRank: ranks.at(-1)?.name ?? "",
    longestDeadlineMilliseconds: timeouts.length === 0
      ? policy.usualDeadlineMilliseconds
      : Math.max(...timeouts),
    queueLength: policy.queueLength,
    longestBodyBytes: desired.limits.bodyBytes,
  };
}
