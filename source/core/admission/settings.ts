/**
 * The settings of admission.
 *
 * @module
 */

/** A rank of requests; ranks are listed with the most urgent first. */
export interface RankPolicy {
  readonly name: string;
  /**
   * The part guaranteed to the rank under overload, 0 to 1: of the work or of
   * the starts, whichever is less.
   */
  readonly share: number;
}

/** The settings of admission. */
export interface AdmissionSettings {
  /** How many requests the target states that it runs concurrently. */
  readonly slots: number;
  readonly ranks: readonly RankPolicy[];
  /** The maximum number of waiting requests, over all ranks. */
  readonly queueLength: number;
  /** The part of its slots that a new target is given at first, 0 to 1. */
  readonly initialShare?: number;
  /**
   * The longest wait of a request that can no longer meet its objective; only
   * its deadline bounds it when left out.
   */
  readonly maxLateWaitMilliseconds?: number;
  /** Whether clients that compete get fair shares. True when left out. */
  readonly fairShares?: boolean;
  /**
   * Whether requests of a rank that needs nearly all slots wait in the order of
   * their objectives, and not of their deadlines. True when left out.
   */
  readonly objectiveOrder?: boolean;
  /**
   * Whether the room that the target reports bounds what it is given. True when
   * left out.
   */
  readonly limitsByReport?: boolean;
  /** Whether refused callers return in an order. True when left out. */
  readonly returnOrder?: boolean;
  /**
   * Whether an arriving request that can be in time isn't expected to wait for
   * late ones, which start after it. True when left out.
   */
  readonly discountsLate?: boolean;
}
