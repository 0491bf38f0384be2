/**
 * The listeners of an agent on the platform: for callers, for other agents, for
 * readiness checks, and for the heartbeats of its target.
 *
 * @module
 */
import { Result } from "true-myth";
import { platformCallerProtocol } from "../../platform/caller_protocol.ts";
import {
  type Listener,
  listenForHeartbeats,
  listenForReadiness,
} from "../../platform/listeners.ts";
import type { PlatformSettings } from "../../platform/settings.ts";
import {
  type HandleRequest,
  type HttpListener,
  openHttpListener,
} from "../adapters/callers/http_listener.ts";
import { type PeerServer, servePeers } from "../adapters/hops/peer_server.ts";
import type { Address, Agent } from "../core/agent.ts";
import { notRun } from "../core/request/outcome.ts";
import type { AnswerKeyReport } from "../ports/key_reports.ts";
import type { ColdTargetTask } from "../tasks/cold_target_task.ts";
import type { Coordinator } from "../tasks/coordinator.ts";
import type { RegistrationTask } from "../tasks/registration_task.ts";
import { monotonicNow } from "../tasks/time.ts";
import { callerBounds } from "./caller_policy.ts";
import { reportAbandoned, reportArrivals } from "./common_adapters.ts";
import { observeRequests } from "./observe.ts";
import { operatorPages } from "./operator_pages.ts";
import type { PlatformAdapters } from "./platform_adapters.ts";
import {
  maxHeaderBytes,
  maxRetainedBodyBytes,
  maxUnreadMilliseconds,
} from "./platform_policy.ts";
import type { RequestTasks } from "./platform_requests.ts";

/** The listeners of an agent. */
export interface PlatformListeners {
  readonly callers: HttpListener;
  /** All listeners that callers don't use. */
  readonly others: readonly Listener[];
}

/** The tasks that handle what arrives at the listeners. */
interface ListeningTasks extends RequestTasks {
  readonly agent: Agent;
  readonly registration: RegistrationTask;
  /** Answers the keys that the target reports; null if it reports none. */
  readonly answerKeys: AnswerKeyReport | null;
  readonly coordinator: Coordinator;
  readonly coldTarget: ColdTargetTask;
}

interface ListenerOptions {
  readonly adapters: PlatformAdapters;
  readonly tasks: ListeningTasks;
  readonly ownService: () => string;
  readonly ready: () => boolean;
}

/** Opens all listeners. The error names the one that could not be opened. */
export async function openPlatformListeners(
  settings: PlatformSettings,
  options: ListenerOptions,
): Promise<Result<PlatformListeners, string>> {
  const callers = await listenForCallers(settings, options);
  if (callers.isErr) return Result.err(`callers: ${callers.error}`);
  const agents = await listenForAgents(settings, options);
  if (agents.isErr) return Result.err(`agents: ${agents.error}`);
  const peerServer = serveAgents(agents.value, options);
  options.adapters.linkBacklog.follow(peerServer.backlogBytes);
  const readiness = await listenForReadiness({
    address: settings.readiness,
    ready: options.ready,
  });
  if (readiness.isErr) return Result.err(`readiness: ${readiness.error}`);
  const heartbeats = await listenForTarget(settings, options);
  if (heartbeats.isErr) return Result.err(`heartbeats: ${heartbeats.error}`);
  return Result.ok({
    callers: callers.value,
    others: [agents.value, peerServer, readiness.value, heartbeats.value],
  });
}

function listenForCallers(
  settings: PlatformSettings,
  options: ListenerOptions,
) {
  const { adapters, tasks } = options;
  const handleEntry: HandleRequest = (request, { body }) =>
    tasks.entry.handle(request, { body });
  return openHttpListener({
    ...httpOptions(options),
    ...splitAddress(settings.callers),
    kind: "callers",
    callerProtocol: platformCallerProtocol({
      ownService: options.ownService,
      random: Math.random,
    }),
    callerLoad: {
      ...adapters,
      bounds: callerBounds(settings, maxUnreadMilliseconds),
    },
    pages: new Map(),
    handle: observeRequests(handleEntry, {
      ...adapters,
      configuration: tasks.coordinator.configuration,
    }),
  });
}

function listenForAgents(settings: PlatformSettings, options: ListenerOptions) {
  const { adapters, tasks } = options;
  return openHttpListener({
    ...httpOptions(options),
    ...splitAddress(settings.peers),
    kind: "agents",
    pages: operatorPages({
      metrics: adapters.metrics,
      ready: options.ready,
      describe: () => ({ agent: tasks.agent.id }),
    }),
    handle: serveForwarded(tasks),
  });
}

/** Serves the calls and the links of other agents on their listener. */
function serveAgents(
  { server }: Pick<HttpListener, "server">,
  { adapters, tasks }: ListenerOptions,
): PeerServer {
  return servePeers({
    server,
    methods: {
      ...tasks.coordinator.methods,
      offerBody: tasks.bodyAdmission.offer,
      lendRetries: tasks.entry.lendRetries,
    },
    clock: adapters.clock,
    links: {
      ...arrivalOptions(adapters),
      agent: tasks.agent.id,
      handle: serveForwarded(tasks),
      onMalformed: () => adapters.events.record("peer-message-refused"),
    },
  });
}

function listenForTarget(
  settings: PlatformSettings,
  { adapters, tasks }: ListenerOptions,
) {
  const { registration } = tasks;
  return listenForHeartbeats({
    address: settings.heartbeats,
    target: settings.target,
    events: adapters.events,
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
}

/** Serves requests that other agents forward. */
function serveForwarded(tasks: ListeningTasks): HandleRequest {
  return (request, { body }) => {
    tasks.bodyAdmission.recordArrival(request, body);
    return tasks.coordinator.fresh()
      ? tasks.serve.serve(request, { body })
      : Promise.resolve(Result.err(notRun("configuration-stale")));
  };
}

/** Options of the listeners for callers and for agents. */
function httpOptions({ adapters, tasks }: ListenerOptions) {
  return {
    ...arrivalOptions(adapters),
    agent: tasks.agent.id,
    configuration: tasks.coordinator.configuration,
    maxHeaderBytes,
    maxRetainedBodyBytes,
  };
}

/** How requests that arrive are measured and reported, however they come. */
function arrivalOptions(adapters: PlatformAdapters) {
  const { events, clock, measureTransitDelay, pendingInput } = adapters;
  return {
    now: monotonicNow,
    clock,
    measureTransitDelay,
    pendingInput,
    onArrival: reportArrivals(events),
    onAbandoned: reportAbandoned(events),
  };
}

function splitAddress(
  address: Address,
): { readonly host: string; readonly port: number } {
  const [host = "", port = ""] = address.split(":");
  return { host, port: Number(port) };
}
