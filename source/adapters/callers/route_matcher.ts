/**
 * Finds the service and key of a request's path, with find-my-way.
 *
 * @module
 */
import FindMyWay from "find-my-way";
import type { Service } from "../../core/document/document.ts";

/** The service and key that a path refers to. */
export interface RouteMatch {
  readonly service: Service;
  /** The part of the path that names the key; null when it has none. */
  readonly key: string | null;
}

/** Finds the service and key of a path; null when no route matches. */
export type MatchRoute = (path: string) => RouteMatch | null;

/** Compiles the routes of all services to one matcher. */
export function compileRoutes(services: readonly Service[]): MatchRoute {
  const router = FindMyWay({
    ignoreTrailingSlash: true,
    // Longer than any valid key, so that a longer one is refused as such.
    maxParamLength: 16_384,
  });
  for (const service of services) {
    for (const route of service.routes) {
      router.on("GET", route, () => undefined, service);
    }
  }
  return (path) => {
    const [pathname = path] = path.split("?", 1);
    const found = router.find("GET", pathname);
    if (found === null) return null;
    const key = found.params["key"] ?? null;
    return { service: found.store as Service, key };
  };
}
