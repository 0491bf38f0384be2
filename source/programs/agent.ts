/**
 * An agent on the product's own protocols: connects the tasks to the adapters
 * behind their ports.
 *
 * @module
 */
import { randomUUID } from "node:crypto";
import { Result } from "true-myth";
import { openCollector } from "../adapters/garbage.ts";
import { hashText } from "../adapters/hashing.ts";
import {
  type HandleRequest,
  type HttpListener,
  openHttpListener,
} from "../adapters/callers/http_listener.ts";
import { servePeers } from "../adapters/hops/peer_server.ts";
import { openStore } from "../adapters/store/store_client.ts";
import { openTarget } from "../adapters/targets/http_target.ts";
import { readDocument } from "../adapters/document/yaml_document.ts";
import type { AdmissionSettings } from "../core/admission/settings.ts";
import { type Agent, agentIdOf } from "../core/agent.ts";
import {
  type Configuration,
  emptyConfiguration,
  serviceNamed,
} from "../core/document/document.ts";
import { placeByHash } from "../core/ownership/table.ts";
import { notRun } from "../core/request/outcome.ts";
import { type AdmissionTask, startAdmission } from "../tasks/admission_task.ts";
import {
  type BodyAdmissionTask,
  startBodyAdmission,
} from "../tasks/body_admission_task.ts";
import {
  type Coordinator,
  type CoordinatorTimes,
  defaultGroupSettings,
  startCoordinator,
} from "../tasks/coordinator.ts";
import { documentSource } from "../tasks/document_source.ts";
import { type EntryTask, startEntry } from "../tasks/entry_task.ts";
import { type ServeTask, startServing } from "../tasks/serve_task.ts";
import { startTargetWatch } from "../tasks/target_watch_task.ts";
import { startStopGate, type StopGate } from "../tasks/stop_gate.ts";
import { monotonicNow } from "../tasks/time.ts";
import {
  callerBounds,
  collectionBounds,
  type MachineLimits,
} from "./caller_policy.ts";
import { observeRequests } from "./observe.ts";
import { operatorPages } from "./operator_pages.ts";
import {
  openCommonAdapters,
  reportAbandoned,
  reportArrivals,
} from "./common_adapters.ts";
import type { AgentSettings } from "./settings.ts";
import { stopServing } from "./stop.ts";

/** An agent that has been started. */
export interface RunningAgent {
  readonly callerAddress: string;
  readonly peerAddress: string;
  /** Runs the planned stop; resolves when nothing runs here any more. */
  stop(): Promise<void>;
}

const grantorTickMilliseconds = 100;
const admissionTickMilliseconds = 10;
const bodyAdmissionTickMilliseconds = 50;
const watchMilliseconds = 30_000;
const storeRetryMilliseconds = 500;
const censusMilliseconds = 9_000;
const censusTimeoutMilliseconds = 1_500;
const relocationMilliseconds = 2_000;
/** Time within which a configuration is to be in force on all agents. */
const freshnessMilliseconds = 9_000;
const healthTimeoutMilliseconds = 250;
const connectTimeoutMilliseconds = 300;
const idleMilliseconds = 4_000;
const connectionsPerAgent = 64;
/** The length of the queue while no configuration states one. */
const defaultQueueLength = 64;
const minTableAgeMilliseconds = 20;
const bytesPerMegabyte = 1_000_000;

const documentTimes = {
  watchMilliseconds,
  storeRetryMilliseconds,
  censusMilliseconds,
};

const retrySettings = {
  earnedByRequest: 0.1,
  maxSaved: 20,
  firstDelayMilliseconds: 10,
  maxDelayMilliseconds: 200,
};

/** Opens the common adapters, and the store and target adapters. */
function openAdapters(
  settings: AgentSettings,
  options: { readonly id: string; readonly writeLog: (line: string) => void },
) {
  const common = openCommonAdapters({
    ...options,
    logLevel: settings.logLevel,
    connections: {
      maxConnections: connectionsPerAgent,
      connectTimeoutMilliseconds,
      idleMilliseconds,
    },
  });
  const store = openStore({
    origin: settings.store,
    timeoutMilliseconds: settings.storeTimeout,
    metrics: common.metrics,
  });
  const target = openTarget({
    address: settings.target,
    settings: {
      maxConnections: settings.slots,
      connectTimeoutMilliseconds,
      idleMilliseconds,
    },
    now: monotonicNow,
    healthTimeoutMilliseconds,
    onInvalidAnswer: (request, fault) =>
      common.events.record("target-answer-spoilt", { request, fault }),
  });
  const countPassedBytes = openCollector(
    collectionBounds(machineLimits(settings)),
  );
  return { ...common, store, target, countPassedBytes };
}

type AgentAdapters = ReturnType<typeof openAdapters>;

/** The tasks, which are started once the ports of the listeners are known. */
interface AgentTasks {
  readonly coordinator: Coordinator;
  readonly admission: AdmissionTask;
  readonly bodyAdmission: BodyAdmissionTask;
  readonly serve: ServeTask;
  readonly entry: EntryTask;
  readonly gate: StopGate;
}

/**
 * Starts an agent. The error is a text for the operator that names the listener
 * that could not be opened.
 */
export async function startAgent(
  settings: AgentSettings,
  options: { readonly writeLog: (line: string) => void },
): Promise<Result<RunningAgent, string>> {
  const incarnation = Date.now();
  const id = agentIdOf(settings.host, incarnation);
  const adapters = openAdapters(settings, { ...options, id });
  let tasks: AgentTasks | null = null;
  const listeners = await openListeners(settings, {
    adapters,
    tasks: () => tasks,
    id,
  });
  if (listeners.isErr) {
    await closeAdapters(adapters);
    return Result.err(listeners.error);
  }
  const { callers, agents } = listeners.value;
  const agent: Agent = {
    id,
    host: settings.host,
    incarnation,
    callerAddress: addressOf(settings.listen.host, callers),
    peerAddress: addressOf(settings.peerListen.host, agents),
    place: { dataCenter: settings.dataCenter, region: settings.region },
    service: settings.service,
    group: null,
    slots: settings.slots,
    processors: 1,
    checksFencing: settings.checksFencing,
    phase: "serving",
  };
  adapters.events.record("agent-started", {
    callers: agent.callerAddress,
    peers: agent.peerAddress,
    service: agent.service,
    dataCenter: agent.place.dataCenter,
  });
  const targetWatch = startTargetWatch({
    target: adapters.target,
    events: adapters.events,
    onChange: (leaving) => tasks?.coordinator.setLeaving(leaving),
  });
  const started = startTasks(settings, {
    adapters,
    agent,
    accepts: targetWatch.accepts,
  });
  tasks = started;
  const peerServer = servePeers({
    server: agents.server,
    methods: {
      ...started.coordinator.methods,
      offerBody: started.bodyAdmission.offer,
      lendRetries: started.entry.lendRetries,
    },
    clock: adapters.clock,
  });

  async function stop(): Promise<void> {
    adapters.events.record("agent-stopping");
    targetWatch.leave();
    await started.coordinator.beginStop();
    await stopServing({
      ...started,
      callers,
      leave: () => started.coordinator.stop(),
    }, {
      announceMilliseconds: 0,
      timeoutMilliseconds: settings.drainTimeout,
      drainTimeoutMilliseconds: settings.drainTimeout,
      closesIdle: false,
    });
    adapters.events.record("agent-stopped");
    started.admission.stop();
    started.bodyAdmission.stop();
    peerServer.close();
    agents.close();
    await closeAdapters(adapters);
  }

  return Result.ok({
    callerAddress: agent.callerAddress,
    peerAddress: agent.peerAddress,
    stop,
  });
}

/** Opens both listeners. Requests are refused until the tasks are started. */
async function openListeners(
  settings: AgentSettings,
  options: {
    readonly adapters: AgentAdapters;
    readonly tasks: () => AgentTasks | null;
    readonly id: string;
  },
): Promise<
  Result<
    { readonly callers: HttpListener; readonly agents: HttpListener },
    string
  >
> {
  const { adapters, tasks } = options;
  const configuration = () =>
    tasks()?.coordinator.configuration() ?? emptyConfiguration;
  const common = {
    agent: options.id,
    configuration,
    now: monotonicNow,
    measureTransitDelay: adapters.measureTransitDelay,
    onArrival: reportArrivals(adapters.events),
    pendingInput: adapters.pendingInput,
    onAbandoned: reportAbandoned(adapters.events),
    clock: adapters.clock,
    maxHeaderBytes: settings.longestHeaders,
  };
  const handleEntry: HandleRequest = (request, { body }) =>
    freshTasks(adapters, tasks())?.entry.handle(request, { body }) ??
      refuseStale();
  const callers = await openHttpListener({
    ...common,
    ...settings.listen,
    kind: "callers",
    callerLoad: {
      ...adapters,
      bounds: callerBounds(machineLimits(settings), settings.unreadTimeout),
    },
    pages: new Map(),
    handle: observeRequests(handleEntry, { ...adapters, configuration }),
  });
  if (callers.isErr) {
    return Result.err(`can't listen for callers: ${callers.error}`);
  }
  const agents = await openHttpListener({
    ...common,
    maxHeaderBytes: hopHeaderBytes(settings.longestHeaders),
    ...settings.peerListen,
    kind: "agents",
    pages: operatorPages({
      metrics: adapters.metrics,
      ready: () =>
        tasks()?.coordinator.fresh() === true &&
        configuration().revision > 0,
      describe: () => describeAgent(options.id, tasks()),
    }),
    handle(request, { body }) {
      tasks()?.bodyAdmission.recordArrival(request, body);
      return freshTasks(adapters, tasks())?.serve.serve(request, { body }) ??
        refuseStale();
    },
  });
  if (agents.isErr) {
    callers.value.close();
    return Result.err(`can't listen for agents: ${agents.error}`);
  }
  return Result.ok({ callers: callers.value, agents: agents.value });
}

/** The tasks, or null while this agent's configuration may be stale. */
function freshTasks(
  adapters: AgentAdapters,
  tasks: AgentTasks | null,
): AgentTasks | null {
  if (tasks !== null && tasks.coordinator.fresh()) return tasks;
  adapters.events.record("configuration-stale");
  return null;
}

function refuseStale(): ReturnType<HandleRequest> {
  return Promise.resolve(Result.err(notRun("configuration-stale")));
}

function describeAgent(id: string, tasks: AgentTasks | null) {
  const coordinator = tasks?.coordinator;
  const self = coordinator?.gossip.self();
  return {
    agent: id,
    revision: coordinator?.configuration().revision ?? 0,
    fresh: coordinator?.fresh() ?? false,
    phase: self?.phase ?? "starting",
    group: self?.group ?? "",
    slices: coordinator?.holder()?.heldSlices() ?? 0,
    grants: coordinator?.grantors.groups().join(",") ?? "",
  };
}

function startTasks(
  settings: AgentSettings,
  options: {
    readonly adapters: AgentAdapters;
    readonly agent: Agent;
    readonly accepts: (work: { readonly keyed: boolean }) => boolean;
  },
): AgentTasks {
  const { adapters, agent } = options;
  const { events, metrics, peers, store, target, forwarder } = adapters;
  const admission = startAdmission({
    settings: admissionSettings(settings, emptyConfiguration),
    tickMilliseconds: admissionTickMilliseconds,
  });
  const place = placeByHash(hashText);
  const coordinator = startCoordinator({
    agent,
    times: coordinatorTimes(settings),
    group: defaultGroupSettings,
    delegations: store.delegations,
    peers,
    events,
    hash: hashText,
    place,
    random: Math.random,
    newWriterMark: randomUUID,
    startSource: documentSource({
      seeds: settings.seeds,
      store,
      times: documentTimes,
      freshnessMilliseconds,
      readDocument,
      events,
      hash: hashText,
    }),
    startKeyGrants: null,
    weight: () => agent.slots,
    eventsAfter: (time) => events.after(time),
    onConfiguration: (configuration) =>
      admission.configure(admissionSettings(settings, configuration)),
  });
  const bodyAdmission = startBodyAdmission({
    service: settings.service,
    accepts: options.accepts,
    events,
    tickMilliseconds: bodyAdmissionTickMilliseconds,
  });
  const gate = startStopGate();
  const serve = startServing({
    mayBegin: gate.mayBegin,
    service: settings.service,
    entry: agent.id,
    holder: coordinator.holder,
    admission,
    workOf: () => null,
    accepts: options.accepts,
    target,
    readPendingInput: adapters.pendingInput.readPending,
    events,
    metrics,
  });
  const entry = startEntry({
    mayBegin: gate.mayBegin,
    agent,
    agents: () => coordinator.gossip.agents(),
    configuration: coordinator.configuration,
    localTable: coordinator.table,
    serve,
    forwarder,
    peers,
    events,
    metrics,
    hash: hashText,
    place,
    random: Math.random,
    readPendingInput: adapters.pendingInput.readPending,
    retries: () => retrySettings,
    minTableAgeMilliseconds: minTableAgeMilliseconds,
  });
  return {
    coordinator,
    admission,
    bodyAdmission,
    serve,
    entry,
    gate,
  };
}

async function closeAdapters(adapters: AgentAdapters): Promise<void> {
  const { peers, store, forwarder, target } = adapters;
  await Promise.all([
    peers.close(),
    store.close(),
    forwarder.close(),
    target.close(),
  ]);
}

function addressOf(host: string, listener: HttpListener): string {
  return host.includes(":")
    ? `[${host}]:${listener.port}`
    : `${host}:${listener.port}`;
}

function machineLimits(settings: AgentSettings): MachineLimits {
  return {
    memoryBytes: settings.memory * bytesPerMegabyte,
    maxDescriptors: settings.descriptors,
  };
}

function coordinatorTimes(settings: AgentSettings): CoordinatorTimes {
  const callTimeoutMilliseconds = settings.callTimeout;
  return {
    holder: {
      renewalMilliseconds: settings.renewal,
      retryMilliseconds: Math.ceil(settings.renewal / 4),
      callTimeoutMilliseconds,
      marginMilliseconds: settings.margin,
    },
    grantor: {
      tickMilliseconds: grantorTickMilliseconds,
      callTimeoutMilliseconds,
      storeRetryMilliseconds,
    },
    gossip: {
      exchangeMilliseconds: settings.exchange,
      callTimeoutMilliseconds,
    },
    leaseMilliseconds: settings.lease,
    delegationMilliseconds: settings.delegation,
    relocationMilliseconds,
    censusTimeoutMilliseconds,
  };
}

function admissionSettings(
  settings: AgentSettings,
  configuration: Configuration,
): AdmissionSettings {
  const service = serviceNamed(configuration, settings.service);
  return {
    slots: settings.slots,
    ranks: configuration.ranks.length > 0
      ? configuration.ranks
      : [{ name: "any", share: 0 }],
    queueLength: service?.queueLength ?? defaultQueueLength,
  };
}

/**
 * Upper bound of the header fields of a forwarded request. Each line may be a
 * byte longer than it was received, with a space before its value, and agents
 * add lines of their own.
 */
function hopHeaderBytes(longestHeaders: number): number {
  const linesOfOwn = 4_096;
  return 2 * longestHeaders + linesOfOwn;
}
