import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { seededRandom } from "../../../standins/load.ts";
import { testAgent } from "../../../tests/test_agent.ts";
import type { Agent } from "../agent.ts";
import { chooseTarget, createRouting, stepRouting } from "./routing.ts";

const targets: readonly Agent[] = ["kolkata", "siliguri", "durgapur"].flatMap(
  (region) =>
    [0, 1, 2, 3].map((index) =>
      testAgent(`${region}-${index}`, {
        place: { dataCenter: `${region}-${index % 2}`, region },
        slots: 6,
      })
    ),
);
const tookMilliseconds = 200;

/**
 * Sends about as many requests as 8 targets run at a time, of which every fifth
 * fails, and returns the regions that they were sent to.
 */
function regionsUnderLoad(allowedRegions: readonly string[]) {
  const random = seededRandom(11);
  let routing = createRouting();
  const running: { readonly id: string; readonly endsAt: number }[] = [];
  const reached = new Set<string>();
  for (let now = 0; now < 20_000; now += 4) {
    while ((running[0]?.endsAt ?? Infinity) <= now) {
      const { id } = running.shift() ?? assert.fail();
      const kind = random() < 0.2 ? "failed" : "replied";
      const load = running.filter((other) => other.id === id).length;
      const took = { rank: 0, milliseconds: tookMilliseconds };
      routing = stepRouting(routing, { kind, id, load, took, now });
    }
    const target = chooseTarget(routing, {
      from: { dataCenter: "kolkata-0", region: "kolkata" },
      allowedRegions,
      targets,
      rank: 0,
      bodyBytes: 0,
      tried: new Set(),
      now,
      random,
    });
    reached.add(target?.place.region ?? "none");
    if (target === null) continue;
    routing = stepRouting(routing, { kind: "sent", id: target.id, now });
    running.push({ id: target.id, endsAt: now + tookMilliseconds });
  }
  return reached;
}

// Guards against requests that reach a target outside the regions that their
// route allows (3,648 in one run of a deployment).
describe("routing under the load of all targets of two regions", () => {
  const cases = {
    "spills to another allowed region only": ["kolkata", "durgapur"],
    "spills where the entry's own region is not allowed": [
      "siliguri",
      "durgapur",
    ],
  };
  for (const [name, allowed] of Object.entries(cases)) {
    it(name, () => {
      assert.deepEqual(regionsUnderLoad(allowed), new Set(allowed));
    });
  }

  it("finds no target where the allowed region has none", () => {
    assert.deepEqual(regionsUnderLoad(["asansol"]), new Set(["none"]));
  });
});
