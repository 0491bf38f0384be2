import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { seededRandom } from "../../../standins/load.ts";
import {
  decideSending,
  noOverloadedOwners,
  type OverloadedOwners,
  recordReply,
} from "./overloaded_owners.ts";

const entryCount = 18;
const slots = 12;
const workMilliseconds = 240;
/** Requests per second that the owner runs with all of its slots in use. */
const capacity = slots * 1_000 / workMilliseconds;
const simulatedMilliseconds = 30_000;
/** From then on entries have enough replies. */
const settledMilliseconds = 5_000;

interface Outcome {
  readonly offered: number;
  readonly sent: number;
  readonly run: number;
  /** Refused by entries, without being sent. */
  readonly refusedByEntries: number;
}

/** Simulates random requests of many entries for one owner without a queue. */
function simulate(
  load: (now: number) => number,
  from = settledMilliseconds,
  entries = entryCount,
): Outcome {
  const random = seededRandom(29);
  const known: OverloadedOwners[] = Array.from(
    { length: entries },
    () => noOverloadedOwners,
  );
  let ends: number[] = [];
  let offered = 0;
  let sent = 0;
  let run = 0;
  let refusedByEntries = 0;
  for (let now = 0; now < simulatedMilliseconds; now += 1) {
    ends = ends.filter((end) => end > now);
    if (random() >= load(now) * capacity / 1_000) continue;
    const counts = now >= from ? 1 : 0;
    const entry = Math.floor(random() * entries);
    const asked = { owner: "host-1/a", rank: 0, now };
    const next = decideSending(
      known[entry] ?? noOverloadedOwners,
      asked,
      random,
    );
    offered += counts;
    known[entry] = next.owners;
    if (next.decision.kind === "refuse") {
      refusedByEntries += counts;
      continue;
    }
    sent += counts;
    const full = ends.length >= slots;
    if (!full) {
      ends = [...ends, now - workMilliseconds * Math.log(1 - random())];
      run += counts;
    }
    known[entry] = recordReply(next.owners, {
      ...asked,
      full,
      retryAfterMilliseconds: 100,
    });
  }
  return { offered, sent, run, refusedByEntries };
}

describe("an owner of keys", () => {
  describe("that is offered three times its capacity", () => {
    const outcome = simulate(() => 3);

    it("is not sent much of what it would refuse", () => {
      const refused = outcome.sent - outcome.run;
      const excess = outcome.offered - outcome.run;
      assert.ok(refused < 0.7 * excess, `${refused} of ${excess}`);
    });

    it("still has most of its slots in use", () => {
      const possible = capacity *
        (simulatedMilliseconds - settledMilliseconds) /
        1_000;
      assert.ok(outcome.run > 0.9 * possible, `${outcome.run} of ${possible}`);
    });
  });

  describe("that is offered less than its capacity", () => {
    it("is sent nearly all of it", () => {
      const outcome = simulate(() => 0.6, 0);
      assert.ok(
        outcome.refusedByEntries <= outcome.offered * 0.01,
        `${outcome.refusedByEntries}`,
      );
    });
  });

  // Guards against refusals while slots are free: entries went on for four
  // seconds refusing requests for which the owner had capacity.
  for (const seconds of [2, 10]) {
    describe(`in the four seconds after a burst of ${seconds} s`, () => {
      it("is sent at least nine tenths of the requests", () => {
        const burstEnd = seconds * 1_000;
        const outcome = simulate((now) => {
          if (now < burstEnd) return 3;
          return now < burstEnd + 4_000 ? 0.7 : 0;
        }, burstEnd);
        assert.ok(
          outcome.refusedByEntries <= outcome.offered / 10,
          `${outcome.refusedByEntries}`,
        );
      });
    });
  }

  describe("that has refused one request", () => {
    // Guards against the same: by its first refusal, an owner looked as if it
    // accepted nothing at all.
    it("is sent the next request", () => {
      const asked = { owner: "host-1/a", rank: 0, now: 0 };
      const refused = { ...asked, full: true, retryAfterMilliseconds: 100 };
      const known = recordReply(noOverloadedOwners, refused);
      const { decision } = decideSending(known, asked, () => 0);
      assert.equal(decision.kind, "send");
    });
  });

  describe("five seconds after a burst", () => {
    it("is sent nearly all requests again", () => {
      const outcome = simulate((now) => now < 10_000 ? 3 : 0.5, 15_000);
      assert.ok(
        outcome.refusedByEntries <= outcome.offered * 0.02,
        `${outcome.refusedByEntries}`,
      );
    });
  });
});

describe("callers that an entry refuses for an owner without capacity", () => {
  // Guards against the same time for all of them: they returned together.
  it("return one after the other, behind those that the owner refused", () => {
    let owners = noOverloadedOwners;
    const asked = { owner: "host-1/a", rank: 0, deadlineAt: 10_000 };
    for (let now = 0; now < 200; now += 10) {
      // The owner books one return in 50 ms.
      const retryAfterMilliseconds = 100 + now * 4;
      const reply = { ...asked, full: true, retryAfterMilliseconds, now };
      owners = recordReply(owners, reply);
    }
    const delays: number[] = [];
    for (let count = 0; count < 20; count += 1) {
      const next = decideSending(owners, { ...asked, now: 200 }, () => 0);
      owners = next.owners;
      if (next.decision.kind !== "refuse") continue;
      delays.push(next.decision.retryAfterMilliseconds ?? 0);
    }
    const lastByOwner = 190 + 100 + 190 * 4 - 200;
    assert.ok(delays.length >= 10);
    delays.reduce((former, delay) => {
      assert.ok(delay >= former + 40 && delay <= former + 60, `${delay}`);
      return delay;
    }, lastByOwner);
  });

  const name = { owner: "host-1/a", rank: 0 };

  // Guards against an order of return for callers that would be in time without
  // it: they were late instead.
  it("are told what the owner has told while they can be in time", () => {
    const asked = { ...name, objectiveAt: 250, deadlineAt: 1_200 };
    let owners = noOverloadedOwners;
    for (let now = 0; now < 100; now += 10) {
      const reply = { full: true, retryAfterMilliseconds: 80, now };
      owners = recordReply(owners, { ...asked, ...reply });
    }
    const delays = [100, 100, 100, 180, 180].map((now) => {
      const next = decideSending(owners, { ...asked, now }, () => 0);
      owners = next.owners;
      return next.decision.kind === "refuse"
        ? next.decision.retryAfterMilliseconds
        : null;
    });
    assert.deepEqual(delays.slice(0, 3), [80, 80, 80]);
    const [former = 0, next = 0] = delays.slice(3).map((delay) => delay ?? 0);
    assert.ok(next > former, "late callers return in order");
  });

  // Guards against gaps measured over the pause between two bursts: from the
  // second one on, all callers were told a third of their time.
  for (const pauseMilliseconds of [2_000, 7_000]) {
    it(`wait no longer after a pause of ${pauseMilliseconds} ms`, () => {
      const random = seededRandom(31);
      let owners = noOverloadedOwners;
      const medians = [0, 1, 2, 3].map((burst) => {
        const from = burst * (1_000 + pauseMilliseconds);
        const delays: number[] = [];
        for (let now = from; now < from + 1_000; now += 20) {
          const asked = { ...name, now, deadlineAt: now + 4_000 };
          const next = decideSending(owners, asked, random);
          owners = next.owners;
          if (next.decision.kind === "refuse") {
            delays.push(next.decision.retryAfterMilliseconds ?? 0);
            continue;
          }
          const reply = { full: true, retryAfterMilliseconds: 18 };
          owners = recordReply(owners, { ...asked, ...reply });
        }
        return delays.sort((a, b) => a - b)[delays.length >> 1] ?? 0;
      });
      const [first = 0, ...later] = medians;
      assert.ok(later.every((delay) => delay <= first * 1.5), medians.join());
    });
  }

  // Guards against gaps between bookings of the owner and the longest waits of
  // callers for which it has booked nothing.
  it("are as far apart as callers that the owner has given a time", () => {
    let owners = noOverloadedOwners;
    for (let now = 0; now < 400; now += 10) {
      const isShort = now % 20 === 0;
      const deadlineAt = now + (isShort ? 600 : 10_000);
      // The hop takes 5 ms off the deadline.
      const retryAfterMilliseconds = isShort ? 595 / 3 : 1_000 + now * 1.5;
      const reply = { ...name, full: true, retryAfterMilliseconds };
      owners = recordReply(owners, { ...reply, deadlineAt, now });
    }
    const asked = { ...name, now: 400, deadlineAt: 20_000 };
    const first = decideSending(owners, asked, () => 0);
    const second = decideSending(first.owners, asked, () => 0);
    const delays = [first, second].map(({ decision }) =>
      decision.kind === "refuse" ? decision.retryAfterMilliseconds ?? 0 : 0
    );
    const distance = (delays[1] ?? 0) - (delays[0] ?? 0);
    assert.ok(distance >= 40 && distance <= 60, delays.join());
  });
});
