/**
 * Routes by host and path prefix: to which service a request goes, and how it
 * may be handled.
 *
 * @module
 */

/** A service that receives a part of the requests of a route. */
export interface RouteDestination {
  readonly service: string;
  /** Its part, relative to the weights of the other destinations. */
  readonly weight: number;
}

/** A route as operators define it. */
export interface Route {
  readonly name: string;
  readonly host: string;
  /** Begins and ends with a slash. */
  readonly pathPrefix: string;
  /** Whether a request may run more than once. */
  readonly idempotent: boolean;
  /** The longest time that a caller waits for its answer. */
  readonly timeoutMilliseconds: number;
  /** The time within which an answer has its full worth. */
  readonly objectiveMilliseconds: number;
  /** The urgency of its requests; 0 is the most urgent. */
  readonly priority: number;
  /** How many targets one request may be sent to. */
  readonly maxAttempts: number;
  readonly destinations: readonly RouteDestination[];
  /** The regions whose targets may run its requests; empty for all. */
  readonly allowedRegions: readonly string[];
}

/** The maximum size and time of what a caller sends. */
export interface RequestLimits {
  readonly headerBytes: number;
  readonly bodyBytes: number;
  readonly headerMilliseconds: number;
  readonly idleMilliseconds: number;
}

/** Finds the route of a host and path; null when there is none. */
export type FindRoute = (host: string, path: string) => Route | null;

/** Indexes routes by host; the longest matching path prefix wins. */
export function indexRoutes(routes: readonly Route[]): FindRoute {
  const byHost = new Map<string, Route[]>();
  for (const route of routes) {
    const host = route.host.toLowerCase();
    const hostRoutes = byHost.get(host) ?? [];
    byHost.set(host, [...hostRoutes, route]);
  }
  for (const [host, hostRoutes] of byHost) {
    byHost.set(host, hostRoutes.toSorted(longestPrefixFirst));
  }
  return (host, path) => {
    const hostRoutes = byHost.get(host.toLowerCase()) ?? [];
    return hostRoutes.find((route) => path.startsWith(route.pathPrefix)) ??
      null;
  };
}

/** Returns an indexing function that builds the index of each list once. */
export function cachedRouteIndex(): (routes: readonly Route[]) => FindRoute {
  const indexes = new WeakMap<readonly Route[], FindRoute>();
  return (routes) => {
    const index = indexes.get(routes) ?? indexRoutes(routes);
    indexes.set(routes, index);
    return index;
  };
}

/** The host part of an authority such as `host:port`. */
export function hostOfAuthority(authority: string): string {
  return authority.split(":", 1)[0] ?? "";
}

function longestPrefixFirst(left: Route, right: Route): number {
  return right.pathPrefix.length - left.pathPrefix.length;
}

/**
 * Chooses the service of a request by the weights of its route; null when it
 * has no destinations.
 *
 * `random` returns a number from 0 up to but not including 1.
 */
export function chooseService(
  route: Route,
  random: () => number,
): string | null {
  const { destinations } = route;
  if (destinations.length === 1) return destinations[0]?.service ?? null;
  const total = destinations.reduce((sum, { weight }) => sum + weight, 0);
  let remaining = random() * total;
  for (const { service, weight } of destinations) {
    remaining -= weight;
    if (remaining < 0) return service;
  }
  return null;
}
