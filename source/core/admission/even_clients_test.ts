import assert from "node:assert/strict";
import { describe, it } from "node:test";
import {
  type CrowdClass,
  crowdSettings,
  simulateSeeds,
} from "../../../tests/crowd_simulation.ts";
import type { AdmissionSettings } from "./settings.ts";

const kinds = {
  "objectives of five times the work": {
    workMilliseconds: 200,
    objectiveMilliseconds: 1_000,
    deadlineMilliseconds: 6_000,
  },
  "objectives of nearly three times the work": {
    workMilliseconds: 90,
    objectiveMilliseconds: 250,
    deadlineMilliseconds: 1_200,
  },
};

const loads: Readonly<Record<string, CrowdClass["load"]>> = {
  "0.8 times the capacity": () => 0.8,
  "1.3 times the capacity": () => 1.3,
  "three times the capacity for 4 s": (now) =>
    now >= 4_000 && now < 8_000 ? 3 : 0.5,
};

const without: Partial<AdmissionSettings> = {
  fairShares: false,
  objectiveOrder: false,
  returnOrder: false,
};

const clients = ["1", "2", "3", "4", "5", "6"];

/** The part of the requests of even clients that is answered in time. */
function partInTime(
  kind: Omit<CrowdClass, "load" | "name" | "rank">,
  load: CrowdClass["load"],
  settings: Partial<AdmissionSettings>,
): number {
  const share = simulateSeeds(
    clients.map((name, index) => ({
      ...kind,
      name,
      rank: 0,
      load: (now) => load(now) / clients.length,
      client: { account: `account-${index % 3}`, entry: name },
    })),
    { settings: { ...crowdSettings([0]), ...settings }, milliseconds: 16_000 },
  );
  const parts = clients.map((name) => share(name, "inTime"));
  return parts.reduce((sum, part) => sum + part) / parts.length;
}

const steady: CrowdClass["load"] = () => 1.3;

describe("a target whose clients ask for equally much", () => {
  for (const [kindName, kind] of Object.entries(kinds)) {
    // Guards against fair shares where nobody floods, which cost answers in time.
    // A fiftieth is what differs by chance.
    it(`doesn't lose answers to fair shares, with ${kindName}`, () => {
      const before = partInTime(kind, steady, { fairShares: false });
      const after = partInTime(kind, steady, {});
      assert.ok(after >= before - 0.02, `${after}, before ${before}`);
    });
  }

  for (const [kindName, kind] of Object.entries(kinds)) {
    describe(`with ${kindName}`, () => {
      for (const [loadName, load] of Object.entries(loads)) {
        // Guards against mechanisms for competing clients that cost answers in
        // time where no client asks for more than others.
        it(`answers as many in time as without competition: ${loadName}`, () => {
          const before = partInTime(kind, load, without);
          const after = partInTime(kind, load, {});
          assert.ok(after >= before, `${after}, before ${before}`);
        });
      }
    });
  }
});
