/**
 * A configuration source that follows the platform's desired state, which the
 * platform validates and numbers. A few agents of each data centre watch it and
 * send it to the others, and a few deputies watch in their place when they
 * can't; an agent that hears of no other watches by itself. The other agents
 * are found in the platform's list of started agents.
 *
 * @module
 */
import type { Address } from "../core/agent.ts";
import {
  desiredOf,
  desiredRecord,
  initialAgentRecord,
} from "../core/dissemination/replica.ts";
import {
  nextWatchMilliseconds,
  type WatcherRank,
  watcherRank,
  watchersOf,
} from "../core/dissemination/watchers.ts";
import type { KeyHash } from "../core/ownership/table.ts";
import {
  configurationOfDesired,
  type ServicePolicy,
} from "../core/routes/desired_state.ts";
import type { Events } from "../ports/events.ts";
import type {
  DesiredStates,
  Members,
  MemberWritten,
} from "../ports/registry.ts";
import type { Versioned } from "../ports/store.ts";
import type { DesiredState } from "../core/routes/desired_state.ts";
import type {
  ConfigurationSource,
  SourceContext,
  StartSource,
} from "./configuration_source.ts";
import { startEntryRestore } from "./entry_restore.ts";
import type { EvacuationsTask, WatchContext } from "./evacuations_task.ts";
import { trackStoreAvailability } from "./store_availability.ts";
import type { StoreEraTask } from "./store_era_task.ts";
import { monotonicNow, pause } from "./time.ts";
import { startWatchReports, type WatchReportTimes } from "./watch_reports.ts";

/** Durations of the watch, in milliseconds. */
export interface DesiredStateTimes extends WatchReportTimes {
  readonly maxWatchMilliseconds: number;
  /**
   * One watch of all agents ends in each such interval. It is found within this
   * time that all connections to the store have gone silent.
   */
  readonly watchIntervalMilliseconds: number;
  /** Time for a watch to report a revision that another agent has in force. */
  readonly maxWatchLagMilliseconds: number;
  readonly retryMilliseconds: number;
  /** The same for an agent that watches in the place of another. */
  readonly substituteRetryMilliseconds: number;
  /** A read without an answer for so long lets a deputy watch as well. */
  readonly slowReadMilliseconds: number;
  /**
   * How long a started agent waits for others to become known, and to tell it
   * the desired state, before it decides whether to watch.
   */
  readonly introductionMilliseconds: number;
  /** An agent that has heard of no other for so long watches by itself. */
  readonly maxSilenceMilliseconds: number;
}

/** What the configuration source needs. */
export interface DesiredStateSourceOptions {
  readonly desiredStates: DesiredStates;
  readonly members: Members;
  /** Left out for a store that never goes back to an older copy. */
  readonly storeEra?: StoreEraTask;
  /** Configured peer addresses of other agents, which may be out of date. */
  readonly seeds: readonly Address[];
  readonly policy: ServicePolicy;
  readonly times: DesiredStateTimes;
  readonly events: Events;
  readonly hash: KeyHash;
  /** Returns a number from 0 up to but not including 1. */
  readonly random: () => number;
  /** Follows the evacuations in the same turns; null where there are none. */
  readonly evacuations?: EvacuationsTask | null;
  /** Called when the store has the entry of this agent. */
  readonly onRegistered: (written: MemberWritten) => void;
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
  const trackAvailability = trackStoreAvailability(events);
  /** Aborted when this agent may have to begin to watch. */
  let idle = new AbortController();
  const reports = startWatchReports({
    agent: context.agent,
    agents: () => context.agents(),
    times,
    hash: options.hash,
    send: (receivers, report) => context.reportWatch(receivers, report),
    onChange: () => idle.abort(),
  });
  /** When another agent was last heard of. */
  let heardAt = monotonicNow();
  /** Whether the last watch ended by its time, be it without an answer. */
  let endedInTurn = false;
  /** The watches of other agents may be silent until then. */
  let othersMayBeSilentUntil = -Infinity;

  function recordAvailability(reachable: boolean): void {
    trackAvailability(reachable);
    reports.recordAccess(reachable);
  }

  /** Randomised, so that agents do not all retry at the same time. */
  function pauseBeforeRetry(
    { substitutes }: { readonly substitutes: boolean },
  ): Promise<void> {
    const milliseconds = substitutes
      ? times.substituteRetryMilliseconds
      : times.retryMilliseconds;
    return pause(milliseconds * (0.5 + options.random()), stopped.signal);
  }

  async function registerAgent(): Promise<void> {
    while (!stopped.signal.aborted) {
      const written = await members.put(context.agent);
      recordAvailability(written.isOk);
      if (written.isOk) options.onRegistered(written.value);
      if (written.isOk && await loadMembers()) return;
      await pauseBeforeRetry({ substitutes: false });
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
    const slow = setTimeout(
      () => reports.recordAccess(false),
      times.slowReadMilliseconds,
    );
    const read = await desiredStates.read();
    clearTimeout(slow);
    recordAvailability(read.isOk);
    if (read.isErr || read.value === null) return null;
    adoptAndSpread(read.value.value);
    return read.value;
  }

  /** Puts a desired state into force; false if it is not newer. */
  function adopt(desired: DesiredState): boolean {
    if (desired.version <= context.current().revision) return false;
    context.apply(configurationOfDesired(desired, options.policy));
    return true;
  }

  function adoptAndSpread(desired: DesiredState): void {
    if (!adopt(desired)) return;
    const records = [desiredRecord(desired)];
    context.publishNear(records);
    if (monotonicNow() > othersMayBeSilentUntil) return;
    context.publishTo(watchersOf(context.agents(), options.hash), records);
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

  /** Null while others watch. */
  function ownRank(): WatcherRank | null {
    const silence = monotonicNow() - heardAt;
    return watcherRank(context.agent, context.agents(), {
      hash: options.hash,
      isolated: silence > times.maxSilenceMilliseconds,
      reachesStore: reports.reachesStore,
    });
  }

  /** Resolves after a while, and earlier once other agents can't watch. */
  async function awaitTurn(): Promise<void> {
    idle = new AbortController();
    const stop = () => idle.abort();
    stopped.signal.addEventListener("abort", stop, { once: true });
    await pause(times.retryMilliseconds, idle.signal);
    stopped.signal.removeEventListener("abort", stop);
  }

  async function start(): Promise<void> {
    await Promise.race([
      registerAgent(),
      pause(times.maxSilenceMilliseconds, stopped.signal),
    ]);
    await pause(times.introductionMilliseconds, stopped.signal);
    void options.evacuations?.watch(watchContext);
    await watchDesiredState();
  }

  async function watchDesiredState(): Promise<void> {
    let substitutes = false;
    while (!stopped.signal.aborted) {
      const rank = ownRank();
      recordSubstitution(substitutes, rank);
      substitutes = rank?.substitutes ?? false;
      if (rank === null) {
        await awaitTurn();
        continue;
      }
      const found = await readDesiredState();
      if (found === null) await pauseBeforeRetry(rank);
      else await watchFrom(found);
    }
  }

  /** A deputy that doesn't call the store knows of no failure to reach it. */
  function recordSubstitution(before: boolean, rank: WatcherRank | null): void {
    if (before === (rank?.substitutes ?? false)) return;
    events.record(before ? "store-watch-returned" : "store-watch-taken-over");
    if (before) reports.recordAccess(true);
  }

  /** Resolves once the watch has failed, or others watch. */
  async function watchFrom(
    { version, era = 0 }: Pick<Versioned<DesiredState>, "version" | "era">,
  ): Promise<void> {
    let from = version;
    for (;;) {
      const rank = ownRank();
      if (rank === null || stopped.signal.aborted) return;
      const maxWaitMilliseconds = nextWatchMilliseconds(rank, {
        endedInTurn,
        intervalMilliseconds: times.watchIntervalMilliseconds,
        maxMilliseconds: times.maxWatchMilliseconds,
      });
      const startedAt = monotonicNow();
      const result = await desiredStates.awaitChange({
        version: from,
        maxWaitMilliseconds,
      });
      const waited = monotonicNow() - startedAt;
      endedInTurn = waited >= maxWaitMilliseconds;
      if (result.isErr) {
        reports.recordAccess(false);
        return endedInTurn ? recordSilence(rank) : pauseBeforeRetry(rank);
      }
      recordAvailability(true);
      if (result.value.latest !== null) adoptAndSpread(result.value.latest);
      // The version was one of another era, so that changes may be missing.
      if ((result.value.era ?? 0) > era) return;
      from = result.value.version;
    }
  }

  /** The next read shows whether only this watch's connection is silent. */
  function recordSilence({ count }: WatcherRank): void {
    events.record("store-watch-silent");
    othersMayBeSilentUntil = monotonicNow() + 2 * Math.min(
          count * times.watchIntervalMilliseconds,
          times.maxWatchMilliseconds,
        );
  }

  const watchContext: WatchContext = {
    ...context,
    rank: ownRank,
    stopped: stopped.signal,
  };
  void start();
  if (options.storeEra !== undefined) {
    startEntryRestore({
      storeEra: options.storeEra,
      entry: "member",
      agents: () => context.agents().length,
      random: options.random,
      retryMilliseconds: times.retryMilliseconds,
      stopped: stopped.signal,
      events,
      exists: () => true,
      write: async () => (await members.put(context.agent)).isOk,
    });
  }

  return {
    async seeds() {
      await loadMembers();
      return options.seeds;
    },
    handleReplicaChange(replica) {
      options.evacuations?.handleReplicaChange(replica, watchContext);
      const desired = desiredOf(replica);
      if (desired === null || !adopt(desired)) return;
      // The agents near a watcher rely on it, also when its own watch is silent.
      if (ownRank() !== null) context.publishNear([desiredRecord(desired)]);
    },
    handlePeerRevision(revision) {
      heardAt = monotonicNow();
      if (revision > context.current().revision) void rereadIfBehind(revision);
    },
    handlePeerConfirmation: () => undefined,
    handleWatchReport: reports.handle,
    // The store validates and keeps the desired state. While the store is
    // unavailable, an agent goes on with the latest state that it has read.
    fresh: () => context.current().revision > 0,
    stop() {
      stopped.abort();
      // A stopping agent no longer watches, though it runs on for a while.
      reports.recordAccess(false);
      reports.stop();
      return Promise.resolve();
    },
  };
}
