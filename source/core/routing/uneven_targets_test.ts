import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { seededRandom } from "../../../standins/load.ts";
import { testAgent } from "../../../tests/test_agent.ts";
import { chooseTarget, createRouting, stepRouting } from "./routing.ts";

const slots = 6;
const stepMilliseconds = 2;
/** About 12 x 6 slots / 0.08 s / (1.45 usually x 1.6 slow), in a second. */
const capacity = 390;
const slowest = 0;
const place = { dataCenter: "kolkata-1", region: "kolkata" };

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
  { seed, load }: { readonly seed: number; readonly load: number },
) {
  const random = seededRandom(seed);
  const reports = seededRandom(seed + 1);
  const agents = Array.from(
    { length: 12 },
    (_, index) => testAgent(`t${index}`, { place, slots }),
  );
  const targets = agents.map(({ id }, index) => ({
    id,
    usual: index === slowest ? 2.5 : 1 + (index % 4) * 0.25,
    slowness: 1,
    changesAt: 0,
    queue: [] as readonly { sentAt: number; left: number }[],
    sent: 0,
  }));
  let routing = createRouting();
  const times: number[] = [];
  for (let now = 1; now < 60_000; now += stepMilliseconds) {
    targets.forEach((target, index) => {
      if (now >= target.changesAt) {
        target.slowness = random() < 0.3 ? 3 : 1;
        target.changesAt = now - Math.log(1 - random()) * 300;
      }
      const step = stepMilliseconds / target.usual / target.slowness;
      const next = target.queue.map(({ sentAt, left }, position) => ({
        sentAt,
        left: position < slots ? left - step : left,
      }));
      target.queue = next.filter(({ left }) => left > 0);
      for (const { sentAt } of next.filter(({ left }) => left <= 0)) {
        const milliseconds = now - sentAt;
        times.push(milliseconds);
        routing = stepRouting(routing, {
          kind: "replied",
          id: target.id,
          load: target.queue.length,
          slowness: reportOf(index)(target.slowness, reports()),
          took: { rank: 0, milliseconds },
          now,
        });
      }
    });
    if (random() >= capacity * load * stepMilliseconds / 1_000) continue;
    const query = { from: place, targets: agents, rank: 0, bodyBytes: 0 };
    const tried = new Set<string>();
    const chosen = chooseTarget(routing, { ...query, tried, now, random });
    const target = targets.find(({ id }) => id === chosen?.id);
    assert.ok(target !== undefined);
    const left = 80 * (0.5 + random());
    target.queue = [...target.queue, { sentAt: now, left }];
    target.sent += 1;
    routing = stepRouting(routing, { kind: "sent", id: target.id, now });
  }
  const late = times.filter((time) => time > 300).length / times.length;
  return { late, sent: targets.map(({ sent }) => sent) };
}

describe("the choice among targets on uneven machines", () => {
  for (const [seed, load] of [[5, 0.75], [11, 0.75], [5, 0.9], [11, 0.9]]) {
    // Guards against requests that are sent to machines known to be slow.
    it(`makes fewer late by reports, at ${load} of capacity (seed ${seed})`, () => {
      const options = { seed: seed ?? 0, load: load ?? 0 };
      const { late } = simulate(() => honest, options);
      const without = simulate(() => ignored, options);
      assert.ok(late < without.late, `${late} instead of ${without.late}`);
    });
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
      const own = sent[slowest] ?? 0;
      const others = sent.filter((_, target) => target !== slowest);
      assert.ok(own > 0 && own < Math.min(...others), sent.join());
    });
  }
});
