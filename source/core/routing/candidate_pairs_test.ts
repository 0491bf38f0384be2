import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { seededRandom } from "../../../standins/load.ts";
import { testAgent } from "../../../tests/test_agent.ts";
import {
  type AdmissionState,
  createAdmission,
  stepAdmission,
} from "../admission/admission.ts";
import type { AgentId } from "../agent.ts";
import {
  pickAnyPair,
  type PickPair,
  pickPairBySlots,
} from "./candidate_pairs.ts";
import {
  chooseTarget,
  createRouting,
  type RoutingState,
  stepRouting,
} from "./routing.ts";

const place = { dataCenter: "kolkata-1", region: "kolkata" };
const slots = 6;
const targetCount = 18;
const coldTargets = 4;
const coldRequestsPerSecond = 9.8;
const requestsPerSecond = 305;
const entryCount = 18;
const workMilliseconds = 150;
const simulatedMilliseconds = 10_000;

interface Running {
  readonly id: number;
  readonly entry: number;
  readonly target: AgentId;
  readonly sentAt: number;
  readonly endsAt: number;
}

/** Simulates targets of which some are cold, and entries that know their slots. */
function simulate(pickPair: PickPair) {
  const random = seededRandom(17);
  const agents = Array.from(
    { length: targetCount },
    (_, index) =>
      testAgent(`t${index}`, { place, slots: index < coldTargets ? 1 : slots }),
  );
  const admissions = new Map<AgentId, AdmissionState>(
    agents.map(({ id }, index) => {
      const state = createAdmission({
        slots,
        ranks: [{ name: "any", share: 0 }],
        queueLength: 64,
        initialShare: 1,
        maxLateWaitMilliseconds: 100,
      });
      const requestsPerSecond = index < coldTargets
        ? coldRequestsPerSecond
        : null;
      const event = { kind: "coldRate", requestsPerSecond, now: 0 } as const;
      return [id, stepAdmission(state, event).state];
    }),
  );
  const routings: RoutingState[] = Array.from(
    { length: entryCount },
    createRouting,
  );
  const sent = new Map<number, Pick<Running, "entry" | "sentAt">>();
  let running: readonly Running[] = [];
  let refused = 0;
  let coldStarts = 0;
  let now = 0;

  function feed(
    target: AgentId,
    event: Parameters<typeof stepAdmission>[1],
  ): void {
    const before = admissions.get(target);
    assert.ok(before !== undefined);
    const { state, effects } = stepAdmission(before, event);
    admissions.set(target, state);
    for (const effect of effects) {
      const from = sent.get(effect.id);
      assert.ok(from !== undefined);
      if (effect.kind === "refuse") {
        refused += 1;
        step(from.entry, { kind: "failed", id: target, now });
        continue;
      }
      if (state.coldStarts !== null) coldStarts += 1;
      const endsAt = now + workMilliseconds * (0.5 + random());
      running = [...running, { id: effect.id, target, ...from, endsAt }];
    }
  }

  function step(entry: number, event: Parameters<typeof stepRouting>[1]): void {
    const routing = routings[entry];
    if (routing !== undefined) routings[entry] = stepRouting(routing, event);
  }

  let id = 0;
  for (; now < simulatedMilliseconds; now += 1) {
    for (const ended of running.filter(({ endsAt }) => endsAt <= now)) {
      running = running.filter((other) => other !== ended);
      const { entry, target, sentAt } = ended;
      const answered = { kind: "finished", finish: "answered" } as const;
      feed(target, { ...answered, id: ended.id, now });
      const state = admissions.get(target);
      const load = state?.running.size ?? 0;
      const took = { rank: 0, milliseconds: now - sentAt };
      step(entry, { kind: "replied", id: target, load, took, now });
    }
    if (now % 10 === 0) {
      for (const { id } of agents) feed(id, { kind: "tick", now });
    }
    if (random() >= requestsPerSecond / 1_000) continue;
    id += 1;
    const entry = Math.floor(random() * entryCount);
    const target = chooseTarget(routings[entry] ?? createRouting(), {
      from: place,
      targets: agents,
      rank: 0,
      bodyBytes: 0,
      tried: new Set(),
      now,
      random,
      pickPair,
    });
    assert.ok(target !== null);
    sent.set(id, { entry, sentAt: now });
    step(entry, { kind: "sent", id: target.id, now });
    const [objectiveAt, deadlineAt] = [now + 300, now + 1_000];
    const arrived = { kind: "arrived", id, rank: 0, now } as const;
    feed(target.id, { ...arrived, objectiveAt, deadlineAt });
  }
  return { refused, coldStarts };
}

describe("the choice among targets of which some are cold", () => {
  // Guards against refusals by cold targets while others have free slots.
  it("follows their slots, so that few requests are refused", () => {
    const any = simulate(pickAnyPair);
    const bySlots = simulate(pickPairBySlots);
    assert.ok(
      bySlots.refused < any.refused / 2,
      `${bySlots.refused} of ${any.refused}`,
    );
    assert.ok(bySlots.coldStarts > 0);
  });

  // Guards against another choice where no target is cold.
  it("is as before where all targets have the same slots", () => {
    const members = Array.from(
      { length: 7 },
      (_, index) => testAgent(`t${index}`, { place, slots }),
    );
    const draw = (pick: PickPair) => {
      const random = seededRandom(3);
      return Array.from({ length: 50 }, () => pick(members, random));
    };
    assert.deepEqual(draw(pickPairBySlots), draw(pickAnyPair));
  });
});
