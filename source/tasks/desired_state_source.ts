/**
 * A configuration source that follows the platform's desired state, which the
 * platform validates and numbers. Each agent watches the desired state, and
 * finds the other agents in the platform's list of started agents.
 *
 * @module
 */
import type { Address } from "../core/agent.ts";
import { initialAgentRecord } from "../core/dissemination/replica.ts";
import {
  configurationOfDesired,
  type ServicePolicy,
} from "../core/routes/desired_state.ts";
import type { Events } from "../ports/events.ts";
import type { DesiredStates, Members } from "../ports/registry.ts";
import type { Versioned } from "../ports/store.ts";
import type { DesiredState } from "../core/routes/desired_state.ts";
import type {
  ConfigurationSource,
  SourceContext,
  StartSource,
} from "./coordinator.ts";
import { trackStoreAvailability } from "./store_availability.ts";
import { pause } from "./time.ts";

/** Durations of the watch, in milliseconds. */
export interface DesiredStateTimes {
  readonly watchMilliseconds: number;
  /** Time for a watch to report a revision that another agent has in force. */
  readonly maxWatchLagMilliseconds: number;
  readonly retryMilliseconds: number;
}

/** What the configuration source needs. */
export interface DesiredStateSourceOptions {
  readonly desiredStates: DesiredStates;
  readonly members: Members;
  /** Configured peer addresses of other agents, which may be out of date. */
  readonly seeds: readonly Address[];
  readonly policy: ServicePolicy;
  readonly times: DesiredStateTimes;
  readonly events: Events;
  /** Returns a number from 0 up to but not including 1. */
  readonly random: () => number;
}

/** Returns a source that follows the platform's desired state. */
export function desiredStateSource(
  options: DesiredStateSourceOptions,
): StartSource {
  return (context) => startSource(options, context);
}

function startSource(
  options: DesiredStateSourceOptions,
  context: SourceContext,
): ConfigurationSource {
  const { desiredStates, members, times, events } = options;
  const stopped = new AbortController();
  const recordAvailability = trackStoreAvailability(events);

  /** Randomised, so that agents do not all retry at the same time. */
  function pauseBeforeRetry(): Promise<void> {
    const milliseconds = times.retryMilliseconds * (0.5 + options.random());
    return pause(milliseconds, stopped.signal);
  }

  async function registerAgent(): Promise<void> {
    while (!stopped.signal.aborted) {
      const written = await members.put(context.agent);
      recordAvailability(written.isOk);
      if (written.isOk && await loadMembers()) return;
      await pauseBeforeRetry();
    }
  }

  /** Reads the agents that have started; false if the list can't be read. */
  async function loadMembers(): Promise<boolean> {
    const listed = await members.list();
    recordAvailability(listed.isOk);
    if (listed.isErr) return false;
    const others = listed.value.filter((agent) =>
      agent.host !== context.agent.host
    );
    const started = others.filter((agent) => agent.phase !== "lost");
    context.publish(started.map(initialAgentRecord));
    context.recordDepartures(
      others.filter((agent) => agent.phase === "lost"),
    );
    return true;
  }

  async function readDesiredState(): Promise<Versioned<DesiredState> | null> {
    const read = await desiredStates.read();
    recordAvailability(read.isOk);
    if (read.isErr || read.value === null) return null;
    adopt(read.value.value);
    return read.value;
  }

  function adopt(desired: DesiredState): void {
    if (desired.version <= context.current().revision) return;
    context.apply(configurationOfDesired(desired, options.policy));
  }

  let rereading = false;

  /** Reads again if the watch reports nothing: its connection may be dead. */
  async function rereadIfBehind(revision: number): Promise<void> {
    if (rereading) return;
    rereading = true;
    await pause(times.maxWatchLagMilliseconds, stopped.signal);
    if (context.current().revision < revision) await readDesiredState();
    rereading = false;
  }

  async function watchDesiredState(): Promise<void> {
    while (!stopped.signal.aborted) {
      const found = await readDesiredState();
      if (found === null) await pauseBeforeRetry();
      else await watchFrom(found.version);
    }
  }

  /** Resolves once the watch has failed. */
  async function watchFrom(version: string): Promise<void> {
    let from = version;
    while (!stopped.signal.aborted) {
      const result = await desiredStates.awaitChange({
        version: from,
        maxWaitMilliseconds: times.watchMilliseconds,
      });
      if (result.isErr) return await pauseBeforeRetry();
      recordAvailability(true);
      if (result.value.latest !== null) adopt(result.value.latest);
      from = result.value.version;
    }
  }

  void registerAgent();
  void watchDesiredState();

  return {
    async seeds() {
      await loadMembers();
      return options.seeds;
    },
    handleReplicaChange: () => undefined,
    handlePeerRevision(revision) {
      if (revision > context.current().revision) void rereadIfBehind(revision);
    },
    handlePeerConfirmation: () => undefined,
    // The store validates and keeps the desired state. While the store is
    // unavailable, an agent goes on with the latest state that it has read.
    fresh: () => context.current().revision > 0,
    stop() {
      stopped.abort();
      return Promise.resolve();
    },
  };
}
