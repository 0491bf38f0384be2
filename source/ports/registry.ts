/**
 * What a platform stores for the agents: the operators' desired state, which
 * the platform has validated and numbered, the data centres that they have
 * evacuated, the list of agents that have started, and the departures of their
 * targets.
 *
 * @module
 */
import type { Result } from "true-myth";
import type { Agent } from "../core/agent.ts";
import type { RecordedDeparture } from "../core/target/departures.ts";
import type { DesiredState } from "../core/routes/desired_state.ts";
import type {
  EvacuationChange,
  EvacuationList,
} from "../core/routing/evacuations.ts";
import type { StoreFault, Versioned } from "./store.ts";

/** The operators' desired state. */
export interface DesiredStates {
  /** The latest desired state; null while operators have written none. */
  read(): Promise<Result<Versioned<DesiredState> | null, StoreFault>>;
  /**
   * Resolves when the desired state has changed since `version`, or after
   * `maxWaitMilliseconds`.
   */
  awaitChange(options: {
    readonly version: string;
    readonly maxWaitMilliseconds: number;
  }): Promise<Result<DesiredStateChange, StoreFault>>;
}

/** What a watch of the desired state has reported. */
export interface DesiredStateChange {
  /** The latest desired state; null if it has not changed. */
  readonly latest: DesiredState | null;
  /** The version for the next call. */
  readonly version: string;
  /** The era of the store that has answered; left out for era 0. */
  readonly era?: number | undefined;
}

/** The data centres that operators have evacuated. */
export interface Evacuations {
  read(): Promise<Result<EvacuationList, StoreFault>>;
  /**
   * Resolves when evacuations have changed since the revision, or after
   * `maxWaitMilliseconds`. After a failure the list must be read again.
   */
  awaitChange(options: {
    readonly since: number;
    readonly maxWaitMilliseconds: number;
  }): Promise<Result<EvacuationChange, StoreFault>>;
}

/** The agents that have started, as each described itself at its start. */
export interface Members {
  list(): Promise<Result<readonly Agent[], StoreFault>>;
  /** Writes this agent's own entry and overwrites any earlier one. */
  put(agent: Agent): Promise<Result<MemberWritten, StoreFault>>;
}

/** The entry of an agent has been written. */
export interface MemberWritten {
  /**
   * Whether it has taken the place of an earlier process's entry. If not, there
   * may have been one that the store lost when it went back to an older copy.
   */
  readonly replaced: boolean;
}

/** What agents have acknowledged of targets that leave, by host. */
export interface TargetDepartures {
  /** Empty if nothing was written for the host. */
  read(host: string): Promise<Result<readonly RecordedDeparture[], StoreFault>>;
  /** Writes the host's departures in place of the earlier ones. */
  put(
    host: string,
    departures: readonly RecordedDeparture[],
  ): Promise<Result<null, StoreFault>>;
}
