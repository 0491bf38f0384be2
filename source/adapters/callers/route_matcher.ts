/**
 * Finds the service and key of a request's path, by library.
 *
 * @module
 */
import FindMyWay from "find-my-way";
import type { Service } from "../../core/document/document.ts";

/** What a path stands for. */
export interface RouteMatch {
  readonly service: Service;
  /** The part of the path that names the key; null when it has none. */
  readonly key: string | null;
}

/** Finds the service of a path; null when no service has it. */
export type MatchRoute = (path: string) => RouteMatch | null;

/** Builds the matcher of a configuration's services. */
export function compileRoutes(services: readonly Service[]): MatchRoute {
  const router = FindMyWay({
    ignoreTrailingSlash: true,
    // Longer than any key, so that a long one gets its own refusal.
    maxParamLength: 16_384,
  });
  for (const service of services) {
    for (const route of service.routes) {
      router.on("GET", route, () => undefined, service);
    }
  }
  return (path) => {
    const [plain = path] = path.split("?", 1);
    const found = router.find("GET", plain);
    if (found === null) return null;
    const key = found.params["key"] ?? null;
    return { service: found.store as Service, key };
  };
}
