/**
 * A crowd of callers that ask one target for more than it can run, without a
 * network: its admission decides, and refused callers return as they are told.
 *
 * @module
 */
import { stepAdmission } from "../source/core/admission/admission.ts";
import type { AdmissionEvent } from "../source/core/admission/events.ts";
import type { AdmissionSettings } from "../source/core/admission/settings.ts";
import {
  type AdmissionState,
  createAdmission,
} from "../source/core/admission/state.ts";
import type { Client } from "../source/core/admission/fair_shares.ts";
import {
  type BookReturn,
  bookReturn,
} from "../source/core/admission/return_schedule.ts";
import { seededRandom } from "../standins/load.ts";

/** One class of requests. */
export interface CrowdClass {
  readonly name: string;
  readonly rank: number;
  /** Mean time in the target; single requests vary around it. */
  readonly workMilliseconds: number;
  readonly objectiveMilliseconds: number;
  readonly deadlineMilliseconds: number;
  /** New work as a multiple of what the target can run. */
  readonly load: (now: number) => number;
  /** Whom its requests come from; not known when left out. */
  readonly client?: Client;
}

/** What came of the new requests of one class. */
export interface ClassOutcome {
  readonly asked: number;
  readonly served: number;
  /** Served within the objective, counted from the first try. */
  readonly inTime: number;
  /** Requests that were refused more than once. */
  readonly refusedAgain: number;
  readonly refusals: number;
}

const none: ClassOutcome = {
  asked: 0,
  served: 0,
  inTime: 0,
  refusedAgain: 0,
  refusals: 0,
};

interface Caller {
  readonly of: CrowdClass;
  readonly beganAt: number;
  readonly refusals: number;
}

/** Callers give up when they are refused after this many returns. */
const maxReturns = 2;
/** Used when a refusal states no delay, as at the platform's callers. */
const defaultRetryMilliseconds = 100;
const maxWaitShare = 1 / 3;
/** One way between a caller and the target. */
const transitMilliseconds = 3;
const tickMilliseconds = 10;

/** Plays new requests until `milliseconds`, and the rest to their end. */
function simulateCrowd(options: {
  readonly classes: readonly CrowdClass[];
  readonly settings: AdmissionSettings;
  readonly milliseconds: number;
  readonly seed: number;
  readonly book?: BookReturn;
  /** The rate of a target that is cold; it is warm when left out. */
  readonly coldRate?: number;
}): ReadonlyMap<string, ClassOutcome> {
  const { classes, settings, book = bookReturn, coldRate = null } = options;
  const random = seededRandom(options.seed);
  let state: AdmissionState = createAdmission(settings);
  const outcomes = new Map(classes.map(({ name }) => [name, none]));
  const callers = new Map<number, Caller>();
  /** What happens at which millisecond. */
  const agenda = new Map<number, (() => void)[]>();
  let id = 0;
  let now = 0;

  function at(time: number, action: () => void): void {
    const due = Math.max(now + 1, Math.round(time));
    agenda.set(due, [...agenda.get(due) ?? [], action]);
  }

  function count(of: CrowdClass, added: Partial<ClassOutcome>): void {
    const former = outcomes.get(of.name) ?? none;
    const sum = { ...former };
    for (const name of Object.keys(added) as (keyof ClassOutcome)[]) {
      sum[name] = former[name] + (added[name] ?? 0);
    }
    outcomes.set(of.name, sum);
  }

  function feed(event: AdmissionEvent): void {
    const next = stepAdmission(state, event, book);
    state = next.state;
    for (const effect of next.effects) {
      const caller = callers.get(effect.id);
      if (caller === undefined) continue;
      if (effect.kind === "start") run(effect.id, caller);
      else refuse(caller, effect.retryAfterMilliseconds);
    }
  }

  function arrive(caller: Caller): void {
    const { of } = caller;
    id += 1;
    callers.set(id, caller);
    const left = caller.beganAt + of.deadlineMilliseconds - now;
    feed({
      kind: "arrived",
      id,
      rank: of.rank,
      work: of.name,
      keyed: true,
      ...(of.client === undefined ? {} : { client: of.client }),
      objectiveAt: now + Math.min(left, of.objectiveMilliseconds),
      deadlineAt: now + left,
      now,
    });
  }

  function run(running: number, { of, beganAt }: Caller): void {
    // From half to one and a half times the mean.
    const milliseconds = of.workMilliseconds * (0.5 + random());
    at(now + milliseconds, () => {
      feed({ kind: "finished", id: running, finish: "answered", now });
      const took = now - beganAt;
      if (took > of.deadlineMilliseconds) return;
      count(of, {
        served: 1,
        inTime: took <= of.objectiveMilliseconds ? 1 : 0,
      });
    });
  }

  function refuse(caller: Caller, retryAfter: number | null): void {
    const { of, beganAt } = caller;
    const refusals = caller.refusals + 1;
    count(of, { refusals: 1, refusedAgain: refusals === 2 ? 1 : 0 });
    if (refusals > maxReturns) return;
    const left = beganAt + of.deadlineMilliseconds - now;
    const asked = retryAfter ?? defaultRetryMilliseconds;
    const waits = Math.min(asked, left * maxWaitShare);
    at(
      now + waits + 2 * transitMilliseconds,
      () => arrive({ ...caller, refusals }),
    );
  }

  feed({ kind: "coldRate", requestsPerSecond: coldRate, now });
  for (; now < options.milliseconds || agenda.size > 0; now += 1) {
    for (const action of agenda.get(now) ?? []) action();
    agenda.delete(now);
    if (now % tickMilliseconds === 0) feed({ kind: "tick", now });
    if (now >= options.milliseconds) continue;
    for (const of of classes) {
      const perMillisecond = of.load(now) * settings.slots /
        of.workMilliseconds;
      let due = perMillisecond;
      // Poisson arrivals, in steps of one millisecond.
      while (due > 0 && random() < Math.min(1, due)) {
        count(of, { asked: 1 });
        arrive({ of, beganAt: now, refusals: 0 });
        due -= 1;
      }
    }
  }
  return outcomes;
}

const seeds = [1, 2, 3];

/** Settings of a target, with the share of each rank. */
export function crowdSettings(shares: readonly number[]): AdmissionSettings {
  return {
    slots: 13,
    ranks: shares.map((share, rank) => ({ name: `rank-${rank}`, share })),
    queueLength: 64,
    initialShare: 1,
    maxLateWaitMilliseconds: 100,
  };
}

/** Work, objective and deadline of a short request, and of a long one. */
export const shortWork = {
  workMilliseconds: 40,
  objectiveMilliseconds: 150,
  deadlineMilliseconds: 500,
};
export const longWork = {
  workMilliseconds: 400,
  objectiveMilliseconds: 2_000,
  deadlineMilliseconds: 10_000,
};

/**
 * Plays a crowd with several seeds. The result returns the part of the new
 * requests of a class that has an outcome.
 */
export function simulateSeeds(
  classes: readonly CrowdClass[],
  options: {
    readonly settings: AdmissionSettings;
    readonly milliseconds?: number;
    readonly book?: BookReturn;
    readonly coldRate?: number;
  },
): (name: string, outcome: keyof ClassOutcome) => number {
  const { milliseconds = 20_000, ...rest } = options;
  const outcomes = seeds.map((seed) =>
    simulateCrowd({ ...rest, classes, milliseconds, seed })
  );
  return (name, outcome) => {
    const sum = (of: keyof ClassOutcome) =>
      outcomes.reduce((sum, map) => sum + (map.get(name)?.[of] ?? 0), 0);
    return sum(outcome) / sum("asked");
  };
}
