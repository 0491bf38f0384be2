/**
 * Settings of the groups of a service's keys, and those of their grantors.
 *
 * @module
 */
import type { Configuration } from "../core/document/document.ts";
import type { GrantorSettings } from "../core/ownership/grantor_state.ts";
import { groupPrefix } from "../core/ownership/table.ts";

/** Settings for the distribution of a group's slices among its servers. */
export type GroupSettings = Pick<
  GrantorSettings,
  | "slicesPerStripe"
  | "maxConcurrentMoves"
  | "imbalanceTolerance"
  | "isolatedKeys"
  | "isolation"
  | "unevenDemand"
  | "initialAssignmentDelayMilliseconds"
>;

/** Default settings, for groups of many servers and keys. */
export const defaultGroupSettings: GroupSettings = {
  slicesPerStripe: 1,
  maxConcurrentMoves: 8,
  imbalanceTolerance: 0.2,
  isolatedKeys: 32,
  isolation: {
    minLoadShare: 0.25,
    minRequestsPerSecond: 50,
    coldBelowRequestsPerSecond: 25,
  },
  initialAssignmentDelayMilliseconds: 0,
};

/**
 * The settings of the grantor of a group; null while the configuration has no
 * keys for it.
 */
export function grantorSettings(
  group: string,
  options: {
    readonly times: Pick<
      GrantorSettings,
      "leaseMilliseconds" | "delegationMilliseconds"
    >;
    readonly configuration: Configuration;
    readonly sizes: GroupSettings;
  },
): GrantorSettings | null {
  const { times, configuration, sizes } = options;
  const service = configuration.services.find((service) =>
    group.startsWith(groupPrefix(service.name))
  );
  if (service === undefined || service.keys === null) return null;
  return {
    leaseMilliseconds: times.leaseMilliseconds,
    longestDeadlineMilliseconds: service.longestDeadlineMilliseconds,
    hashedSlices: service.keys.slicesPerGroup,
    ...sizes,
    delegationMilliseconds: times.delegationMilliseconds,
  };
}
