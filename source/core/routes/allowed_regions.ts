/**
 * Which regions may run the requests of a route, and which targets may own keys
 * of a service. An empty list of regions means no restriction.
 *
 * @module
 */
import { type Failure, notRun } from "../request/outcome.ts";
import type { Route } from "./routes.ts";

/**
 * When a request that no allowed target can take may be retried. Keys take 1 to
 * 2 s to move to an allowed region, and a lost target longer to return.
 */
const retryMilliseconds = 1_000;

/** Whether a target in this region may run a request; null if it is unknown. */
export function allowsRegion(
  allowedRegions: readonly string[],
  region: string | null,
): boolean {
  return allowedRegions.length === 0 ||
    (region !== null && allowedRegions.includes(region));
}

/** The failure of a request that no target in an allowed region can take. */
export function regionNotAllowed(): Failure {
  return notRun("region-not-allowed", retryMilliseconds);
}

const noRegions: ReadonlySet<string> = new Set();

/**
 * The regions that some route to a service is restricted to, while its other
 * routes may use further ones. Its requests depend on the targets there.
 */
export function restrictedRegions(
  routes: readonly Route[],
  service: string,
): ReadonlySet<string> {
  const regions = routes
    .filter(({ destinations }) =>
      destinations.some((destination) => destination.service === service)
    )
    .flatMap(({ allowedRegions }) => allowedRegions);
  return regions.length === 0 ? noRegions : new Set(regions);
}

/** Caches {@link restrictedRegions} for each list of routes. */
export function cachedRestrictedRegions(): typeof restrictedRegions {
  const byRoutes = new WeakMap<
    readonly Route[],
    Map<string, ReadonlySet<string>>
  >();
  return (routes, service) => {
    const cached = byRoutes.get(routes) ?? new Map();
    byRoutes.set(routes, cached);
    const regions = cached.get(service) ?? restrictedRegions(routes, service);
    cached.set(service, regions);
    return regions;
  };
}

/**
 * Whether targets of a service in this region may own keys: whether some route
 * to the service allows the region, or no route leads to the service.
 */
export function mayOwnKeys(
  routes: readonly Route[],
  target: { readonly service: string; readonly region: string },
): boolean {
  const leading = routes.filter(({ destinations }) =>
    destinations.some(({ service }) => service === target.service)
  );
  return leading.length === 0 ||
    leading.some(({ allowedRegions }) =>
      allowsRegion(allowedRegions, target.region)
    );
}
