/**
 * The state of one target's admission: what runs, what waits, and what has been
 * measured.
 *
 * @module
 */
import type { ReportedCapacity } from "../load/reported_capacity.ts";
import type { Slowness } from "../load/target_load.ts";
import type { ColdStarts } from "./cold_start.ts";
import { initialLimit } from "./concurrency_limit.ts";
import { type Competition, noCompetition } from "./competition.ts";
import { type Client, type FairShares, noUse } from "./fair_shares.ts";
import { noOfferedWork, type OfferedWork } from "./offered_work.ts";
import { noReturns, type ReturnSchedule } from "./return_schedule.ts";
import type { ServiceTimes } from "./service_times.ts";
import type { AdmissionSettings } from "./settings.ts";

/** A request that waits for a slot. */
export interface WaitingRequest {
  readonly id: number;
  /** The kind of work that it is measured as; null for its whole rank. */
  readonly work: string | null;
  readonly keyed: boolean;
  readonly client: Client;
  readonly arrivedAt: number;
  /** When its objective ends. */
  readonly statedObjectiveAt: number;
  /** Until when its start is worth waiting for; later for short work. */
  readonly objectiveAt: number;
  readonly deadlineAt: number;
}

/** A request that is running in the target. */
export interface RunningRequest {
  readonly rank: number;
  readonly work: string | null;
  readonly keyed: boolean;
  readonly startedAt: number;
  readonly deadlineAt: number;
}

/** The state of one target's admission. */
export interface AdmissionState {
  readonly settings: AdmissionSettings;
  /** How many requests may run concurrently; at most the target's slots. */
  readonly limit: number;
  readonly running: ReadonlyMap<number, RunningRequest>;
  /** The waiting requests of each rank, in their order. */
  readonly waiting: readonly (readonly WaitingRequest[])[];
  /** How many starts each rank is owed by its share. */
  readonly credits: readonly number[];
  /** Mean time in the target for each rank; 0 until measured. */
  readonly serviceMilliseconds: readonly number[];
  /** Mean time in the target of requests with a key; a default at first. */
  readonly keyedMilliseconds: number;
  /** Mean time in the target of all requests; a default at first. */
  readonly meanMilliseconds: number;
  /** Mean time in the target for each kind of work. */
  readonly serviceTimes: ServiceTimes;
  /** The starts of a cold target; null for one that isn't cold. */
  readonly coldStarts: ColdStarts | null;
  /** How slow its machine is, by its own reports; null without any. */
  readonly slowness: Slowness | null;
  /** What it has room for by its own report; null without any. */
  readonly reported: ReportedCapacity | null;
  /** The recent offered load of each rank, whether refused or not. */
  readonly offered: readonly OfferedWork[];
  /** When refused callers return. */
  readonly returns: ReturnSchedule;
  /** The recent use of each rank by clients. */
  readonly use: readonly FairShares[];
  /** Whether the clients of each rank compete. */
  readonly competition: readonly Competition[];
  /** When a request last ended in the target. */
  readonly measuredAt: number;
  readonly closed: boolean;
}

/**
 * The mean time in the target of requests with a key that the first of them
 * adds to. A mean of that one alone could make the target seem ten times as fast
 * as it is.
 */
export const defaultServiceMilliseconds = 100;

/** The state of admission for a target that has run nothing yet. */
export function createAdmission(settings: AdmissionSettings): AdmissionState {
  return {
    settings,
    limit: initialLimit(settings),
    running: new Map(),
    waiting: settings.ranks.map(() => []),
    credits: settings.ranks.map(() => 0),
    serviceMilliseconds: settings.ranks.map(() => 0),
    keyedMilliseconds: defaultServiceMilliseconds,
    meanMilliseconds: defaultServiceMilliseconds,
    serviceTimes: new Map(),
    coldStarts: null,
    slowness: null,
    reported: null,
    offered: settings.ranks.map(() => noOfferedWork),
    returns: noReturns,
    use: settings.ranks.map(() => noUse),
    competition: settings.ranks.map(() => noCompetition),
    measuredAt: 0,
    closed: false,
  };
}

/** The rank at which a request waits; ranks that don't exist are the last. */
export function waitingRank(
  state: AdmissionState,
  { rank }: { readonly rank: number },
): number {
  return Math.min(rank, state.waiting.length - 1);
}
