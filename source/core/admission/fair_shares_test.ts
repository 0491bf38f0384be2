import assert from "node:assert/strict";
import { describe, it } from "node:test";
import {
  type CrowdClass,
  crowdSettings,
  longWork,
  shortWork,
  simulateSeeds,
} from "../../../tests/crowd_simulation.ts";
import { stepAdmission } from "./admission.ts";
import { noCompetition } from "./competition.ts";
import { type AdmissionState, createAdmission } from "./state.ts";
import {
  type Client,
  firstInTurn,
  lastOfLargest,
  noUse,
  recordUse,
} from "./fair_shares.ts";

const usualWork = {
  workMilliseconds: 150,
  objectiveMilliseconds: 600,
  deadlineMilliseconds: 2_500,
};

/** Requests of an entry for an account, as a multiple of the capacity. */
function requestsOf(
  account: string,
  entry: string,
  load: number,
  work = usualWork,
): CrowdClass {
  const name = `${account} ${entry}`;
  return {
    ...work,
    rank: 0,
    name,
    load: () => load,
    client: { account, entry },
  };
}

const simulate = (classes: readonly CrowdClass[]) =>
  simulateSeeds(classes, { settings: crowdSettings([0]) });

/** Nearly all: what a client that asks for less than its share must get. */
const nearlyAll = 0.97;

describe("a target that is asked for more than it can run", () => {
  describe("by an account that floods it", () => {
    // Guards against refusals of an account that asks for less than its share.
    for (const [name, work] of Object.entries({ usualWork, longWork })) {
      it(`serves another one all that it asks for: ${name}`, () => {
        const share = simulate([
          requestsOf("flood", "entry-1", 1.5),
          requestsOf("small", "entry-2", 0.3, work),
        ]);
        assert.ok(share("small entry-2", "served") >= nearlyAll);
        assert.ok(share("small entry-2", "refusals") <= 0.05);
        assert.ok(share("flood entry-1", "served") * 1.5 >= 0.65);
      });
    }

    it("keeps long requests from starving behind short ones", () => {
      const share = simulate([
        requestsOf("short", "entry-1", 1, shortWork),
        requestsOf("long", "entry-2", 0.45, longWork),
      ]);
      assert.ok(share("long entry-2", "served") >= nearlyAll);
    });
  });

  describe("by an entry that floods it", () => {
    it("holds the entry to its share of its account", () => {
      const share = simulate([
        requestsOf("one", "flood", 1.2),
        requestsOf("one", "small", 0.2),
        requestsOf("other", "small", 0.4),
      ]);
      assert.ok(share("one small", "served") >= nearlyAll);
      assert.ok(share("other small", "served") >= nearlyAll);
    });

    it("doesn't give an account with many entries more", () => {
      const entries = ["1", "2", "3", "4"].map((entry) =>
        requestsOf("many", entry, 0.4)
      );
      const share = simulate([...entries, requestsOf("one", "5", 0.45)]);
      assert.ok(share("one 5", "served") >= nearlyAll);
      const served = entries.map(({ name }) => share(name, "served"));
      const [least, most] = [Math.min(...served), Math.max(...served)];
      assert.ok(least >= most * 0.9, `${served}`);
    });
  });
});

describe("a target that one client sends ten times its share", () => {
  const small = ["1", "2", "3", "4", "5"].map((name) =>
    requestsOf(name, name, 0.13)
  );
  const share = simulate([requestsOf("flood", "flood", 10 / 6), ...small]);

  // Guards against a flood that isn't seen, or only for some of its victims.
  it("serves the others all that they ask for, in time", () => {
    for (const { name } of small) {
      assert.ok(share(name, "served") >= nearlyAll);
      assert.ok(share(name, "inTime") >= nearlyAll);
    }
  });

  it("leaves it what the others don't use", () => {
    const left = 1 - small.length * 0.13;
    assert.ok(share("flood flood", "served") * 10 / 6 >= left * 0.9);
  });
});

describe("a refusal", () => {
  // Guards against log lines that don't tell why a client is refused.
  it("says whether fair shares decided", () => {
    const arrived = (id: number, now: number) => ({
      kind: "arrived" as const,
      id,
      rank: 0,
      work: "any",
      objectiveAt: now + 100,
      deadlineAt: now + 1_000,
      now,
    });
    const serviceTimes = new Map([["any", {
      milliseconds: 400,
      measuredAt: 0,
    }]]);
    const decided = [false, true].map((isCompeting) => {
      let state: AdmissionState = {
        ...createAdmission(crowdSettings([0])),
        serviceTimes,
        competition: [{ ...noCompetition, isCompeting }],
      };
      const effects = Array.from({ length: 200 }, (_, id) => {
        const next = stepAdmission(state, arrived(id, id));
        state = next.state;
        return next.effects;
      }).flat();
      const refused = effects.findLast(({ kind }) => kind === "refuse");
      return refused?.kind === "refuse" ? refused.shortage?.fairShares : null;
    });
    assert.deepEqual(decided, [false, true]);
  });
});

describe("a cold target that an account floods", () => {
  // Guards against refusals on arrival for the waiting requests of others: an
  // account that asked for a fifth of the rate lost more than half of its own.
  it("serves another account all that it asks for", () => {
    const perSecond = 1_000 / usualWork.workMilliseconds * 13;
    const share = simulateSeeds([
      requestsOf("flood", "entry-1", 40 / perSecond),
      requestsOf("small", "entry-2", 2 / perSecond),
    ], { settings: crowdSettings([0]), coldRate: 10 });
    assert.ok(share("small entry-2", "served") >= 0.97);
    assert.ok(share("small entry-2", "refusals") <= 0.05);
  });
});

describe("a target without fair shares", () => {
  // Guards against other orders and refusals where shares are not asked for.
  it("keeps the order of objectives, whoever asks", () => {
    const settings = { ...crowdSettings([0]), fairShares: false };
    const classes = [
      requestsOf("flood", "entry-1", 1.5),
      requestsOf("small", "entry-2", 0.3),
    ];
    const share = simulateSeeds(classes, { settings });
    const [flood, small] = classes.map(({ name }) => share(name, "served"));
    assert.ok(Math.abs((flood ?? 0) - (small ?? 1)) < 0.1, `${flood} ${small}`);
  });
});

describe("a target that can run all requests", () => {
  // Guards against shares where nobody competes.
  it("refuses none, however unequal its clients are", () => {
    const share = simulate([
      requestsOf("most", "entry-1", 0.7),
      requestsOf("few", "entry-2", 0.05),
    ]);
    assert.equal(share("most entry-1", "refusals"), 0);
    assert.equal(share("few entry-2", "refusals"), 0);
  });
});

describe("fair shares", () => {
  const request = (account: string, entry: string) => ({
    client: { account, entry } satisfies Client,
    milliseconds: 100,
  });
  const ofUser = request("a", "1");
  const ofNew = request("b", "1");
  const used = recordUse(noUse, ofUser.client, { milliseconds: 100, now: 0 });

  it("give the turn to the client that has used least", () => {
    assert.equal(firstInTurn([ofUser, ofNew], used, 10), ofNew);
    assert.equal(lastOfLargest([ofUser, ofNew], used, 10), ofUser);
  });

  it("count all clients as new after a restart", () => {
    assert.equal(firstInTurn([ofUser, ofNew], noUse, 10), ofUser);
  });

  it("fade within seconds", () => {
    const later = recordUse(used, ofNew.client, {
      milliseconds: 10,
      now: 10_000,
    });
    assert.equal(firstInTurn([ofNew, ofUser], later, 10_000), ofUser);
  });

  it("keep a bounded number of clients", () => {
    let shares = noUse;
    for (let index = 0; index < 3_000; index += 1) {
      const client = { account: `a-${index}`, entry: `e-${index}` };
      shares = recordUse(shares, client, { milliseconds: 1, now: index });
    }
    assert.ok(shares.accounts.size <= 1_024 && shares.entries.size <= 1_024);
  });
});
