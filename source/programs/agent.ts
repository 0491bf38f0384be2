/**
 * An agent: joins the tasks to the adapters behind their ports.
 *
 * @module
 */
import { randomUUID } from "node:crypto";
import { Result } from "true-myth";
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
import type { AdmissionSettings } from "../core/admission/admission.ts";
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
import { observeRequests } from "./observe.ts";
import { operatorPages } from "./operator_pages.ts";
import { openCommonParts, tellAbandoned, tellArrivals } from "./outside.ts";
import type { AgentSettings } from "./settings.ts";
import { stopServing } from "./stop.ts";

/** A running agent. */
export interface RunningAgent {
  readonly callerAddress: string;
  readonly peerAddress: string;
  /** The planned stop: resolves when nothing runs here any more. */
  stop(): Promise<void>;
}

const tickMilliseconds = 100;
const admissionTickMilliseconds = 10;
const bodyRoomTickMilliseconds = 50;
const watchMilliseconds = 30_000;
const storeRetryMilliseconds = 500;
const censusMilliseconds = 9_000;
const censusTimeoutMilliseconds = 1_500;
const relocationMilliseconds = 2_000;
/** The target for a configuration to be in force everywhere. */
const freshnessMilliseconds = 9_000;
const healthTimeoutMilliseconds = 250;
const connectTimeoutMilliseconds = 300;
const idleMilliseconds = 4_000;
const connectionsPerAgent = 64;
const queueBeforeConfiguration = 64;
const shortestTableAgeMilliseconds = 20;

const documentTimes = {
  watchMilliseconds,
  storeRetryMilliseconds,
  censusMilliseconds,
};

const retries = {
  earnedByRequest: 0.1,
  mostSaved: 20,
  firstDelayMilliseconds: 10,
  longestDelayMilliseconds: 200,
};

/** The common parts, and the store and target by the product's protocol. */
function openOutside(
  settings: AgentSettings,
  options: { readonly id: string; readonly writeLog: (line: string) => void },
) {
  const parts = openCommonParts({
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
    metrics: parts.metrics,
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
  });
  return { ...parts, store, target };
}

type Outside = ReturnType<typeof openOutside>;

/** The parts that exist once the listeners' ports are known. */
interface Inside {
  readonly coordinator: Coordinator;
  readonly admission: AdmissionTask;
  readonly bodyRoom: BodyAdmissionTask;
  readonly serve: ServeTask;
  readonly entry: EntryTask;
  readonly gate: StopGate;
}

/** Starts an agent; fails with a fault in plain words. */
export async function startAgent(
  settings: AgentSettings,
  options: { readonly writeLog: (line: string) => void },
): Promise<Result<RunningAgent, string>> {
  const incarnation = Date.now();
  const id = agentIdOf(settings.host, incarnation);
  const outside = openOutside(settings, { ...options, id });
  let inside: Inside | null = null;
  const fronts = await openFronts(settings, {
    outside,
    inside: () => inside,
    id,
  });
  if (fronts.isErr) {
    await closeOutside(outside);
    return Result.err(fronts.error);
  }
  const { callers, agents } = fronts.value;
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
    checksFencing: settings.checksFencing,
    phase: "serving",
  };
  outside.events.record("agent-started", {
    callers: agent.callerAddress,
    peers: agent.peerAddress,
    service: agent.service,
    dataCenter: agent.place.dataCenter,
  });
  const watch = startTargetWatch({
    target: outside.target,
    events: outside.events,
    onChange: (leaving) => inside?.coordinator.setLeaving(leaving),
  });
  const started = startInside(settings, {
    outside,
    agent,
    accepts: watch.accepts,
  });
  inside = started;
  const peerServer = servePeers({
    server: agents.server,
    methods: {
      ...started.coordinator.methods,
      offerBody: started.bodyRoom.offer,
    },
    clock: outside.clock,
  });

  async function stop(): Promise<void> {
    outside.events.record("agent-stopping");
    watch.leave();
    await started.coordinator.beginStop();
    await stopServing({
      ...started,
      callers,
      leave: () => started.coordinator.stop(),
    }, {
      announceMilliseconds: 0,
      timeoutMilliseconds: settings.drainTimeout,
      answersMilliseconds: settings.drainTimeout,
      closesIdle: false,
    });
    outside.events.record("agent-stopped");
    started.admission.stop();
    started.bodyRoom.stop();
    peerServer.close();
    agents.close();
    await closeOutside(outside);
  }

  return Result.ok({
    callerAddress: agent.callerAddress,
    peerAddress: agent.peerAddress,
    stop,
  });
}

/** Opens both listeners; requests are refused until the inside exists. */
async function openFronts(
  settings: AgentSettings,
  options: {
    readonly outside: Outside;
    readonly inside: () => Inside | null;
    readonly id: string;
  },
): Promise<
  Result<
    { readonly callers: HttpListener; readonly agents: HttpListener },
    string
  >
> {
  const { outside, inside } = options;
  const configuration = () =>
    inside()?.coordinator.configuration() ?? emptyConfiguration;
  const common = {
    agent: options.id,
    configuration,
    now: monotonicNow,
    lateness: outside.lateness,
    onArrival: tellArrivals(outside.events),
    intake: outside.intake,
    onAbandoned: tellAbandoned(outside.events),
    clock: outside.clock,
    longestHeaderBytes: settings.longestHeaders,
  };
  const enter: HandleRequest = (request, { body }) =>
    guarded(outside, inside())?.entry.handle(request, { body }) ?? stale();
  const callers = await openHttpListener({
    ...common,
    ...settings.listen,
    kind: "callers",
    pages: new Map(),
    handle: observeRequests(enter, { ...outside, configuration }),
  });
  if (callers.isErr) {
    return Result.err(`can't listen for callers: ${callers.error}`);
  }
  const agents = await openHttpListener({
    ...common,
    ...settings.peerListen,
    kind: "agents",
    pages: operatorPages({
      metrics: outside.metrics,
      ready: () =>
        inside()?.coordinator.fresh() === true &&
        configuration().revision > 0,
      describe: () => describeAgent(options.id, inside()),
    }),
    handle(request, { body }) {
      inside()?.bodyRoom.recordArrival(request, body);
      return guarded(outside, inside())?.serve.serve(request, { body }) ??
        stale();
    },
  });
  if (agents.isErr) {
    callers.value.close();
    return Result.err(`can't listen for agents: ${agents.error}`);
  }
  return Result.ok({ callers: callers.value, agents: agents.value });
}

/** The parts that serve, unless this agent's configuration may be old. */
function guarded(outside: Outside, inside: Inside | null): Inside | null {
  if (inside !== null && inside.coordinator.fresh()) return inside;
  outside.events.record("configuration-stale");
  return null;
}

function stale(): ReturnType<HandleRequest> {
  return Promise.resolve(Result.err(notRun("configuration-stale")));
}

function describeAgent(id: string, inside: Inside | null) {
  const coordinator = inside?.coordinator;
  const self = coordinator?.spread.self();
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

function startInside(
  settings: AgentSettings,
  options: {
    readonly outside: Outside;
    readonly agent: Agent;
    readonly accepts: (work: { readonly keyed: boolean }) => boolean;
  },
): Inside {
  const { outside, agent } = options;
  const { events, metrics, peers, store, target, forwarder } = outside;
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
  const bodyRoom = startBodyAdmission({
    service: settings.service,
    accepts: options.accepts,
    events,
    tickMilliseconds: bodyRoomTickMilliseconds,
  });
  const gate = startStopGate();
  const serve = startServing({
    mayBegin: gate.mayBegin,
    service: settings.service,
    holder: coordinator.holder,
    admission,
    workOf: () => null,
    accepts: options.accepts,
    target,
    readPendingInput: outside.intake.readPending,
    events,
    metrics,
  });
  const entry = startEntry({
    mayBegin: gate.mayBegin,
    agent,
    agents: () => coordinator.spread.agents(),
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
    readPendingInput: outside.intake.readPending,
    retries: () => retries,
    minTableAgeMilliseconds: shortestTableAgeMilliseconds,
  });
  return { coordinator, admission, bodyRoom, serve, entry, gate };
}

async function closeOutside(outside: Outside): Promise<void> {
  const { peers, store, forwarder, target } = outside;
  await Promise.all([
    peers.close(),
    store.close(),
    forwarder.close(),
    target.close(),
  ]);
}

function addressOf(host: string, front: HttpListener): string {
  return host.includes(":")
    ? `[${host}]:${front.port}`
    : `${host}:${front.port}`;
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
      tickMilliseconds,
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
    queueLength: service?.queueLength ?? queueBeforeConfiguration,
  };
}
