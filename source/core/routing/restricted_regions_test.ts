import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { seededRandom } from "../../../standins/load.ts";
import { testAgent } from "../../../tests/test_agent.ts";
import type { Agent } from "../agent.ts";
import { chooseTarget, createRouting, stepRouting } from "./routing.ts";

const slots = 6;
const targets: readonly Agent[] = ["kolkata", "siliguri", "durgapur"].flatMap(
  (region) =>
    [1, 2, 3, 4].map((index) =>
      testAgent(`${region}-${index}`, {
        place: { dataCenter: `${region}-a`, region },
        slots,
      })
    ),
);
const restricted = new Set(["kolkata", "siliguri"]);

/** Regions chosen from kolkata while the targets there report this load. */
function regionsChosen(options: {
  readonly load: number;
  readonly restrictedRegions: ReadonlySet<string>;
}): ReadonlySet<string> {
  const random = seededRandom(3);
  let routing = createRouting();
  for (const { id, place } of targets) {
    const load = restricted.has(place.region) ? options.load : 0;
    const took = { rank: 0, milliseconds: 40 };
    // Known for long enough to get a full share.
    routing = stepRouting(routing, { kind: "sent", id, now: 0 });
    routing = stepRouting(routing, {
      kind: "replied",
      id,
      load,
      took,
      now: 10_040,
    });
  }
  const chosen = Array.from({ length: 100 }, () =>
    chooseTarget(routing, {
      from: { dataCenter: "kolkata-a", region: "kolkata" },
      restrictedRegions: options.restrictedRegions,
      targets,
      rank: 0,
      bodyBytes: 0,
      tried: new Set(),
      now: 10_100,
      random,
    }));
  return new Set(chosen.map((target) => target?.place.region ?? "none"));
}

// Guards against restricted requests that are refused while other requests fill
// the only targets that they may use, and targets elsewhere are idle.
describe("requests that may run in any region", () => {
  describe("of a service with requests that are restricted to some", () => {
    it("leave busy targets there to those", () => {
      const regions = regionsChosen({ load: 6, restrictedRegions: restricted });
      assert.deepEqual(regions, new Set(["durgapur"]));
    });

    it("use near targets there that are not busy", () => {
      const regions = regionsChosen({ load: 2, restrictedRegions: restricted });
      assert.deepEqual(regions, new Set(["kolkata"]));
    });

    it("use them if there are no others", () => {
      const all = new Set(targets.map(({ place }) => place.region));
      const regions = regionsChosen({ load: 6, restrictedRegions: all });
      assert.deepEqual(regions, new Set(["kolkata"]));
    });
  });

  it("stay near where no requests are restricted", () => {
    const regions = regionsChosen({ load: 6, restrictedRegions: new Set() });
    assert.deepEqual(regions, new Set(["kolkata"]));
  });
});
