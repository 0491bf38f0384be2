/**
 * An agent on the users' platform: connects the same tasks as `agent.ts` to the
 * adapters of the platform.
 *
 * @module
 */
import { randomUUID } from "node:crypto";
import { Result } from "true-myth";
import { platformCallerProtocol } from "../../platform/caller_protocol.ts";
import {
  type Listener,
  listenForHeartbeats,
  listenForReadiness,
} from "../../platform/listeners.ts";
import { keyCount } from "../../platform/names.ts";
import type { PlatformSettings } from "../../platform/settings.ts";
import { openPlatformStore } from "../../platform/store.ts";
import { openPlatformTarget } from "../../platform/target.ts";
import { hashText } from "../adapters/hashing.ts";
import {
  type HandleRequest,
  type HttpListener,
  openHttpListener,
} from "../adapters/callers/http_listener.ts";
import { linkSenderOf } from "../adapters/hops/hop_deduplication.ts";
import { openHopLinks } from "../adapters/hops/hop_links.ts";
import type { LogLevel } from "../adapters/logs/log.ts";
import { servePeers } from "../adapters/hops/peer_server.ts";
import type { AdmissionSettings } from "../core/admission/settings.ts";
import {
  type Address,
  type Agent,
  agentIdOf,
  departedAgent,
} from "../core/agent.ts";
import {
  type Configuration,
  emptyConfiguration,
  serviceNamed,
} from "../core/document/document.ts";
import { placeByNumber } from "../core/ownership/key_ranges.ts";
import { notRun } from "../core/request/outcome.ts";
import {
  pickAnyPair,
  pickPairBySlots,
} from "../core/routing/candidate_pairs.ts";
import { allowsRegion } from "../core/routes/allowed_regions.ts";
import {
  cachedRouteIndex,
  hostOfAuthority,
  type Route,
} from "../core/routes/routes.ts";
import type { AnswerKeyReport } from "../ports/key_reports.ts";
import type { ProxyRequest } from "../ports/upstream.ts";
import { type AdmissionTask, startAdmission } from "../tasks/admission_task.ts";
import {
  type BodyAdmissionTask,
  startBodyAdmission,
} from "../tasks/body_admission_task.ts";
import {
  type ColdTargetTask,
  startColdTarget,
} from "../tasks/cold_target_task.ts";
import { type Coordinator, startCoordinator } from "../tasks/coordinator.ts";
import { desiredStateSource } from "../tasks/desired_state_source.ts";
import {
  type DeparturesTask,
  startDepartures,
} from "../tasks/departures_task.ts";
import {
  type EvacuationsTask,
  startEvacuations,
} from "../tasks/evacuations_task.ts";
import { type EntryTask, startEntry } from "../tasks/entry_task.ts";
import {
  type RegistrationTask,
  startRegistration,
} from "../tasks/registration_task.ts";
import { type ServeTask, startServing } from "../tasks/serve_task.ts";
import { startStoreEra } from "../tasks/store_era_task.ts";
import { startStopGate, type StopGate } from "../tasks/stop_gate.ts";
import { monotonicNow, pause } from "../tasks/time.ts";
import { observeRequests } from "./observe.ts";
import { operatorPages } from "./operator_pages.ts";
import {
  openCommonAdapters,
  reportAbandoned,
  reportArrivals,
  reportSilence,
} from "./common_adapters.ts";
import {
  admissionTickMilliseconds,
  bodyAdmissionTickMilliseconds,
  connections,
  coordinatorTimes,
  departuresTimes,
  departureTimeoutMilliseconds,
  desiredStateTimes,
  groupSettings,
  initialSlotShare,
  links,
  maxHeaderBytes,
  maxLateWaitMilliseconds,
  maxMissedHeartbeats,
  maxRetainedBodyBytes,
  minTableAgeMilliseconds,
  retrySettings,
  servicePolicy,
  stopTimes,
} from "./platform_policy.ts";
import { stopServing } from "./stop.ts";
import { connectTargetKeys } from "./target_keys.ts";

/** An agent that has been started. */
export interface RunningPlatformAgent {
  /** Applies the settings of a changed settings file. */
  reload(settings: PlatformSettings): void;
  /** Runs the planned stop; resolves when nothing runs here any more. */
  stop(): Promise<void>;
}

/** Options of an agent besides its settings. */
export interface PlatformAgentOptions {
  readonly logLevel: LogLevel;
  readonly writeLog: (line: string) => void;
}

/** Opens the common adapters, the links to other agents and the store. */
function openAdapters(
  settings: PlatformSettings,
  options: PlatformAgentOptions & { readonly id: string },
) {
  const common = openCommonAdapters({ ...options, connections });
  const storeEra = startStoreEra(common);
  const store = openPlatformStore({
    address: settings.store,
    ...common,
    onEra: storeEra.handleAnswer,
  });
  const forwarder = openHopLinks({
    settings: links,
    now: monotonicNow,
    clock: common.clock,
    sender: linkSenderOf(options.id),
    depart: common.stampDeparture,
    onSilence: reportSilence(common.events),
    largeBodyForwarder: common.forwarder,
  });
  return { ...common, forwarder, store, storeEra };
}

type AgentAdapters = ReturnType<typeof openAdapters>;

/** The tasks of an agent. */
interface AgentTasks {
  readonly agent: Agent;
  readonly registration: RegistrationTask;
  /** Null where data centres are not evacuated. */
  readonly evacuations: EvacuationsTask | null;
  readonly departures: DeparturesTask;
  /** Answers the keys that the target reports; null if it reports none. */
  readonly answerKeys: AnswerKeyReport | null;
  readonly coordinator: Coordinator;
  readonly admission: AdmissionTask;
  readonly coldTarget: ColdTargetTask;
  readonly bodyAdmission: BodyAdmissionTask;
  readonly serve: ServeTask;
  readonly entry: EntryTask;
  readonly gate: StopGate;
  /** Closes the connections to the target. */
  readonly closeTarget: () => Promise<void>;
}

/**
 * Starts an agent. The error is a text for the operator that names the listener
 * that could not be opened.
 */
export async function startPlatformAgent(
  settings: PlatformSettings,
  options: PlatformAgentOptions,
): Promise<Result<RunningPlatformAgent, string>> {
  let currentSettings = settings;
  const incarnation = Date.now();
  const id = agentIdOf(settings.host, incarnation);
  const adapters = openAdapters(settings, { ...options, id });
  const tasks = startTasks(settings, { adapters, id, incarnation });
  const state = { stopping: false };
  const listeners = await openListeners(settings, {
    adapters,
    tasks,
    ownService: () => currentSettings.service,
    ready: () => !state.stopping && tasks.coordinator.fresh(),
  });
  if (listeners.isErr) {
    await tasks.coordinator.stop();
    await closeAdapters(adapters, tasks);
    return Result.err(listeners.error);
  }
  adapters.events.record("agent-started", {
    callers: settings.callers,
    peers: settings.peers,
    service: settings.service,
    dataCenter: settings.place.dataCenter,
  });
  const { callers, others } = listeners.value;

  async function stop(): Promise<void> {
    state.stopping = true;
    adapters.events.record("agent-stopping");
    tasks.registration.stopServing();
    await tasks.coordinator.beginStop();
    await stopServing({
      ...tasks,
      callers,
      leave: () => leave(adapters, tasks),
    }, stopTimes(currentSettings));
    adapters.events.record("agent-stopped", {
      running: tasks.entry.running() + tasks.serve.running(),
    });
    tasks.registration.stop();
    tasks.evacuations?.stop();
    tasks.departures.stop();
    tasks.coldTarget.stop();
    tasks.admission.stop();
    tasks.bodyAdmission.stop();
    for (const listener of others) listener.close();
    await closeAdapters(adapters, tasks);
  }

  return Result.ok({
    reload(next) {
      currentSettings = next;
      adapters.events.record("settings-reloaded", { service: next.service });
    },
    stop,
  });
}

async function leave(
  adapters: AgentAdapters,
  tasks: AgentTasks,
): Promise<void> {
  await tasks.coordinator.stop();
  await recordDeparture(adapters, tasks);
}

/**
 * Records in the store that this process has stopped, so that no later grantor
 * waits for it. To be called only when this agent holds and grants nothing any
 * more; if it still holds slices, nothing is written.
 */
async function recordDeparture(
  adapters: AgentAdapters,
  tasks: AgentTasks,
): Promise<void> {
  const held = tasks.coordinator.holder()?.heldSlices() ?? 0;
  if (held > 0) {
    return adapters.events.record("departure-untold", { held });
  }
  const written = await Promise.race([
    adapters.store.members.put(departedAgent(tasks.agent)),
    pause(departureTimeoutMilliseconds),
  ]);
  if (written?.isOk !== true) {
    adapters.events.record("departure-untold", { reason: "store-unavailable" });
  }
}

async function closeAdapters(
  adapters: AgentAdapters,
  tasks: AgentTasks,
): Promise<void> {
  await Promise.all([
    adapters.peers.close(),
    adapters.store.close(),
    adapters.forwarder.close(),
    tasks.closeTarget(),
  ]);
}

function startTasks(
  settings: PlatformSettings,
  options: {
    readonly adapters: AgentAdapters;
    readonly id: string;
    readonly incarnation: number;
  },
): AgentTasks {
  const { adapters } = options;
  const { events, metrics, peers, store, storeEra } = adapters;
  const place = placeByNumber({ count: keyCount });
  const agent = describeAgent(settings, options);
  let configuration: Configuration = emptyConfiguration;
  const evacuations = settings.bounds.evacuationMilliseconds === null
    ? null
    : startEvacuations({
      store: store.evacuations,
      times: desiredStateTimes,
      events,
      hash: hashText,
      random: Math.random,
      onChange: updateEvacuated,
    });
  const registration = startRegistration({
    service: settings.service,
    evacuated: evacuations !== null,
    silenceMilliseconds: settings.heartbeatMilliseconds * maxMissedHeartbeats,
    events,
    onServing: updateTargetState,
    onReplaced: () => coordinator.holder()?.targetReplaced(),
    keepDepartures: (noted) => departures.keep(noted),
  });
  const target = openPlatformTarget({
    address: settings.target,
    identity: () => registration.target()?.id ?? null,
    now: monotonicNow,
    onConnectionRefused() {
      registration.recordRefusal();
      coldTarget.refresh();
    },
    onInvalidAnswer: (request, fault) =>
      events.record("target-answer-spoilt", { request, fault }),
    onInvalidLoad: () => metrics.count("load_reports_ignored"),
  });
  const targetKeys = connectTargetKeys(settings, {
    events,
    registration,
  });
  const admission = startAdmission({
    settings: admissionSettings(1),
    tickMilliseconds: admissionTickMilliseconds,
    onColdStartDelayed: () => metrics.count("cold_starts_delayed"),
  });
  const coldTarget = startColdTarget({
    target: registration.target,
    coldStart() {
      if (settings.bounds.coldRate === null) return null;
      return serviceNamed(configuration, settings.service)?.coldStart ?? null;
    },
    heartbeatMilliseconds: settings.heartbeatMilliseconds,
    admission,
    publish: (slots) => coordinator.gossip.describeTarget({ slots }),
    events,
  });
  const coordinator = startCoordinator({
    agent,
    times: coordinatorTimes,
    group: groupSettings,
    delegations: store.delegations,
    storeEra,
    peers,
    events,
    hash: hashText,
    place,
    random: Math.random,
    newWriterMark: randomUUID,
    startSource: desiredStateSource({
      desiredStates: store.desiredStates,
      members: store.members,
      storeEra,
      seeds: settings.seeds,
      policy: servicePolicy,
      times: desiredStateTimes,
      events,
      hash: hashText,
      random: Math.random,
      evacuations,
      onRegistered: (written) => departures.handleRegistered(written),
    }),
    startKeyGrants: targetKeys.startKeyGrants,
    weight: () => admission.throughput(),
    weightLimit: admission.coldRequestsPerSecond,
    eventsAfter: (time) => events.after(time),
    onConfiguration(next) {
      configuration = next;
      configureAdmission();
      coldTarget.refresh();
    },
  });

  const departures = startDepartures({
    agent,
    agents: () => coordinator.gossip.agents(),
    store: store.departures,
    restore: { storeEra, random: Math.random },
    peers,
    events,
    hash: hashText,
    times: departuresTimes,
    onLoaded: registration.loadDepartures,
  });

  function updateEvacuated(): void {
    const { dataCenter } = settings.place;
    registration.setEvacuated(evacuations?.isClosed(dataCenter) ?? false);
  }

  function updateTargetState(serving: boolean): void {
    const reported = registration.target();
    if (reported !== null) {
      configureAdmission();
      // A cold target must not be told to others as a warm one first.
      coldTarget.refresh();
      const slots = coldTarget.slots(reported);
      coordinator.gossip.describeTarget({ slots });
    }
    coordinator.setLeaving(!serving);
    // Keyed requests are served on until their keys have moved.
    if (
      !registration.acceptsWaiting({ keyed: coordinator.holder() !== null })
    ) {
      admission.refuseWaiting();
    }
  }

  function configureAdmission(): void {
    const slots = registration.target()?.slots ?? 1;
    admission.configure(admissionSettings(slots));
  }

  function admissionSettings(slots: number): AdmissionSettings {
    const service = serviceNamed(configuration, settings.service);
    const { ranks } = configuration;
    return {
      slots,
      ranks: ranks.length > 0 ? ranks : [{ name: "any", share: 0 }],
      queueLength: service?.queueLength ?? servicePolicy.queueLength,
      initialShare: initialSlotShare,
      maxLateWaitMilliseconds: maxLateWaitMilliseconds,
    };
  }

  const bodyAdmission = startBodyAdmission({
    service: settings.service,
    accepts: registration.accepts,
    events,
    tickMilliseconds: bodyAdmissionTickMilliseconds,
  });
  const gate = startStopGate();
  const routeOf = routeOfRequest(coordinator.configuration);
  const serve = startServing({
    mayBegin: (request) =>
      gate.mayBegin(request) &&
      registration.acceptsWaiting({ keyed: request.key !== null }),
    service: settings.service,
    entry: agent.id,
    holder: coordinator.holder,
    admission,
    workOf: (request) => routeOf(request)?.name ?? null,
    allowsRegion: (request) =>
      allowsRegion(
        routeOf(request)?.allowedRegions ?? [],
        settings.place.region,
      ),
    accepts: registration.accepts,
    target,
    readPendingInput: adapters.pendingInput.readPending,
    events,
    metrics,
  });
  const entry = startEntry({
    ...(evacuations === null ? {} : { evacuated: evacuations.evacuated }),
    mayBegin: gate.mayBegin,
    agent,
    agents: () => coordinator.gossip.agents(),
    configuration: coordinator.configuration,
    localTable: coordinator.table,
    serve,
    forwarder: adapters.forwarder,
    peers,
    events,
    metrics,
    hash: hashText,
    place,
    random: Math.random,
    pickPair: settings.bounds.coldRate === null ? pickAnyPair : pickPairBySlots,
    readPendingInput: adapters.pendingInput.readPending,
    retries: () => retrySettings(settings, coordinator.gossip.agents().length),
    minTableAgeMilliseconds: minTableAgeMilliseconds,
  });
  return {
    agent,
    registration,
    evacuations,
    departures,
    answerKeys: targetKeys.answerKeys,
    coordinator,
    admission,
    coldTarget,
    bodyAdmission,
    serve,
    entry,
    gate,
    closeTarget: async () => {
      await Promise.all([target.close(), targetKeys.close()]);
    },
  };
}

/**
 * Finds the route of a request by the configuration in force here. It names the
 * kind of work: requests of one route take similar time, those of different
 * routes may not.
 */
function routeOfRequest(
  configuration: () => Configuration,
): (request: ProxyRequest) => Route | null {
  const routesOf = cachedRouteIndex();
  return ({ authority, path }) => {
    const findRoute = routesOf(configuration().hostRoutes);
    return findRoute(hostOfAuthority(authority), path);
  };
}

function describeAgent(
  settings: PlatformSettings,
  options: { readonly id: string; readonly incarnation: number },
): Agent {
  return {
    id: options.id,
    host: settings.host,
    incarnation: options.incarnation,
    callerAddress: settings.callers,
    peerAddress: settings.peers,
    place: settings.place,
    service: settings.service,
    group: null,
    slots: 1,
    processors: settings.processors,
    // The target itself ends its work when its grant of a key has expired.
    checksFencing: true,
    // Until the target has registered.
    phase: "leaving",
  };
}

interface Listeners {
  readonly callers: HttpListener;
  /** All listeners that callers don't use. */
  readonly others: readonly Listener[];
}

async function openListeners(
  settings: PlatformSettings,
  options: {
    readonly adapters: AgentAdapters;
    readonly tasks: AgentTasks;
    readonly ownService: () => string;
    readonly ready: () => boolean;
  },
): Promise<Result<Listeners, string>> {
  const { adapters, tasks } = options;
  const { events, clock, measureTransitDelay } = adapters;
  const { coordinator, registration } = tasks;
  const common = {
    agent: tasks.agent.id,
    configuration: coordinator.configuration,
    now: monotonicNow,
    measureTransitDelay,
    onArrival: reportArrivals(events),
    pendingInput: adapters.pendingInput,
    onAbandoned: reportAbandoned(events),
    clock,
    maxHeaderBytes,
    maxRetainedBodyBytes,
  };
  const handleEntry: HandleRequest = (request, { body }) =>
    tasks.entry.handle(request, { body });
  const callers = await openHttpListener({
    ...common,
    ...splitAddress(settings.callers),
    kind: "callers",
    callerProtocol: platformCallerProtocol({
      ownService: options.ownService,
      random: Math.random,
    }),
    pages: new Map(),
    handle: observeRequests(handleEntry, {
      ...adapters,
      configuration: coordinator.configuration,
    }),
  });
  if (callers.isErr) return Result.err(`callers: ${callers.error}`);
  /** Serves requests that other agents forward. */
  const serveForwarded: HandleRequest = (request, { body }) => {
    tasks.bodyAdmission.recordArrival(request, body);
    return coordinator.fresh()
      ? tasks.serve.serve(request, { body })
      : Promise.resolve(Result.err(notRun("configuration-stale")));
  };
  const agents = await openHttpListener({
    ...common,
    ...splitAddress(settings.peers),
    kind: "agents",
    pages: operatorPages({
      metrics: adapters.metrics,
      ready: options.ready,
      describe: () => ({ agent: tasks.agent.id }),
    }),
    handle: serveForwarded,
  });
  if (agents.isErr) return Result.err(`agents: ${agents.error}`);
  const peerServer = servePeers({
    server: agents.value.server,
    methods: {
      ...coordinator.methods,
      offerBody: tasks.bodyAdmission.offer,
      lendRetries: tasks.entry.lendRetries,
    },
    clock,
    links: {
      agent: tasks.agent.id,
      handle: serveForwarded,
      now: monotonicNow,
      measureTransitDelay,
      onArrival: reportArrivals(events),
      pendingInput: adapters.pendingInput,
      onAbandoned: reportAbandoned(events),
      clock,
      onMalformed: () => events.record("peer-message-refused"),
    },
  });
  const readiness = await listenForReadiness({
    address: settings.readiness,
    ready: options.ready,
  });
  if (readiness.isErr) return Result.err(`readiness: ${readiness.error}`);
  const heartbeats = await listenForHeartbeats({
    address: settings.heartbeats,
    target: settings.target,
    events,
    handler: {
      report(report) {
        const rank = registration.report(report);
        tasks.coldTarget.refresh();
        return rank;
      },
      answerKeys: tasks.answerKeys,
      deregister: registration.leave,
      departuresKept: registration.departuresKept,
    },
  });
  if (heartbeats.isErr) return Result.err(`heartbeats: ${heartbeats.error}`);
  return Result.ok({
    callers: callers.value,
    others: [agents.value, peerServer, readiness.value, heartbeats.value],
  });
}

function splitAddress(
  address: Address,
): { readonly host: string; readonly port: number } {
  const [host = "", port = ""] = address.split(":");
  return { host, port: Number(port) };
}
