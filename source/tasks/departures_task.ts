/**
 * The task that keeps what this process acknowledges of leaving targets where
 * the agent's next process finds it, in the store and at a few other agents,
 * and that loads from there what a former process has acknowledged.
 *
 * @module
 */
import type { Agent } from "../core/agent.ts";
import type { KeyHash } from "../core/ownership/table.ts";
import {
  type RecordedDeparture,
  sameDepartures,
  witnessesOf,
} from "../core/target/departures.ts";
import type { Events } from "../ports/events.ts";
import type { Peers } from "../ports/peers.ts";
import type { MemberWritten, TargetDepartures } from "../ports/registry.ts";
import {
  type EntryRestoreOptions,
  startEntryRestore,
} from "./entry_restore.ts";
import { pause } from "./time.ts";

/** Durations of the task, in milliseconds. */
export interface DeparturesTimes {
  /** How long it takes at most to say whether departures are kept. */
  readonly maxKeepMilliseconds: number;
  /** How long the other agents' word is not enough, as the store may answer. */
  readonly storeWaitMilliseconds: number;
  readonly callTimeoutMilliseconds: number;
  readonly retryMilliseconds: number;
}

/** The running task. */
export interface DeparturesTask {
  /** Resolves to whether anyone but this process keeps these departures. */
  keep(departures: readonly RecordedDeparture[]): Promise<boolean>;
  /** Must be called when the store has the entry of this agent. */
  handleRegistered(written: MemberWritten): void;
  stop(): void;
}

/** Starts the task, and loads what a former process has acknowledged. */
export function startDepartures(options: {
  readonly agent: Agent;
  readonly agents: () => readonly Agent[];
  readonly store: TargetDepartures;
  readonly peers: Peers;
  readonly events: Events;
  readonly hash: KeyHash;
  readonly times: DeparturesTimes;
  /** Left out for a store that never goes back to an older copy. */
  readonly restore?: Pick<EntryRestoreOptions, "storeEra" | "random">;
  /**
   * Called with what former processes of this agent have acknowledged, as soon
   * as the store or another agent has answered, and again with later answers.
   */
  readonly onLoaded: (departures: readonly RecordedDeparture[]) => void;
}): DeparturesTask {
  const { store, peers, events, times } = options;
  const { host } = options.agent;
  const stopped = new AbortController();
  let latest: readonly RecordedDeparture[] = [];
  /** What a former process has acknowledged, as last read. */
  let loaded: readonly RecordedDeparture[] = [];
  let keeping: Promise<boolean> | null = null;
  let handleRegistered: (written: MemberWritten) => void = () => undefined;
  const registered = new Promise<MemberWritten>((resolve) => {
    handleRegistered = resolve;
  });

  function witnesses(): readonly Agent[] {
    return witnessesOf(options.agent, options.agents(), options.hash);
  }

  async function writeDepartures(
    departures: readonly RecordedDeparture[],
  ): Promise<boolean> {
    return (await store.put(host, departures)).isOk;
  }

  /** Those of a former process are part of the latest once any was kept. */
  function toRestore(): readonly RecordedDeparture[] {
    return latest.length > 0 ? latest : loaded;
  }

  /** False if others were acknowledged meanwhile, or the write has failed. */
  async function restoreDepartures(): Promise<boolean> {
    const departures = toRestore();
    const written = await writeDepartures(departures);
    return written && departures === toRestore();
  }

  async function sendToWitness(
    { peerAddress }: Agent,
    departures: readonly RecordedDeparture[],
  ): Promise<boolean> {
    const stored = await peers.call(peerAddress, "storeDepartures", {
      message: { host, departures },
      timeoutMilliseconds: times.callTimeoutMilliseconds,
    });
    return stored.isOk;
  }

  async function startKeeping(
    departures: readonly RecordedDeparture[],
  ): Promise<boolean> {
    const kept = await anyHolds([
      writeDepartures(departures),
      ...witnesses().map((agent) => sendToWitness(agent, departures)),
    ]);
    if (!kept) {
      events.record("departures-not-kept", { departures: latest.length });
    }
    return kept;
  }

  async function keep(
    departures: readonly RecordedDeparture[],
  ): Promise<boolean> {
    if (keeping === null || !sameDepartures(departures, latest)) {
      latest = departures;
      const started = startKeeping(departures);
      keeping = started;
      // The next report of the target tries again.
      void started.then((kept) => {
        if (!kept && keeping === started) keeping = null;
      });
    }
    const tooLate = pause(times.maxKeepMilliseconds).then(() => false);
    return await Promise.race([keeping, tooLate]);
  }

  /** Null if the store has not answered in time. */
  async function readStored(): Promise<readonly RecordedDeparture[] | null> {
    const read = await Promise.race([
      store.read(host),
      pause(times.storeWaitMilliseconds).then(() => null),
    ]);
    return read?.isOk === true ? read.value : null;
  }

  /** Null if no other agent has answered. */
  async function askWitnesses(): Promise<readonly RecordedDeparture[] | null> {
    const answers = await Promise.all(
      witnesses().map(({ peerAddress }) =>
        peers.call(peerAddress, "departuresOf", {
          message: { host },
          timeoutMilliseconds: times.callTimeoutMilliseconds,
        })
      ),
    );
    const held = answers.flatMap((answer) => answer.isOk ? [answer.value] : []);
    return held.length === 0 ? null : held.flat();
  }

  /**
   * Whether the store has every write that it has acknowledged. One that states
   * an era may have gone back, also before the first era that this process saw.
   */
  function losesNothing(): boolean {
    return (options.restore?.storeEra.current().era ?? 0) === 0;
  }

  /**
   * Goes on until the store has answered: it may know more than others. A store
   * that may have lost departures is not enough: a witness must answer too.
   */
  async function load(): Promise<void> {
    const written = await Promise.race([
      registered,
      pause(times.storeWaitMilliseconds, stopped.signal).then(() => null),
    ]);
    if (written?.replaced === false && losesNothing()) {
      return options.onLoaded([]);
    }
    let stored: readonly RecordedDeparture[] | null = null;
    while (!stopped.signal.aborted) {
      const known: readonly RecordedDeparture[] | null = stored;
      const asked = askWitnesses();
      stored = known ?? await readStored();
      const witnessed = await asked;
      if (witnessed !== null || stored !== known) {
        loaded = [...stored ?? [], ...witnessed ?? []];
        options.onLoaded(loaded);
      }
      if (stored !== null && (witnessed !== null || losesNothing())) return;
      await pause(times.retryMilliseconds, stopped.signal);
    }
  }

  void load();
  if (options.restore !== undefined) {
    startEntryRestore({
      ...options.restore,
      entry: "departures",
      agents: () => options.agents().length,
      retryMilliseconds: times.retryMilliseconds,
      stopped: stopped.signal,
      events,
      exists: () => toRestore().length > 0,
      write: restoreDepartures,
    });
  }

  return {
    keep,
    handleRegistered: (written) => handleRegistered(written),
    stop: () => stopped.abort(),
  };
}

/** Resolves to true as soon as one of these does, else to false. */
function anyHolds(all: readonly Promise<boolean>[]): Promise<boolean> {
  const holds = all.map(async (each) => {
    if (!await each) throw new Error("does not hold");
    return true;
  });
  return Promise.any(holds).catch(() => false);
}
