/**
 * The task that owns what this agent knows of evacuated data centres. It learns
 * them from other agents and, while this agent watches the store for others, by
 * a watch of its own that follows the same turns as that of the desired state.
 *
 * @module
 */
import type { Agent } from "../core/agent.ts";
import {
  evacuationsOf,
  evacuationsRecord,
  type Replica,
  type SharedRecord,
} from "../core/dissemination/replica.ts";
import {
  nextWatchMilliseconds,
  type WatcherRank,
  watchersOf,
} from "../core/dissemination/watchers.ts";
import type { KeyHash } from "../core/ownership/table.ts";
import {
  adoptEvacuations,
  changedList,
  describeEvacuated,
  dropEndedRetention,
  evacuatedDataCenters,
  type EvacuationList,
  type EvacuationState,
  hasSameDataCenters,
  incompleteUntil,
  mustDistribute,
  nextRetentionEnd,
  unknownEvacuations,
} from "../core/routing/evacuations.ts";
import type { EventDetail, Events } from "../ports/events.ts";
import type { Evacuations } from "../ports/registry.ts";
import type { StoreFault } from "../ports/store.ts";
import { openMailbox } from "./mailbox.ts";
import type { StoreEraTask } from "./store_era_task.ts";
import { monotonicNow, pause } from "./time.ts";

/** Durations of the watch, in milliseconds. */
export interface EvacuationWatchTimes {
  readonly maxWatchMilliseconds: number;
  /** One watch of all agents ends in each such interval. */
  readonly watchIntervalMilliseconds: number;
  readonly retryMilliseconds: number;
  /** After a read that failed. */
  readonly substituteRetryMilliseconds: number;
}

/** What the watch needs of the source that decides which agents watch. */
export interface WatchContext {
  agents(): readonly Agent[];
  /** The place of this agent among those that watch; null while others do. */
  rank(): WatcherRank | null;
  publishNear(records: readonly SharedRecord[]): void;
  publishTo(agents: readonly Agent[], records: readonly SharedRecord[]): void;
  readonly stopped: AbortSignal;
}

/** The running task. */
export interface EvacuationsTask {
  /**
   * Whether a target in this data centre may be sent nothing: it is evacuated,
   * or the evacuations are not known yet, or not completely.
   */
  isClosed(dataCenter: string): boolean;
  /** The data centres that are known to be evacuated. */
  evacuated(): ReadonlySet<string>;
  /** What log lines say of these; nothing while there are none. */
  describe(): EventDetail;
  /** Must be called when records of other agents have changed. */
  handleReplicaChange(replica: Replica, context: WatchContext): void;
  /** Watches the store whenever this agent has a rank; resolves when stopped. */
  watch(context: WatchContext): Promise<void>;
  stop(): void;
}

type Message =
  | { readonly kind: "received"; readonly list: EvacuationList }
  | { readonly kind: "retentionEnded" }
  | { readonly kind: "eraChanged" };

/** Node's timers may fire up to 1 ms early by the monotonic clock. */
const timerMarginMilliseconds = 1;

/** Starts without any knowledge of evacuations. */
export function startEvacuations(options: {
  readonly store: Evacuations;
  readonly storeEra: Pick<StoreEraTask, "current" | "onChange">;
  readonly times: EvacuationWatchTimes;
  readonly events: Events;
  readonly hash: KeyHash;
  /** Returns a number from 0 up to but not including 1. */
  readonly random: () => number;
  /** Called when data centres were evacuated or are no longer. */
  readonly onChange: () => void;
}): EvacuationsTask {
  const { store, storeEra, times, events } = options;
  let state: EvacuationState = unknownEvacuations;
  let evacuated: ReadonlySet<string> = new Set();
  /** The list that this agent itself has observed last; null for none. */
  let observed: EvacuationList | null = null;
  /** Whether the last read has succeeded. */
  let readable = true;
  let retentionTimer: ReturnType<typeof setTimeout> | null = null;

  const mailbox = openMailbox<Message>((message) => {
    const before = state;
    if (message.kind === "received") {
      state = adoptEvacuations(state, message.list, monotonicNow());
      if (state === before) return;
    }
    const now = monotonicNow();
    state = dropEndedRetention(state, now);
    expectRetentionEnd(now);
    const next = evacuatedDataCenters(state, now);
    recordChange(evacuated, next);
    evacuated = next;
    options.onChange();
  });

  storeEra.onChange(() => mailbox.send({ kind: "eraChanged" }));

  function isIncomplete(): boolean {
    const until = incompleteUntil(state, storeEra.current());
    return until !== null && monotonicNow() < until;
  }

  function recordChange(
    former: ReadonlySet<string>,
    next: ReadonlySet<string>,
  ): void {
    const { era = 0, revision = 0 } = state.latest ?? {};
    for (const dataCenter of next) {
      if (former.has(dataCenter)) continue;
      events.record("evacuation-begun", { dataCenter, era, revision });
    }
    for (const dataCenter of former) {
      if (next.has(dataCenter)) continue;
      events.record("evacuation-ended", { dataCenter, era, revision });
    }
  }

  /** Replaces the timer, so that one is set while anything is retained. */
  function expectRetentionEnd(now: number): void {
    if (retentionTimer !== null) clearTimeout(retentionTimer);
    const ends = [
      nextRetentionEnd(state),
      incompleteUntil(state, storeEra.current()),
    ].filter((end) => end !== null).filter((end) => now < end);
    retentionTimer = ends.length === 0 ? null : setTimeout(
      () => mailbox.send({ kind: "retentionEnded" }),
      Math.min(...ends) - now + timerMarginMilliseconds,
    );
  }

  /** Distributes what this agent has observed, where others don't know it. */
  function distribute(
    context: WatchContext,
    { toWatchers }: { readonly toWatchers: boolean },
  ): void {
    if (observed === null || !mustDistribute(observed, state.latest)) return;
    mailbox.send({ kind: "received", list: observed });
    const records = [evacuationsRecord(observed)];
    context.publishNear(records);
    if (!toWatchers) return;
    context.publishTo(watchersOf(context.agents(), options.hash), records);
  }

  async function watch(context: WatchContext): Promise<void> {
    const { stopped } = context;
    while (!stopped.aborted) {
      const rank = context.rank();
      if (rank === null) {
        await pause(times.retryMilliseconds, stopped);
        continue;
      }
      const read = await store.read();
      recordReadable(read.isErr ? read.error : null);
      if (read.isErr) {
        await pauseBeforeRetry(times.substituteRetryMilliseconds, stopped);
        continue;
      }
      observed = read.value;
      // A read follows a failed watch; those of other watchers may be silent.
      distribute(context, { toWatchers: true });
      await watchFrom(read.value, context);
    }
  }

  /** Records the first of several failures: an agent may wait for its list. */
  function recordReadable(fault: StoreFault | null): void {
    if (fault !== null && readable) {
      const detail = "detail" in fault ? fault.detail : fault.kind;
      events.record("evacuations-unread", { detail });
    }
    readable = fault === null;
  }

  /** Resolves once the list must be read again, or others watch. */
  async function watchFrom(
    list: EvacuationList,
    context: WatchContext,
  ): Promise<void> {
    let latest = list;
    let endedInTurn = false;
    for (;;) {
      const rank = context.rank();
      if (rank === null || context.stopped.aborted) return;
      const maxWaitMilliseconds = nextWatchMilliseconds(rank, {
        endedInTurn,
        intervalMilliseconds: times.watchIntervalMilliseconds,
        maxMilliseconds: times.maxWatchMilliseconds,
      });
      const startedAt = monotonicNow();
      const result = await store.awaitChange({
        since: latest.revision,
        maxWaitMilliseconds,
      });
      endedInTurn = monotonicNow() - startedAt >= maxWaitMilliseconds;
      if (result.isErr) {
        if (endedInTurn) return;
        return pauseBeforeRetry(times.retryMilliseconds, context.stopped);
      }
      const next = changedList(latest, result.value);
      if (next === null) return;
      latest = next;
      observed = next;
      distribute(context, { toWatchers: false });
    }
  }

  /** Randomised, so that agents do not all retry at the same time. */
  function pauseBeforeRetry(
    milliseconds: number,
    stopped: AbortSignal,
  ): Promise<void> {
    return pause(milliseconds * (0.5 + options.random()), stopped);
  }

  return {
    isClosed: (dataCenter) =>
      state.latest === null || evacuated.has(dataCenter) || isIncomplete(),
    evacuated: () => evacuated,
    describe: () => describeEvacuated(state, evacuated),
    handleReplicaChange(replica, context) {
      const list = evacuationsOf(replica);
      if (list === null) return;
      const before = state;
      mailbox.send({ kind: "received", list });
      if (state === before || context.rank() === null) return;
      // Another watcher may have distributed an older list only now.
      distribute(context, { toWatchers: false });
      if (state.latest !== list) return;
      if (before.latest && hasSameDataCenters(before.latest, list)) return;
      // The agents near a watcher rely on it, also when its own watch is silent.
      context.publishNear([evacuationsRecord(list)]);
    },
    watch,
    stop() {
      if (retentionTimer !== null) clearTimeout(retentionTimer);
      mailbox.close();
    },
  };
}
