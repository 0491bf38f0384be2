/**
 * What admission reacts to, and what the task that runs it has to carry out.
 *
 * @module
 */
import type { TargetLoad } from "../load/target_load.ts";
import type { Transition } from "../step.ts";
import type { FinishKind } from "./concurrency_limit.ts";
import type { Client } from "./fair_shares.ts";
import type { AdmissionSettings } from "./settings.ts";
import type { RefuseEffect } from "./shortage.ts";
import type { AdmissionState } from "./state.ts";

/** An event that admission reacts to. Times are monotonic milliseconds. */
export type AdmissionEvent =
  | {
    readonly kind: "arrived";
    readonly id: number;
    readonly rank: number;
    /** The kind of work, with its own service time; by rank when left out. */
    readonly work?: string | null;
    /** Whether it has a key; false when left out. */
    readonly keyed?: boolean;
    /** Whom it comes from; not known when left out. */
    readonly client?: Client;
    /** The end of its objective; its deadline when left out. */
    readonly objectiveAt?: number;
    readonly deadlineAt: number;
    readonly now: number;
  }
  | {
    readonly kind: "finished";
    readonly id: number;
    readonly finish: FinishKind;
    /** How slow the target reported to be; null or left out without that. */
    readonly slowness?: number | null;
    /** The load that it reported; null or left out without that. */
    readonly reported?: TargetLoad | null;
    readonly now: number;
  }
  | { readonly kind: "withdrawn"; readonly id: number; readonly now: number }
  | { readonly kind: "tick"; readonly now: number }
  | { readonly kind: "settings"; readonly settings: AdmissionSettings }
  /** The target became cold, or warm again: then the rate is null. */
  | {
    readonly kind: "coldRate";
    readonly requestsPerSecond: number | null;
    readonly now: number;
  }
  /** The target is leaving: all waiting requests are refused. */
  | { readonly kind: "refuseWaiting" }
  /** The agent ends: all waiting and all further requests are refused. */
  | { readonly kind: "close" };

/** The event of one kind. */
export type EventOf<Kind extends AdmissionEvent["kind"]> =
  & AdmissionEvent
  & { readonly kind: Kind };

/** What the task that runs admission has to carry out. */
export type AdmissionEffect =
  | { readonly kind: "start"; readonly id: number }
  | RefuseEffect;

/** The next state of admission, and the effects to carry out. */
export type AdmissionTransition = Transition<AdmissionState, AdmissionEffect>;
