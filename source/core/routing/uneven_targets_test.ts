import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { seededRandom } from "../../../standins/load.ts";
import { testAgent } from "../../../tests/test_agent.ts";
import { chooseTarget, createRouting, stepRouting } from "./routing.ts";

const slots = 6;
const workMilliseconds = 80;
const objectiveMilliseconds = 300;
const stepMilliseconds = 2;
const simulatedMilliseconds = 60_000;
/** The mean time for which a machine stays as slow as it is. */
const meanPhaseMilliseconds = 300;
/** About 12 x 6 slots / 0.08 s / (1.45 usually x 1.6 slow), in a second. */
const capacity = 390;
const slowest = 0;
const place = { dataCenter: "kolkata-1", region: "kolkata" };

interface Work {
  readonly sentAt: number;
  readonly left: number;
}

/** What a target says of its slowness. */
type Report = (slowness: number, random: number) => number | null;

const honest: Report = (slowness) => slowness;
const ignored: Report = () => null;

/**
 * Simulates one entry and targets whose machines are unevenly fast, and slow
 * down several times a second. The load is a part of their capacity.
 */
function simulate(
  reportOf: (target: number) => Report,
  options: { readonly seed: number; readonly load: number },
) {
  const random = seededRandom(options.seed);
  const reports = seededRandom(options.seed + 1);
  const agents = Array.from(
    { length: 12 },
    (_, index) => testAgent(`t${index}`, { place, slots }),
  );
  const targets = agents.map((agent, index) => ({
    agent,
    usual: index === slowest ? 2.5 : 1 + (index % 4) * 0.25,
    slowness: 1,
    changesAt: 0,
    queue: [] as readonly Work[],
    sent: 0,
  }));
  let routing = createRouting();
  const times: number[] = [];
  for (let now = 1; now < simulatedMilliseconds; now += stepMilliseconds) {
    for (const target of targets) {
      if (now < target.changesAt) continue;
      target.slowness = random() < 0.3 ? 3 : 1;
      target.changesAt = now - Math.log(1 - random()) * meanPhaseMilliseconds;
    }
    for (const [index, target] of targets.entries()) {
      const step = stepMilliseconds / target.usual / target.slowness;
      const next = target.queue.map((work, position) =>
        position < slots ? { ...work, left: work.left - step } : work
      );
      target.queue = next.filter(({ left }) => left > 0);
      for (const { sentAt } of next.filter(({ left }) => left <= 0)) {
        times.push(now - sentAt);
        routing = stepRouting(routing, {
          kind: "replied",
          id: target.agent.id,
          load: target.queue.length,
          slowness: reportOf(index)(target.slowness, reports()),
          took: { rank: 0, milliseconds: now - sentAt },
          now,
        });
      }
    }
    if (random() >= capacity * options.load * stepMilliseconds / 1_000) {
      continue;
    }
    const chosen = chooseTarget(routing, {
      from: place,
      targets: agents,
      rank: 0,
      bodyBytes: 0,
      tried: new Set(),
      now,
      random,
    });
    const target = targets.find(({ agent }) => agent === chosen);
    assert.ok(target !== undefined);
    const left = workMilliseconds * (0.5 + random());
    target.queue = [...target.queue, { sentAt: now, left }];
    target.sent += 1;
    routing = stepRouting(routing, {
      kind: "sent",
      id: target.agent.id,
      now,
    });
  }
  const late = times.filter((time) => time > objectiveMilliseconds).length;
  const mean = times.reduce((sum, time) => sum + time, 0) / times.length;
  return {
    lateShare: late / times.length,
    mean,
    sent: targets.map(({ sent }) => sent),
  };
}

describe("the choice among targets on uneven machines", () => {
  for (const seed of [5, 11]) {
    for (const load of [0.75, 0.9]) {
      // Guards against requests that are sent to machines known to be slow.
      it(`makes fewer late by reports, at ${load} of capacity (seed ${seed})`, () => {
        const without = simulate(() => ignored, { seed, load });
        const { lateShare, mean } = simulate(() => honest, { seed, load });
        assert.ok(
          lateShare < without.lateShare && mean < without.mean,
          `${lateShare} of ${without.lateShare}, ${mean} of ${without.mean} ms`,
        );
      });
    }
  }

  const lies: Readonly<Record<string, Report>> = {
    "always very fast": () => 0.1,
    "always very slow": () => 100,
    "fast and slow by turns": (_, random) => random < 0.5 ? 0.1 : 5,
    "very fast after many very slow": (_, random) => random < 0.95 ? 100 : 0.1,
  };
  for (const [name, lie] of Object.entries(lies)) {
    // Guards against a false report that makes the slowest target the fastest,
    // and against one by which a target gets no requests any more.
    it(`sends the slowest the fewest requests, but some, when it reports ${name}`, () => {
      const reportOf = (target: number) => target === slowest ? lie : honest;
      const { sent } = simulate(reportOf, { seed: 11, load: 0.75 });
      const others = sent.filter((_, target) => target !== slowest);
      const own = sent[slowest] ?? 0;
      assert.ok(own > 0 && own < Math.min(...others), sent.join());
    });
  }
});
