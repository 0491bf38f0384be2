import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { seededRandom } from "../../../standins/load.ts";
import { testAgent } from "../../../tests/test_agent.ts";
import {
  chooseTarget,
  createRouting,
  type RoutingEvent,
  type RoutingState,
  stepRouting,
} from "./routing.ts";

/** How one request to a target ends. */
interface Answer {
  readonly kind: "replied" | "failed" | "abandoned";
  readonly milliseconds: number;
  readonly failure?: boolean;
}

type Fault = (work: number, random: () => number) => Answer;

const faultsByName: Readonly<Record<string, Fault>> = {
  "is four times as slow": (work) => ({
    kind: "replied",
    milliseconds: work * 4,
  }),
  "answers nothing": () => ({ kind: "abandoned", milliseconds: 2_500 }),
  "answers half of its requests with failures": (work, random) =>
    random() < 0.5
      ? { kind: "replied", milliseconds: 5, failure: true }
      : { kind: "replied", milliseconds: work },
  "can't be reached": () => ({ kind: "failed", milliseconds: 400 }),
  "resets half of its connections": (work, random) =>
    random() < 0.5
      ? { kind: "failed", milliseconds: 5 }
      : { kind: "replied", milliseconds: work },
};

const entries = 10;
const requestsPerSecond = 60;
const healthyMilliseconds = 2_000;
const faultyMilliseconds = 10_000;
const speeds = [0.5, 1, 1, 1.5];
const targets = speeds.map((_, index) => testAgent(`target-${index}`));
/** The faulty target. */
const faultyTarget = "target-1";

/** Simulates the entries, and returns the share of the faulty target. */
function shareOf(fault: Fault, seed: number): number {
  const random = seededRandom(seed);
  const states: RoutingState[] = Array.from(
    { length: entries },
    () => createRouting(),
  );
  const due = new Map<number, { entry: number; event: RoutingEvent }[]>();
  let sent = 0;
  let sentToFaulty = 0;
  for (let now = 1; now < healthyMilliseconds + faultyMilliseconds; now += 1) {
    for (const { entry, event } of due.get(now) ?? []) {
      states[entry] = stepRouting(states[entry] ?? createRouting(), event);
    }
    if (random() >= requestsPerSecond / 1_000) continue;
    const entry = Math.floor(random() * entries);
    const state = states[entry] ?? createRouting();
    const target = chooseTarget(state, {
      from: { dataCenter: "kolkata-1", region: "kolkata" },
      targets,
      rank: 0,
      bodyBytes: 0,
      tried: new Set(),
      now,
      random,
    });
    assert.ok(target !== null);
    const id = target.id;
    const speed = speeds[targets.indexOf(target)] ?? 1;
    const work = 150 * (0.5 + random()) / speed;
    const inFault = now > healthyMilliseconds && id === faultyTarget;
    const answer: Answer = inFault
      ? fault(work, random)
      : { kind: "replied", milliseconds: work };
    const { kind, milliseconds, failure = false } = answer;
    if (now > healthyMilliseconds) sent += 1;
    if (inFault) sentToFaulty += 1;
    states[entry] = stepRouting(state, { kind: "sent", id, now });
    const end = Math.ceil(now + milliseconds);
    const took = { rank: 0, milliseconds };
    const event: RoutingEvent = kind === "replied"
      ? { kind, id, load: null, took, failure, now: end }
      : { kind, id, took, now: end };
    due.set(end, [...due.get(end) ?? [], { entry, event }]);
  }
  return sentToFaulty / sent;
}

const seeds = [1, 2, 3, 4, 5, 6];
const evenShare = 1 / targets.length;

// Guards against sending to slow or silent targets for long: each entry sees
// only few of the answers, and learns from these alone.
describe("many entries that each observe a target by themselves", () => {
  for (const [name, fault] of Object.entries(faultsByName)) {
    describe(`that ${name}`, () => {
      it("send it less than half of an even share", () => {
        const shares = seeds.map((seed) => shareOf(fault, seed));
        const mean = shares.reduce((sum, each) => sum + each, 0) / seeds.length;
        assert.ok(mean < evenShare / 2, `${mean.toFixed(3)}`);
      });
    });
  }
});
