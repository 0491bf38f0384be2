import assert from "node:assert/strict";
import { describe, it } from "node:test";
import {
  groupSettings,
  groupSettingsFor,
  weightLimit,
} from "./platform_policy.ts";

const withoutBound = {
  bounds: {
    maxHoldMilliseconds: 10_000,
    drainMilliseconds: 5_000,
    retryWindowMilliseconds: 10_000,
    graceMilliseconds: 10_000,
    retryRatio: 0.2,
    retrySlack: 160,
    evacuationMilliseconds: null,
    coldRate: null,
  },
};
const withBound = {
  bounds: { ...withoutBound.bounds, coldRate: { overage: 1.5, slack: 8 } },
};

describe("the policy of a platform agent", () => {
  describe("without bounds of cold targets", () => {
    // Guards against other placement on deployments that didn't ask for it.
    it("divides slices as before, and limits no warm target", () => {
      assert.deepEqual(groupSettingsFor(withoutBound), groupSettings);
      assert.equal(
        weightLimit(withoutBound, {
          coldRequestsPerSecond: () => null,
          machineSlowness: () => 2,
          throughput: () => 30,
        }),
        null,
      );
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
        const target = {
          coldRequestsPerSecond: () => cold,
          machineSlowness: () => slowness,
          throughput: () => 30,
        };
        assert.equal(weightLimit(withBound, target), limit);
      });
    }
  });
});
