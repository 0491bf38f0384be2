import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { seededRandom } from "../../../standins/load.ts";
import {
  decideSending,
  type FullOwners,
  noFullOwners,
  noteReply,
} from "./full_owners.ts";

const entryCount = 18;
const slots = 12;
const workMilliseconds = 240;
/** What the owner runs with all of its slots in use, a second. */
const capacity = slots * 1_000 / workMilliseconds;
const playMilliseconds = 30_000;
/** From then on entries have learnt. */
const learntMilliseconds = 5_000;

interface Outcome {
  readonly offered: number;
  readonly sent: number;
  readonly run: number;
  /** Refused by entries, without being sent. */
  readonly kept: number;
}

/** Requests at random for one owner without a queue, by entries that learn. */
function play(
  load: (now: number) => number,
  from = learntMilliseconds,
  entries = entryCount,
): Outcome {
  const random = seededRandom(29);
  const known: FullOwners[] = Array.from(
    { length: entries },
    () => noFullOwners,
  );
  let ends: number[] = [];
  let offered = 0;
  let sent = 0;
  let run = 0;
  let kept = 0;
  for (let now = 0; now < playMilliseconds; now += 1) {
    ends = ends.filter((end) => end > now);
    if (random() >= load(now) * capacity / 1_000) continue;
    const counts = now >= from ? 1 : 0;
    const entry = Math.floor(random() * entries);
    const asked = { owner: "host-1/a", rank: 0, now };
    const next = decideSending(known[entry] ?? noFullOwners, asked, random);
    offered += counts;
    known[entry] = next.owners;
    if (next.decision.kind === "refuse") {
      kept += counts;
      continue;
    }
    sent += counts;
    const full = ends.length >= slots;
    if (!full) {
      ends = [...ends, now - workMilliseconds * Math.log(1 - random())];
      run += counts;
    }
    known[entry] = noteReply(next.owners, {
      ...asked,
      full,
      retryAfterMilliseconds: 100,
    });
  }
  return { offered, sent, run, kept };
}

describe("an owner of keys", () => {
  describe("that is sent three times what it runs", () => {
    const outcome = play(() => 3);

    it("is spared most of what it would refuse", () => {
      const refused = outcome.sent - outcome.run;
      const spared = outcome.offered - outcome.run;
      assert.ok(refused < 0.7 * spared, `${refused} of ${spared}`);
    });

    it("still has its slots in use", () => {
      const possible = capacity * (playMilliseconds - learntMilliseconds) /
        1_000;
      assert.ok(outcome.run > 0.9 * possible, `${outcome.run} of ${possible}`);
    });
  });

  describe("that can run what it is sent", () => {
    it("is sent all of it", () => {
      const outcome = play(() => 0.6, 0);
      assert.ok(outcome.kept <= outcome.offered * 0.01, `${outcome.kept}`);
    });
  });

  // Guards against requests that are refused while slots stand empty (SHORT):
  // entries went on refusing for four seconds what the owner had room for.
  for (const seconds of [2, 10]) {
    describe(`in the four seconds after a burst of ${seconds}`, () => {
      it("is sent nine in ten of what it can run", () => {
        const burstEnd = seconds * 1_000;
        const outcome = play((now) => {
          if (now < burstEnd) return 3;
          return now < burstEnd + 4_000 ? 0.7 : 0;
        }, burstEnd);
        assert.ok(outcome.kept <= outcome.offered / 10, `${outcome.kept}`);
      });
    });
  }

  describe("that was full once", () => {
    // Guards against the same: the first refusal that an entry heard looked as
    // if the owner took nothing at all.
    it("is sent the next request", () => {
      const asked = { owner: "host-1/a", rank: 0, now: 0 };
      const refused = { ...asked, full: true, retryAfterMilliseconds: 100 };
      const known = noteReply(noFullOwners, refused);
      const { decision } = decideSending(known, asked, () => 0);
      assert.equal(decision.kind, "send");
    });
  });

  describe("after a burst", () => {
    it("is sent all of it again within seconds", () => {
      const outcome = play((now) => now < 10_000 ? 3 : 0.5, 15_000);
      assert.ok(outcome.kept <= outcome.offered * 0.02, `${outcome.kept}`);
    });
  });
});
