/**
 * The task that keeps what this process acknowledges of leaving targets where
 * the agent's next process finds it, in the store and at a few other agents,
 * and that learns there what a former process has acknowledged.
 *
 * @module
 */
import type { Agent } from "../core/agent.ts";
import type { KeyHash } from "../core/ownership/table.ts";
import {
  type NotedDeparture,
  sameDepartures,
  witnessesOf,
} from "../core/target/departures.ts";
import type { Events } from "../ports/events.ts";
import type { Peers } from "../ports/peers.ts";
import type { MemberWritten, TargetDepartures } from "../ports/registry.ts";
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
  keep(departures: readonly NotedDeparture[]): Promise<boolean>;
  /** Must be called when the store has the entry of this agent. */
  handleRegistered(written: MemberWritten): void;
  stop(): void;
}

/** Starts the task, and learns what a former process has acknowledged. */
export function startDepartures(options: {
  readonly agent: Agent;
  readonly agents: () => readonly Agent[];
  readonly store: TargetDepartures;
  readonly peers: Peers;
  readonly events: Events;
  readonly hash: KeyHash;
  readonly times: DeparturesTimes;
  /**
   * Called with what former processes of this agent have acknowledged, as soon
   * as someone has answered for all of them, and with what is learnt later.
   */
  readonly onLearnt: (departures: readonly NotedDeparture[]) => void;
}): DeparturesTask {
  const { store, peers, events, times } = options;
  const { host } = options.agent;
  const stopped = new AbortController();
  let latest: readonly NotedDeparture[] = [];
  let keeping: Promise<boolean> | null = null;
  let handleRegistered: (written: MemberWritten) => void = () => undefined;
  const registered = new Promise<MemberWritten>((resolve) => {
    handleRegistered = resolve;
  });

  function witnesses(): readonly Agent[] {
    return witnessesOf(options.agent, options.agents(), options.hash);
  }

  async function storeDepartures(
    departures: readonly NotedDeparture[],
  ): Promise<boolean> {
    return (await store.put(host, departures)).isOk;
  }

  async function tellWitness(
    { peerAddress }: Agent,
    departures: readonly NotedDeparture[],
  ): Promise<boolean> {
    const told = await peers.call(peerAddress, "noteDepartures", {
      message: { host, departures },
      timeoutMilliseconds: times.callTimeoutMilliseconds,
    });
    return told.isOk;
  }

  async function startKeeping(
    departures: readonly NotedDeparture[],
  ): Promise<boolean> {
    const kept = await anyHolds([
      storeDepartures(departures),
      ...witnesses().map((agent) => tellWitness(agent, departures)),
    ]);
    if (!kept) {
      events.record("departures-not-kept", { departures: latest.length });
    }
    return kept;
  }

  async function keep(departures: readonly NotedDeparture[]): Promise<boolean> {
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
  async function readStored(): Promise<readonly NotedDeparture[] | null> {
    const read = await Promise.race([
      store.read(host),
      pause(times.storeWaitMilliseconds).then(() => null),
    ]);
    return read?.isOk === true ? read.value : null;
  }

  /** Null if no other agent has answered. */
  async function askWitnesses(): Promise<readonly NotedDeparture[] | null> {
    const answers = await Promise.all(
      witnesses().map(({ peerAddress }) =>
        peers.call(peerAddress, "departuresOf", {
          message: { host },
          timeoutMilliseconds: times.callTimeoutMilliseconds,
        })
      ),
    );
    const told = answers.flatMap((answer) => answer.isOk ? [answer.value] : []);
    return told.length === 0 ? null : told.flat();
  }

  /** Goes on until the store has answered: it may know more than others. */
  async function learn(): Promise<void> {
    const written = await Promise.race([
      registered,
      pause(times.storeWaitMilliseconds, stopped.signal).then(() => null),
    ]);
    if (written?.replaced === false) return options.onLearnt([]);
    while (!stopped.signal.aborted) {
      const [stored, told] = await Promise.all([readStored(), askWitnesses()]);
      if (stored !== null || told !== null) {
        options.onLearnt([...stored ?? [], ...told ?? []]);
      }
      if (stored !== null) return;
      await pause(times.retryMilliseconds, stopped.signal);
    }
  }

  void learn();

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
