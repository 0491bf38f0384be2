/**
 * Leaves targets to the requests that can't run elsewhere.
 *
 * Some routes of a service are restricted to regions, others are not. Requests
 * of the others prefer near targets, and so fill those that the restricted ones
 * depend on, while targets in further regions are idle. Once the targets of such
 * a region are busy, unrestricted requests avoid them.
 *
 * @module
 */
import type { Agent } from "../agent.ts";

/**
 * From this mean load over slots on, the targets of a region are busy: further
 * requests would soon wait for each other.
 */
const busyUtilization = 0.75;

const noRegions: ReadonlySet<string> = new Set();

/** The restricted regions that are busy, unless all targets are in them. */
export function busyRestrictedRegions(
  restricted: ReadonlySet<string> = noRegions,
  options: {
    readonly targets: readonly Agent[];
    /** Load over slots as lately reported; null without a recent report. */
    readonly utilizationOf: (target: Agent) => number | null;
  },
): ReadonlySet<string> {
  if (restricted.size === 0) return noRegions;
  const { targets, utilizationOf } = options;
  const serving = targets.filter(({ phase }) => phase === "serving");
  if (serving.every(({ place }) => restricted.has(place.region))) {
    return noRegions;
  }
  const busy = [...restricted].filter((region) => {
    const reported = serving
      .filter(({ place }) => place.region === region)
      .flatMap((target) => utilizationOf(target) ?? []);
    const sum = reported.reduce((total, value) => total + value, 0);
    return reported.length > 0 && sum / reported.length >= busyUtilization;
  });
  return new Set(busy);
}
