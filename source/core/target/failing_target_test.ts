import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { seededRandom } from "../../../standins/load.ts";
import { testAgent } from "../../../tests/test_agent.ts";
import type { Agent } from "../agent.ts";
import { pickPairBySlots } from "../routing/candidate_pairs.ts";
import { leaveOutFailing } from "../routing/failing_targets.ts";
import {
  chooseHealthyTarget,
  createRouting,
  type RoutingEvent,
  type RoutingState,
  stepRouting,
} from "../routing/routing.ts";
import {
  decideStart,
  type FailingTargetState,
  recordSent,
  recordTargetEnd,
  slotsByShare,
  unknownTarget,
} from "./failing_target.ts";

/** How a request ends in a target. */
interface End {
  readonly kind: "answered" | "failed" | "timed-out";
  readonly milliseconds: number;
}
type Fault = (work: number, random: () => number) => End;

const answered = (milliseconds: number): End => ({
  kind: "answered",
  milliseconds,
});
const failed = (milliseconds: number): End => ({
  kind: "failed",
  milliseconds,
});

const timedOut = (milliseconds: number): End => ({
  kind: "timed-out",
  milliseconds,
});

const faults: Readonly<Record<string, Fault>> = {
  "fails all requests": () => failed(5),
  "fails half of its requests": (work, random) =>
    random() < 0.5 ? failed(5) : answered(work),
  "answers nothing": () => timedOut(2_000),
  "is four times as slow": (work) => answered(work * 4),
};

const slots = 6;
const entries = 72;
const requestsPerSecond = 265;
const usualMilliseconds = 200;
const faultAt = 10_000;
const faultEndsAt = 30_000;
const endsAt = 50_000;
const speeds = [0.7, 0.7, 1.6];
const faulty = 1;
const maxWaiting = 4;
const objectiveMilliseconds = 800;
const maxAttempts = 3;

const placeOf = (index: number) => ({
  dataCenter: `dc-${index % 6}`,
  region: `region-${index % 3}`,
});

/** A request that has been accepted by a target. */
interface Accepted {
  readonly entry: number;
  readonly sentAt: number;
}

/**
 * Simulates 72 entries and 18 targets of one service, of which one has a fault
 * for a while. Each entry sends a target a request in some seconds only.
 */
function simulate(
  fault: Fault,
  options: {
    readonly seed: number;
    /** Whether the agent beside the faulty target starts again in the fault. */
    readonly restarts?: boolean;
    /** Whether all targets have the fault. */
    readonly common?: boolean;
  },
) {
  const { seed, common = false } = options;
  const random = seededRandom(seed);
  const targets = Array.from({ length: 18 }, (_, index) => ({
    id: `t${index}`,
    speed: speeds[Math.floor(index / 6)] ?? 1,
    state: unknownTarget as FailingTargetState,
    running: 0,
    waiting: [] as readonly Accepted[],
  }));
  const routings: RoutingState[] = Array.from(
    { length: entries },
    () => createRouting(),
  );
  const due = new Map<number, (() => void)[]>();
  const schedule = (at: number, act: () => void) => {
    const time = Math.ceil(at);
    due.set(time, [...due.get(time) ?? [], act]);
  };
  const feed = (entry: number, event: RoutingEvent) => {
    routings[entry] = stepRouting(routings[entry] ?? createRouting(), event);
  };
  /** When requests started in the faulty target. */
  const startedAt: number[] = [];
  /** Requests that were refused by all targets that they were sent to. */
  let refused = 0;

  function start(
    target: typeof targets[number],
    request: Accepted,
    now: number,
  ) {
    target.running += 1;
    target.state = recordSent(target.state);
    const work = usualMilliseconds * (0.5 + random()) / target.speed;
    const isFaulty = target.id === `t${faulty}`;
    const inFault = (isFaulty || common) && now >= faultAt && now < faultEndsAt;
    const end = inFault ? fault(work, random) : answered(work);
    if (isFaulty) startedAt.push(now);
    schedule(now + end.milliseconds, () => {
      const endedAt = Math.ceil(now + end.milliseconds);
      target.running -= 1;
      target.state = recordTargetEnd(target.state, {
        ...end,
        work: "route",
        objectiveAt: request.sentAt + objectiveMilliseconds,
        now: endedAt,
      });
      const { entry, sentAt } = request;
      feed(entry, {
        kind: end.kind === "answered" ? "replied" : "failed",
        id: target.id,
        load: target.running + target.waiting.length,
        took: { rank: 0, milliseconds: endedAt - sentAt },
        now: endedAt,
      });
      const [next, ...rest] = target.waiting;
      if (next === undefined || target.running >= slots) return;
      target.waiting = rest;
      start(target, next, endedAt);
    });
  }

  function send(entry: number, now: number, tried: ReadonlySet<string>) {
    const agents = targets.map(({ id, state }, index): Agent =>
      testAgent(id, {
        place: placeOf(index),
        slots: slotsByShare(slots, state.published.share),
      })
    );
    const { target } = chooseHealthyTarget(routings[entry] ?? createRouting(), {
      from: placeOf(entry),
      targets: agents,
      rank: 0,
      bodyBytes: 0,
      tried,
      now,
      random,
      pickPair: pickPairBySlots,
      leavesOut: leaveOutFailing,
    });
    const chosen = targets.find(({ id }) => id === target?.id);
    if (chosen === undefined) return;
    feed(entry, { kind: "sent", id: chosen.id, now });
    const decided = decideStart(chosen.state, {
      slots,
      otherSlots: agents.filter(({ id }) => id !== chosen.id).map(({ slots }) =>
        slots
      ),
      now,
    });
    chosen.state = decided.state;
    const failing = !decided.starts;
    if (failing || chosen.waiting.length >= maxWaiting) {
      feed(entry, { kind: "failed", id: chosen.id, failing, now });
      if (tried.size + 1 < maxAttempts) {
        send(entry, now, new Set([...tried, chosen.id]));
      } else if (now >= faultAt) refused += 1;
      return;
    }
    const request = { entry, sentAt: now };
    if (chosen.running < slots) return start(chosen, request, now);
    chosen.waiting = [...chosen.waiting, request];
  }

  for (let now = 1; now < endsAt; now += 1) {
    for (const act of due.get(now) ?? []) act();
    due.delete(now);
    const target = targets[faulty];
    if (options.restarts === true && now === 20_000 && target !== undefined) {
      target.state = { ...unknownTarget, running: target.running };
    }
    if (random() >= requestsPerSecond / 1_000) continue;
    send(Math.floor(random() * entries), now, new Set());
  }
  /** Requests per second that started in the faulty target. */
  const perSecond = (from: number, to: number) =>
    startedAt.filter((at) => at >= from && at < to).length * 1_000 /
    (to - from);
  return { perSecond, refused };
}

const seeds = [1, 2, 3];

function mean(values: readonly number[]): number {
  return values.reduce((sum, each) => sum + each, 0) / values.length;
}

describe("a target that fails requests of many entries", () => {
  for (const [name, fault] of Object.entries(faults)) {
    describe(`and ${name}`, () => {
      const runs = seeds.map((seed) => simulate(fault, { seed }));
      const perSecond = (from: number, to: number) =>
        mean(runs.map((run) => run.perSecond(from, to)));
      const usual = perSecond(5_000, faultAt);

      // Guards against failing targets that go on getting work because no
      // entry sends them enough requests to notice.
      it("loses most of its traffic within five seconds", () => {
        const late = perSecond(faultAt + 5_000, faultEndsAt);
        assert.ok(late < usual / 4, `${late} of ${usual}`);
      });

      // Guards against entries and agents that wait for each other: without
      // requests nothing shows that the target works again.
      it("regains it within fifteen seconds of its recovery", () => {
        const regained = perSecond(faultEndsAt + 15_000, endsAt);
        assert.ok(regained > usual / 2, `${regained} of ${usual}`);
      });

      it("has all its requests run by the others", () => {
        assert.deepEqual(runs.map(({ refused }) => refused), [0, 0, 0]);
      });
    });
  }

  // Guards against a loss of what the agent knew: its target must lose its
  // traffic again by the requests that follow.
  it("loses it again after its agent was started again", () => {
    const fault = faults["fails all requests"];
    assert.ok(fault !== undefined);
    const { perSecond } = simulate(fault, { seed: 1, restarts: true });
    const late = perSecond(25_000, faultEndsAt);
    assert.ok(late < perSecond(5_000, faultAt) / 4, `${late}`);
  });

  // Guards against refusing what can't run anywhere better: requests that are
  // at fault themselves fail at all targets.
  it("runs as many as before while all targets fail", () => {
    const fault = faults["fails half of its requests"];
    assert.ok(fault !== undefined);
    const runs = seeds.map((seed) => simulate(fault, { seed, common: true }));
    const usual = mean(runs.map((run) => run.perSecond(5_000, faultAt)));
    const later = mean(
      runs.map((run) => run.perSecond(faultAt + 5_000, faultEndsAt)),
    );
    assert.ok(later > usual / 2, `${later} of ${usual}`);
  });
});
