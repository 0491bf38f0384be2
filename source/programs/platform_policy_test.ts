import assert from "node:assert/strict";
import { describe, it } from "node:test";
import {
  groupSettings,
  groupSettingsFor,
  weightLimit,
} from "./platform_policy.ts";

const withoutBound = { bounds: { coldRate: null } };
const withBound = { bounds: { coldRate: { overage: 1.5, slack: 8 } } };

/** A target that runs 30 requests a second. */
function target(cold: number | null, slowness: number) {
  return {
    coldRequestsPerSecond: () => cold,
    machineSlowness: () => slowness,
    throughput: () => 30,
  };
}

describe("the policy of a platform agent", () => {
  describe("without bounds of cold targets", () => {
    // Guards against other placement on deployments that didn't ask for it.
    it("divides slices as before, and limits no warm target", () => {
      assert.deepEqual(groupSettingsFor(withoutBound), groupSettings);
      assert.equal(weightLimit(withoutBound, target(null, 2)), null);
    });
  });

  describe("with bounds of cold targets", () => {
    it("moves load above capacity, within a budget", () => {
      const { unevenDemand } = groupSettingsFor(withBound);
      assert.equal(unevenDemand?.maxKeyShare, 0.08);
    });

    const cases = [
      { name: "a warm target", cold: null, slowness: 1, limit: null },
      { name: "a cold target", cold: 9.8, slowness: 2, limit: 9.8 },
      { name: "a slow machine", cold: null, slowness: 2, limit: 60 },
    ];
    for (const { name, cold, slowness, limit } of cases) {
      it(`limits ${name} to ${limit}`, () => {
        assert.equal(weightLimit(withBound, target(cold, slowness)), limit);
      });
    }
  });
});
