/**
 * An agent on the users' platform: joins the same tasks as `agent.ts` to the
 * platform's adapters.
 *
 * @module
 */
import { randomUUID } from "node:crypto";
import { Result } from "true-myth";
import { platformCallerProtocol } from "../../platform/caller_protocol.ts";
import { openKeyServer } from "../../platform/key_server.ts";
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
import { openHopLinks } from "../adapters/hops/hop_links.ts";
import type { LogLevel } from "../adapters/logs/log.ts";
import { servePeers } from "../adapters/hops/peer_server.ts";
import type { AdmissionSettings } from "../core/admission/admission.ts";
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
import { cachedRouteIndex, hostOfAuthority } from "../core/routes/routes.ts";
import type { ProxyRequest } from "../ports/upstream.ts";
import { type AdmissionTask, startAdmission } from "../tasks/admission_task.ts";
import {
  type BodyAdmissionTask,
  startBodyAdmission,
} from "../tasks/body_admission_task.ts";
import { type Coordinator, startCoordinator } from "../tasks/coordinator.ts";
import { desiredStateSource } from "../tasks/desired_state_source.ts";
import { type EntryTask, startEntry } from "../tasks/entry_task.ts";
import { startKeyGrants } from "../tasks/key_grants_task.ts";
import {
  type RegistrationTask,
  startRegistration,
} from "../tasks/registration_task.ts";
import { type ServeTask, startServing } from "../tasks/serve_task.ts";
import { startStopGate, type StopGate } from "../tasks/stop_gate.ts";
import { monotonicNow, pause } from "../tasks/time.ts";
import { observeRequests } from "./observe.ts";
import { operatorPages } from "./operator_pages.ts";
import {
  openCommonParts,
  tellAbandoned,
  tellArrivals,
  tellSilence,
} from "./outside.ts";
import {
  admissionTickMilliseconds,
  bodyRoomTickMilliseconds,
  connections,
  coordinatorTimes,
  departureTimeoutMilliseconds,
  desiredStateTimes,
  groupSettings,
  keptBodyBytes,
  keyGrantsTimes,
  lateWaitMilliseconds,
  links,
  longestHeaderBytes,
  retrySettings,
  servicePolicy,
  shortestTableAgeMilliseconds,
  silentHeartbeats,
  startShare,
  stopTimes,
} from "./platform_policy.ts";
import { stopServing } from "./stop.ts";

/** A running agent. */
export interface RunningPlatformAgent {
  /** The settings file has changed. */
  reload(settings: PlatformSettings): void;
  /** The planned stop: resolves when nothing runs here any more. */
  stop(): Promise<void>;
}

/** What an agent is started with, besides its settings. */
export interface PlatformAgentOptions {
  readonly logLevel: LogLevel;
  readonly writeLog: (line: string) => void;
}

/** The common parts, and the platform's store. */
function openOutside(
  settings: PlatformSettings,
  options: PlatformAgentOptions & { readonly id: string },
) {
  const parts = openCommonParts({ ...options, connections });
  const store = openPlatformStore({ address: settings.store, ...parts });
  const forwarder = openHopLinks({
    settings: links,
    now: monotonicNow,
    clock: parts.clock,
    sender: `${options.id}/link`,
    depart: parts.depart,
    onSilence: tellSilence(parts.events),
    largeBodyForwarder: parts.forwarder,
  });
  return { ...parts, forwarder, store };
}

type Outside = ReturnType<typeof openOutside>;

/** The parts that decide. */
interface Inside {
  readonly agent: Agent;
  readonly registration: RegistrationTask;
  readonly coordinator: Coordinator;
  readonly admission: AdmissionTask;
  readonly bodyRoom: BodyAdmissionTask;
  readonly serve: ServeTask;
  readonly entry: EntryTask;
  readonly gate: StopGate;
  /** Closes the connections to the target. */
  readonly closeTarget: () => Promise<void>;
}

/** Starts an agent; fails with a fault in plain words. */
export async function startPlatformAgent(
  settings: PlatformSettings,
  options: PlatformAgentOptions,
): Promise<Result<RunningPlatformAgent, string>> {
  let current = settings;
  const incarnation = Date.now();
  const id = agentIdOf(settings.host, incarnation);
  const outside = openOutside(settings, { ...options, id });
  const inside = startInside(settings, { outside, id, incarnation });
  const state = { stopping: false };
  const listeners = await openListeners(settings, {
    outside,
    inside,
    ownService: () => current.service,
    ready: () => !state.stopping && inside.coordinator.fresh(),
  });
  if (listeners.isErr) {
    await inside.coordinator.stop();
    await closeOutside(outside, inside);
    return Result.err(listeners.error);
  }
  outside.events.record("agent-started", {
    callers: settings.callers,
    peers: settings.peers,
    service: settings.service,
    dataCenter: settings.place.dataCenter,
  });
  const { callers, others } = listeners.value;

  async function stop(): Promise<void> {
    state.stopping = true;
    outside.events.record("agent-stopping");
    inside.registration.stopServing();
    await inside.coordinator.beginStop();
    await stopServing({
      ...inside,
      callers,
      leave: () => leave(outside, inside),
    }, stopTimes(current));
    outside.events.record("agent-stopped", {
      running: inside.entry.running() + inside.serve.running(),
    });
    inside.registration.stop();
    inside.admission.stop();
    inside.bodyRoom.stop();
    for (const listener of others) listener.close();
    await closeOutside(outside, inside);
  }

  return Result.ok({
    reload(next) {
      current = next;
      outside.events.record("settings-reloaded", { service: next.service });
    },
    stop,
  });
}

async function leave(outside: Outside, inside: Inside): Promise<void> {
  await inside.coordinator.stop();
  await tellDeparture(outside, inside);
}

/**
 * Leaves word in the store that this process has stopped, so that no later
 * grantor waits for it. Only once nothing is held or granted here any more.
 */
async function tellDeparture(outside: Outside, inside: Inside): Promise<void> {
  const held = inside.coordinator.holder()?.heldSlices() ?? 0;
  if (held > 0) {
    return outside.events.record("departure-untold", { held });
  }
  const told = await Promise.race([
    outside.store.members.put(departedAgent(inside.agent)),
    pause(departureTimeoutMilliseconds),
  ]);
  if (told?.isOk !== true) {
    outside.events.record("departure-untold", { reason: "store-unavailable" });
  }
}

async function closeOutside(outside: Outside, inside: Inside): Promise<void> {
  await Promise.all([
    outside.peers.close(),
    outside.store.close(),
    outside.forwarder.close(),
    inside.closeTarget(),
  ]);
}

function startInside(
  settings: PlatformSettings,
  options: {
    readonly outside: Outside;
    readonly id: string;
    readonly incarnation: number;
  },
): Inside {
  const { outside } = options;
  const { events, metrics, peers, store } = outside;
  const place = placeByNumber({ count: keyCount });
  const agent = describeAgent(settings, options);
  let configuration: Configuration = emptyConfiguration;
  const registration = startRegistration({
    silenceMilliseconds: settings.heartbeatMilliseconds * silentHeartbeats,
    events,
    onServing: noteServing,
    onReplaced: () => coordinator.holder()?.targetReplaced(),
  });
  const target = openPlatformTarget({
    address: settings.target,
    identity: () => registration.target()?.id ?? null,
    now: monotonicNow,
    onConnectionRefused: () => registration.recordRefusal(),
    onInvalidAnswer: (request, fault) =>
      events.record("target-answer-spoilt", { request, fault }),
  });
  const keyServer = openKeyServer({
    address: settings.target,
    onConnectionRefused: () => registration.recordRefusal(),
  });
  const admission = startAdmission({
    settings: admissionSettings(1),
    tickMilliseconds: admissionTickMilliseconds,
  });
  const coordinator = startCoordinator({
    agent,
    times: coordinatorTimes,
    group: groupSettings,
    delegations: store.delegations,
    peers,
    events,
    hash: hashText,
    place,
    random: Math.random,
    newWriterMark: randomUUID,
    startSource: desiredStateSource({
      desiredStates: store.desiredStates,
      members: store.members,
      seeds: settings.seeds,
      policy: servicePolicy,
      times: desiredStateTimes,
      events,
      random: Math.random,
    }),
    startKeyGrants: ({ onSuperseded }) =>
      startKeyGrants({
        keyServer,
        keys: { count: keyCount },
        times: keyGrantsTimes(settings),
        events,
        targetLives: () => registration.isTargetAlive(),
        onSuperseded,
      }),
    weight: () => admission.throughput(),
    eventsAfter: (time) => events.after(time),
    onConfiguration(next) {
      configuration = next;
      configureAdmission();
    },
  });

  function noteServing(serving: boolean): void {
    const reported = registration.target();
    if (reported !== null) {
      coordinator.spread.describeTarget({ slots: reported.slots });
      configureAdmission();
    }
    coordinator.setLeaving(!serving);
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
      initialShare: startShare,
      maxLateWaitMilliseconds: lateWaitMilliseconds,
    };
  }

  const bodyRoom = startBodyAdmission({
    service: settings.service,
    accepts: registration.accepts,
    events,
    tickMilliseconds: bodyRoomTickMilliseconds,
  });
  const gate = startStopGate();
  const serve = startServing({
    mayBegin: gate.mayBegin,
    service: settings.service,
    holder: coordinator.holder,
    admission,
    workOf: workByRoute(coordinator.configuration),
    accepts: registration.accepts,
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
    forwarder: outside.forwarder,
    peers,
    events,
    metrics,
    hash: hashText,
    place,
    random: Math.random,
    readPendingInput: outside.intake.readPending,
    retries: () => retrySettings(settings, coordinator.spread.agents().length),
    minTableAgeMilliseconds: shortestTableAgeMilliseconds,
  });
  return {
    agent,
    registration,
    coordinator,
    admission,
    bodyRoom,
    serve,
    entry,
    gate,
    closeTarget: async () => {
      await Promise.all([target.close(), keyServer.close()]);
    },
  };
}

/** Requests of one route take alike long, and those of others need not. */
function workByRoute(
  configuration: () => Configuration,
): (request: ProxyRequest) => string | null {
  const routesOf = cachedRouteIndex();
  return ({ authority, path }) => {
    const findRoute = routesOf(configuration().hostRoutes);
    return findRoute(hostOfAuthority(authority), path)?.name ?? null;
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
    // The target ends its work itself when its hold on a key is over.
    checksFencing: true,
    // Until the target has reported itself.
    phase: "leaving",
  };
}

interface Listeners {
  readonly callers: HttpListener;
  readonly others: readonly Listener[];
}

async function openListeners(
  settings: PlatformSettings,
  options: {
    readonly outside: Outside;
    readonly inside: Inside;
    readonly ownService: () => string;
    readonly ready: () => boolean;
  },
): Promise<Result<Listeners, string>> {
  const { outside, inside } = options;
  const { events, clock, lateness } = outside;
  const { coordinator, registration } = inside;
  const common = {
    agent: inside.agent.id,
    configuration: coordinator.configuration,
    now: monotonicNow,
    lateness,
    onArrival: tellArrivals(events),
    intake: outside.intake,
    onAbandoned: tellAbandoned(events),
    clock,
    longestHeaderBytes,
    keptBodyBytes,
  };
  const enter: HandleRequest = (request, { body }) =>
    inside.entry.handle(request, { body });
  const callers = await openHttpListener({
    ...common,
    ...splitAddress(settings.callers),
    kind: "callers",
    callerProtocol: platformCallerProtocol({
      ownService: options.ownService,
      random: Math.random,
    }),
    pages: new Map(),
    handle: observeRequests(enter, {
      ...outside,
      configuration: coordinator.configuration,
    }),
  });
  if (callers.isErr) return Result.err(`callers: ${callers.error}`);
  /** Serves what other agents send on. */
  const serveOther: HandleRequest = (request, { body }) => {
    inside.bodyRoom.recordArrival(request, body);
    return coordinator.fresh()
      ? inside.serve.serve(request, { body })
      : Promise.resolve(Result.err(notRun("configuration-stale")));
  };
  const agents = await openHttpListener({
    ...common,
    ...splitAddress(settings.peers),
    kind: "agents",
    pages: operatorPages({
      metrics: outside.metrics,
      ready: options.ready,
      describe: () => ({ agent: inside.agent.id }),
    }),
    handle: serveOther,
  });
  if (agents.isErr) return Result.err(`agents: ${agents.error}`);
  const peerServer = servePeers({
    server: agents.value.server,
    methods: { ...coordinator.methods, offerBody: inside.bodyRoom.offer },
    clock,
    links: {
      agent: inside.agent.id,
      handle: serveOther,
      now: monotonicNow,
      measureTransitDelay: lateness,
      onArrival: tellArrivals(events),
      intake: outside.intake,
      onAbandoned: tellAbandoned(events),
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
      report: registration.report,
      deregister: registration.leave,
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
