/**
 * What a platform keeps for the agents: the operators' desired state, already
 * judged and numbered, and the agents that have started.
 *
 * @module
 */
import type { Result } from "true-myth";
import type { Agent } from "../core/agent.ts";
import type { DesiredState } from "../core/routes/desired_state.ts";
import type { StoreFault, Versioned } from "./store.ts";

/** The operators' desired state. */
export interface DesiredStates {
  /** The newest desired state; null while operators have written none. */
  read(): Promise<Result<Versioned<DesiredState> | null, StoreFault>>;
  /**
   * Resolves when something changed after this version of the store, or when
   * the wait is over; brings the version to wait from next.
   */
  awaitChange(options: {
    readonly version: string;
    readonly maxWaitMilliseconds: number;
  }): Promise<
    Result<{ readonly changed: boolean; readonly version: string }, StoreFault>
  >;
}

/** The agents that have started, as they described themselves then. */
export interface Members {
  list(): Promise<Result<readonly Agent[], StoreFault>>;
  /** Writes this agent's own entry, whatever was there before. */
  put(agent: Agent): Promise<Result<null, StoreFault>>;
}
