/**
 * Runs the coordinators of several agents in one process, with fakes at their
 * ports: peers whose links can be cut or delayed, and a store that can be down
 * or unreachable, or can lose replies. The process's clock is replaced by a
 * fake one, which advances only on request.
 *
 * @module
 */
import { Result } from "true-myth";
import { hashText } from "../source/adapters/hashing.ts";
import { readDocument } from "../source/adapters/document/yaml_document.ts";
import type { Agent } from "../source/core/agent.ts";
import type { Delegation } from "../source/core/ownership/delegation.ts";
import type { Configuration } from "../source/core/document/document.ts";
import type { EventKind, Events } from "../source/ports/events.ts";
import type { PeerMethod, PeerMethods, Peers } from "../source/ports/peers.ts";
import type {
  Repository,
  Store,
  StoreFault,
  Versioned,
} from "../source/ports/store.ts";
import {
  type Coordinator,
  type CoordinatorTimes,
  defaultGroupSettings,
  type GroupSettings,
  startCoordinator,
  type StartSource,
} from "../source/tasks/coordinator.ts";
import { startStoreEra } from "../source/tasks/store_era_task.ts";
import { documentSource } from "../source/tasks/document_source.ts";
import { placeByHash } from "../source/core/ownership/table.ts";
import { seededRandom } from "../standins/load.ts";
import { pauseClock, type PausedClock } from "./test_clock.ts";

/** One agent of a fake mesh, with its coordinator. */
export interface FakeNode {
  readonly agent: Agent;
  readonly coordinator: Coordinator;
  /** The address at which peers reach the node. */
  readonly address: string;
}

/** An event that a node recorded, with its monotonic time. */
export interface FakeEvent {
  readonly at: number;
  readonly host: string;
  readonly kind: EventKind;
  readonly detail: Readonly<Record<string, string | number | boolean>>;
}

/** The location of a node and the service of its target. */
export interface NodeOptions {
  readonly host: string;
  readonly service: string;
  readonly dataCenter: string;
  readonly region: string;
  /** Reuses the address of a lost host; a new address when left out. */
  readonly address?: string;
}

/** A mesh of coordinators on a fake clock. */
export interface FakeMesh {
  readonly nodes: readonly FakeNode[];
  readonly events: readonly FakeEvent[];
  readonly store: FakeStore;
  add(options: NodeOptions): FakeNode;
  node(host: string): FakeNode;
  /** Removes the host permanently, with all that runs on it. */
  lose(host: string): void;
  /** Advances the clock in steps and calls `each` after every step. */
  advance(milliseconds: number, each?: () => void): Promise<void>;
  now(): number;
  /** Sets which hosts reach each other; the store is named "store". */
  setLinks(reaches: (from: string, to: string) => boolean): void;
  /** Sets the additional one-way delay of messages between hosts. */
  setDelays(
    milliseconds: (from: string, to: string, method: PeerMethod) => number,
  ): void;
  /** Restores all links and removes all delays. */
  heal(): void;
  /** Hosts that consider themselves owners of this key now. */
  owners(key: string): readonly string[];
  /** Hosts that consider themselves grantor of a group now. */
  grantors(): readonly string[];
  stop(): Promise<void>;
}

/** Coordinator times that the tests use unless they state others. */
export const defaultCoordinatorTimes: CoordinatorTimes = {
  holder: {
    renewalMilliseconds: 1_000,
    retryMilliseconds: 250,
    callTimeoutMilliseconds: 300,
    marginMilliseconds: 200,
  },
  grantor: {
    tickMilliseconds: 100,
    callTimeoutMilliseconds: 300,
    storeRetryMilliseconds: 500,
  },
  gossip: { exchangeMilliseconds: 500, callTimeoutMilliseconds: 300 },
  leaseMilliseconds: 3_000,
  delegationMilliseconds: 600_000,
  relocationMilliseconds: 2_000,
  censusTimeoutMilliseconds: 1_500,
};

/** Times of the task that watches the operators' document. */
export const documentTimes = {
  watchMilliseconds: 30_000,
  storeRetryMilliseconds: 500,
  censusMilliseconds: 9_000,
};
/** How long a confirmation of the configuration stays valid. */
export const freshnessMilliseconds = 9_000;

const stepMilliseconds = 50;
const latencyMilliseconds = 5;

const timedOut = Symbol("timed out");

/** Starts a mesh. It replaces the process's clock until `stop` is called. */
export function startFakeMesh(options: {
  readonly document: string;
  readonly nodes: readonly NodeOptions[];
  readonly times?: CoordinatorTimes;
  readonly group?: GroupSettings;
  /** Whether the targets reject requests with outdated fencing tokens. */
  readonly checksFencing?: boolean;
  readonly seed?: number;
  /** The first era of the store; left out, it states none. */
  readonly era?: number;
  /** Changes each configuration before it is put into force. */
  readonly adapt?: (configuration: Configuration) => Configuration;
}): FakeMesh {
  const clock = pauseClock();
  const random = seededRandom(options.seed ?? 7);
  const times = options.times ?? defaultCoordinatorTimes;
  const { adapt = (configuration: Configuration) => configuration } = options;
  const nodes: FakeNode[] = [];
  const lost = new Set<FakeNode>();
  const events: FakeEvent[] = [];
  let isLinked: (from: string, to: string) => boolean = () => true;
  let delayBetween: (from: string, to: string, method: PeerMethod) => number =
    () => 0;
  let markCount = 0;
  function isLost(host: string): boolean {
    const found = nodes.findLast((node) => node.agent.host === host);
    return found !== undefined && lost.has(found);
  }

  function reaches(from: string, to: string): boolean {
    return isLinked(from, to) && !isLost(from) && !isLost(to);
  }

  const store = startFakeStore({
    reaches: (from) => reaches(from, "store"),
    era: options.era ?? 0,
  });
  store.putDocument(options.document);

  function peersOf(host: string, isGone: () => boolean): Peers {
    return {
      async call(address, method, { message, timeoutMilliseconds }) {
        const other = nodes.find((node) =>
          node.address === address && !lost.has(node)
        );
        await sleep(latencyMilliseconds);
        const cut = other === undefined || isGone() ||
          !reaches(host, other.agent.host);
        if (cut) {
          await sleep(timeoutMilliseconds);
          return Result.err({ kind: "timeout", detail: method });
        }
        const requestDelay = delayBetween(host, other.agent.host, method);
        const replyDelay = delayBetween(other.agent.host, host, method);
        if (requestDelay + replyDelay > timeoutMilliseconds) {
          // The other agent runs the call although its caller has timed out.
          void sleep(requestDelay).then(() =>
            serve(other, { method, message })
          );
          await sleep(timeoutMilliseconds);
          return Result.err({ kind: "timeout", detail: method });
        }
        if (requestDelay > 0) await sleep(requestDelay);
        // The other agent goes on with a call that its caller has given up.
        const answer = await Promise.race([
          serve(other, { method, message }),
          sleep(timeoutMilliseconds - requestDelay).then(() => timedOut),
        ]);
        if (answer === timedOut) {
          return Result.err({ kind: "timeout", detail: method });
        }
        await sleep(latencyMilliseconds + replyDelay);
        if (!reaches(other.agent.host, host)) {
          await sleep(timeoutMilliseconds);
          return Result.err({ kind: "timeout", detail: method });
        }
        // The type of the reply follows from the method, which is dynamic here.
        return Result.ok(answer as never);
      },
      close: () => Promise.resolve(),
    };
  }

  function add(node: NodeOptions): FakeNode {
    const address = node.address ?? `127.0.0.1:${nodes.length + 1}`;
    const agent: Agent = {
      id: `${node.host}/${Date.now()}`,
      host: node.host,
      incarnation: Date.now(),
      callerAddress: address,
      peerAddress: address,
      place: { dataCenter: node.dataCenter, region: node.region },
      service: node.service,
      group: null,
      slots: 8,
      processors: 1,
      checksFencing: options.checksFencing ?? false,
      phase: "serving",
    };
    const recorder: Events = {
      record(kind, detail = {}) {
        events.push({ at: performance.now(), host: node.host, kind, detail });
      },
    };
    const isGone = () => [...lost].some((other) => other.agent === agent);
    const storeEra = startStoreEra({ events: recorder });
    const nodeStore = store.storeOf(
      node.host,
      isGone,
      storeEra.handleAnswer,
    );
    const coordinator = startCoordinator({
      agent,
      times,
      group: options.group ?? defaultGroupSettings,
      delegations: nodeStore.delegations,
      storeEra,
      peers: peersOf(node.host, isGone),
      events: recorder,
      hash: hashText,
      place: placeByHash(hashText),
      random,
      newWriterMark: () => `mark-${markCount += 1}`,
      startSource: adaptedSource(
        adapt,
        documentSource({
          seeds: nodes.slice(0, 2).map((other) => other.address),
          store: nodeStore,
          times: documentTimes,
          freshnessMilliseconds,
          readDocument,
          events: recorder,
          hash: hashText,
        }),
      ),
      startKeyGrants: null,
      weight: () => agent.slots,
      eventsAfter: () => [],
      onConfiguration: () => undefined,
    });
    const added = { agent, coordinator, address };
    nodes.push(added);
    return added;
  }

  async function advance(
    milliseconds: number,
    each: () => void = () => undefined,
  ): Promise<void> {
    const end = performance.now() + milliseconds;
    while (performance.now() < end) {
      await clock.tickAsync(
        Math.min(stepMilliseconds, end - performance.now()),
      );
      each();
    }
  }

  for (const node of options.nodes) add(node);
  return {
    nodes,
    events,
    store,
    add,
    node(host) {
      const found = nodes.findLast((node) => node.agent.host === host);
      if (found === undefined) throw new Error(`no node ${host}`);
      return found;
    },
    lose(host) {
      lost.add(this.node(host));
    },
    advance,
    now: () => performance.now(),
    setLinks(next) {
      isLinked = next;
    },
    setDelays(milliseconds) {
      delayBetween = milliseconds;
    },
    heal() {
      isLinked = () => true;
      delayBetween = () => 0;
    },
    owners: (key) =>
      nodes.filter((node) => !lost.has(node))
        .filter((node) => node.coordinator.holder()?.owns(key))
        .map((node) => node.agent.host),
    grantors: () =>
      nodes.filter((node) => !lost.has(node))
        .filter((node) => node.coordinator.grantors.groups().length > 0)
        .map((node) => node.agent.host),
    async stop() {
      const stopping = Promise.all(
        nodes.map((node) => node.coordinator.stop()),
      );
      await advanceUntilDone(clock, stopping);
      clock.uninstall();
    },
  };
}

function adaptedSource(
  adapt: (configuration: Configuration) => Configuration,
  start: StartSource,
): StartSource {
  return (context) =>
    start({
      ...context,
      apply: (configuration) => context.apply(adapt(configuration)),
    });
}

async function advanceUntilDone(
  clock: PausedClock,
  work: Promise<unknown>,
): Promise<void> {
  let done = false;
  void work.finally(() => done = true);
  for (let step = 0; step < 200 && !done; step += 1) {
    await clock.tickAsync(1_000);
  }
}

function serve(
  node: FakeNode,
  call: { readonly method: PeerMethod; readonly message: unknown },
): Promise<unknown> {
  const methods: Partial<PeerMethods> = node.coordinator.methods;
  const method = methods[call.method] as (message: unknown) => Promise<unknown>;
  return method(structuredClone(call.message));
}

function sleep(milliseconds: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, milliseconds));
}

/** An in-memory store that all nodes of a mesh share. */
export interface FakeStore {
  /** The store as seen by a process on this host; unreachable once gone. */
  storeOf(
    host: string,
    isGone: () => boolean,
    onEra?: (era: number) => void,
  ): Store;
  putDocument(text: string): void;
  setDown(down: boolean): void;
  /** The next `count` writes take effect, but their replies are lost. */
  loseReplies(count: number): void;
  writeCount(): number;
  /** Copies all objects, but for those of the kinds left out. */
  copy(leftOut?: readonly string[]): StoreCopy;
  /** Goes back to a copy, in the next era; versions are given out again. */
  returnTo(copy: StoreCopy): void;
  /** The delegation of a group; null for none. */
  delegation(group: string): Delegation | null;
}

/** A copy of a fake store. */
export interface StoreCopy {
  readonly objects: ReadonlyMap<string, Versioned<unknown>>;
  readonly version: number;
}

function startFakeStore(options: {
  readonly reaches: (from: string) => boolean;
  readonly era: number;
}): FakeStore {
  let objects = new Map<string, Versioned<unknown>>();
  let { era } = options;
  let version = 0;
  let down = false;
  let repliesToLose = 0;
  let writes = 0;
  const storeTimeoutMilliseconds = 1_000;

  function repository<Value>(
    surroundings: {
      readonly reaches: () => boolean;
      readonly onEra: (era: number) => void;
    },
    kind: string,
  ): Repository<Value> {
    const { reaches, onEra } = surroundings;
    async function reach(): Promise<StoreFault | null> {
      await sleep(latencyMilliseconds);
      if (!down && reaches()) {
        onEra(era);
        return null;
      }
      await sleep(storeTimeoutMilliseconds);
      return { kind: "uncertain", detail: "no answer" };
    }
    return {
      async read(name) {
        const fault = await reach();
        if (fault !== null) return Result.err(fault);
        const found = objects.get(`${kind}/${name}`);
        if (found === undefined) return Result.ok(null);
        return Result.ok({ ...found as Versioned<Value>, era });
      },
      async write(name, value, { version: expected, era: expectedEra }) {
        const fault = await reach();
        if (fault !== null) return Result.err(fault);
        const former = objects.get(`${kind}/${name}`)?.version ?? null;
        if (former !== expected) return Result.err({ kind: "conflict" });
        version += 1;
        writes += 1;
        objects.set(`${kind}/${name}`, { value, version: String(version) });
        if (repliesToLose > 0) {
          repliesToLose -= 1;
          await sleep(storeTimeoutMilliseconds);
          return Result.err({ kind: "uncertain", detail: "reply lost" });
        }
        if (expectedEra !== undefined && era !== expectedEra) {
          return Result.err({ kind: "conflict" });
        }
        return Result.ok(String(version));
      },
    };
  }

  function storeOf(
    host: string,
    isGone: () => boolean,
    onEra: (era: number) => void = () => undefined,
  ): Store {
    const reaches = () => !isGone() && options.reaches(host);
    const surroundings = { reaches, onEra };
    return {
      documents: repository(surroundings, "documents"),
      acceptances: repository(surroundings, "acceptances"),
      delegations: repository(surroundings, "delegations"),
      statuses: repository(surroundings, "statuses"),
      seeds: repository(surroundings, "seeds"),
      async awaitChange() {
        const seen = objects.get("documents/main")?.version;
        const end = performance.now() + 30_000;
        const startedIn = era;
        while (performance.now() < end) {
          if (down || !reaches()) {
            return Result.err({ kind: "uncertain", detail: "no answer" });
          }
          if (objects.get("documents/main")?.version !== seen) break;
          if (era !== startedIn) break;
          await sleep(50);
        }
        onEra(era);
        return Result.ok(null);
      },
    };
  }

  return {
    storeOf,
    putDocument(text) {
      version += 1;
      const value = { text, author: "test" };
      objects.set("documents/main", { value, version: String(version) });
    },
    setDown(value) {
      down = value;
    },
    loseReplies(count) {
      repliesToLose = count;
    },
    writeCount: () => writes,
    copy: (leftOut = []) => ({
      objects: new Map(
        [...objects].filter(([path]) =>
          !leftOut.some((kind) => path.startsWith(`${kind}/`))
        ),
      ),
      version,
    }),
    returnTo(copy) {
      objects = new Map(copy.objects);
      ({ version } = copy);
      era += 1;
    },
    delegation: (group) =>
      objects.get(`delegations/${group}`)?.value as Delegation | undefined ??
        null,
  };
}
