/**
 * The tasks of an agent on the platform through which requests pass: the entry
 * for callers, and what serves requests with the target beside the agent.
 *
 * @module
 */
import type { PlatformSettings } from "../../platform/settings.ts";
import { hashText } from "../adapters/hashing.ts";
import type { Agent } from "../core/agent.ts";
import type { Configuration } from "../core/document/document.ts";
import { allowsRegion } from "../core/routes/allowed_regions.ts";
import {
  cachedRouteIndex,
  hostOfAuthority,
  type Route,
} from "../core/routes/routes.ts";
import {
  pickAnyPair,
  pickPairBySlots,
} from "../core/routing/candidate_pairs.ts";
import {
  leaveOutFailing,
  leaveOutNone,
} from "../core/routing/failing_targets.ts";
import type { ProxyRequest } from "../ports/upstream.ts";
import type { AdmissionTask } from "../tasks/admission_task.ts";
import {
  type BodyAdmissionTask,
  startBodyAdmission,
} from "../tasks/body_admission_task.ts";
import type { Coordinator } from "../tasks/coordinator.ts";
import { type EntryTask, startEntry } from "../tasks/entry_task.ts";
import type { EvacuationsTask } from "../tasks/evacuations_task.ts";
import type { FailingTargetTask } from "../tasks/failing_target_task.ts";
import type { RegistrationTask } from "../tasks/registration_task.ts";
import { type ServeTask, startServing } from "../tasks/serve_task.ts";
import { startStopGate, type StopGate } from "../tasks/stop_gate.ts";
import { maxBytesInProgress, maxLinkBacklogBytes } from "./caller_policy.ts";
import type { PlatformAdapters } from "./platform_adapters.ts";
import {
  avoidsFailingTargets,
  bodyAdmissionTickMilliseconds,
  minTableAgeMilliseconds,
  retrySettings,
} from "./platform_policy.ts";

/** The tasks through which requests pass. */
export interface RequestTasks {
  readonly bodyAdmission: BodyAdmissionTask;
  readonly serve: ServeTask;
  readonly entry: EntryTask;
  readonly gate: StopGate;
}

type ServingOptions = Parameters<typeof startServing>[0];
type EntryOptions = Parameters<typeof startEntry>[0];

/** What these tasks use of the agent. */
interface RequestTaskOptions {
  readonly adapters: PlatformAdapters;
  readonly agent: Agent;
  readonly registration: RegistrationTask;
  /** Null where data centres are not evacuated. */
  readonly evacuations: EvacuationsTask | null;
  readonly coordinator: Coordinator;
  readonly admission: AdmissionTask;
  readonly target: ServingOptions["target"];
  /** Null where failing targets keep their traffic. */
  readonly failingTarget: FailingTargetTask | null;
  readonly place: EntryOptions["place"];
}

/** Starts the tasks through which requests pass. */
export function startRequestTasks(
  settings: PlatformSettings,
  options: RequestTaskOptions,
): RequestTasks {
  const { agent, registration, evacuations, coordinator } = options;
  const { admission, target, place, failingTarget } = options;
  const { events, metrics, peers, forwarder, pendingInput } = options.adapters;
  const { linkBacklog, answersInProgress } = options.adapters;
  const bodyAdmission = startBodyAdmission({
    service: settings.service,
    accepts: registration.accepts,
    events,
    tickMilliseconds: bodyAdmissionTickMilliseconds,
  });
  const gate = startStopGate();
  const routeOf = routeOfRequest(coordinator.configuration);
  const unevenTargets = hasUnevenTargets(settings);
  const describeEvacuated = () => evacuations?.describe() ?? {};
  const serve = startServing({
    mayBegin: (request) =>
      gate.mayBegin(request) &&
      registration.acceptsWaiting({ keyed: request.key !== null }),
    hasMemory: () =>
      linkBacklog.bytes() <= maxLinkBacklogBytes(settings) &&
      answersInProgress.bytes() <= maxBytesInProgress(settings),
    service: settings.service,
    entry: agent.id,
    holder: coordinator.holder,
    admission,
    workOf: workOfRequest(coordinator.configuration),
    isConfigured: () => coordinator.configuration().revision > 0,
    allowsRegion: (request) =>
      allowsRegion(
        routeOf(request)?.allowedRegions ?? [],
        settings.place.region,
      ),
    accepts: registration.accepts,
    describeEvacuated,
    ...(failingTarget === null ? { target } : {
      target: failingTarget.observe(target),
      mayTry: failingTarget.mayTry,
    }),
    readPendingInput: pendingInput.readPending,
    events,
    metrics,
  });
  const entry = startEntry({
    ...(evacuations === null ? {} : { evacuated: evacuations.evacuated }),
    describeEvacuated,
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
    pickPair: unevenTargets ? pickPairBySlots : pickAnyPair,
    onFailingAvoided: () => metrics.count("requests_avoided_failing"),
    leavesOut: unevenTargets && avoidsFailingTargets
      ? leaveOutFailing
      : leaveOutNone,
    readPendingInput: pendingInput.readPending,
    retries: () => retrySettings(settings, coordinator.gossip.agents().length),
    minTableAgeMilliseconds,
  });
  return { bodyAdmission, serve, entry, gate };
}

/**
 * Whether the settings have the bounds of cold targets, which turn on the rules
 * for targets that differ.
 */
export function hasUnevenTargets({ bounds }: PlatformSettings): boolean {
  return bounds.coldRate !== null;
}

/** Names the kind of work of a request, by its route; null without one. */
export function workOfRequest(
  configuration: () => Configuration,
): (request: ProxyRequest) => string | null {
  const routeOf = routeOfRequest(configuration);
  return (request) => routeOf(request)?.name ?? null;
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
