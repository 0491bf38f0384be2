/**
 * An agent on the users' platform: connects the same tasks as `agent.ts` to the
 * adapters of the platform, and to each other. What is connected has a module
 * for each side: `platform_adapters.ts`, `platform_requests.ts` for the tasks
 * through which requests pass, and `platform_listeners.ts`.
 *
 * @module
 */
import { randomUUID } from "node:crypto";
import { Result } from "true-myth";
import { keyCount } from "../../platform/names.ts";
import type { PlatformSettings } from "../../platform/settings.ts";
import { openPlatformTarget } from "../../platform/target.ts";
import { hashText } from "../adapters/hashing.ts";
import type { LogLevel } from "../adapters/logs/log.ts";
import type { AdmissionSettings } from "../core/admission/settings.ts";
import { type Agent, agentIdOf } from "../core/agent.ts";
import {
  type Configuration,
  emptyConfiguration,
  serviceNamed,
} from "../core/document/document.ts";
import { placeByNumber } from "../core/ownership/key_ranges.ts";
import type { AnswerKeyReport } from "../ports/key_reports.ts";
import { type AdmissionTask, startAdmission } from "../tasks/admission_task.ts";
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
import {
  type RegistrationTask,
  startRegistration,
} from "../tasks/registration_task.ts";
import {
  type FailingTargetTask,
  startFailingTarget,
} from "../tasks/failing_target_task.ts";
import { withMoveCounts } from "../tasks/move_counts.ts";
import { monotonicNow } from "../tasks/time.ts";
import {
  openPlatformAdapters,
  type PlatformAdapters,
} from "./platform_adapters.ts";
import { leaveCoordination } from "./platform_departure.ts";
import { openPlatformListeners } from "./platform_listeners.ts";
import {
  admissionSettings,
  admissionTickMilliseconds,
  avoidsFailingTargets,
  coordinatorTimes,
  departuresTimes,
  desiredStateTimes,
  groupSettingsFor,
  maxMissedHeartbeats,
  servicePolicy,
  stopTimes,
  weightLimit,
} from "./platform_policy.ts";
import {
  hasUnevenTargets,
  type RequestTasks,
  startRequestTasks,
  workOfRequest,
} from "./platform_requests.ts";
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

/** The tasks of an agent. */
interface AgentTasks extends RequestTasks {
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
  /** Null where failing targets keep their traffic. */
  readonly failingTarget: FailingTargetTask | null;
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
  const adapters = openPlatformAdapters(settings, { ...options, id });
  const tasks = startTasks(settings, { adapters, id, incarnation });
  const state = { stopping: false };
  const listeners = await openPlatformListeners(settings, {
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
      leave: () => leaveCoordination(adapters, tasks),
    }, stopTimes(currentSettings));
    adapters.events.record("agent-stopped", {
      running: tasks.entry.running() + tasks.serve.running(),
    });
    tasks.registration.stop();
    tasks.evacuations?.stop();
    tasks.departures.stop();
    tasks.coldTarget.stop();
    tasks.failingTarget?.stop();
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

async function closeAdapters(
  adapters: PlatformAdapters,
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
    readonly adapters: PlatformAdapters;
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
      storeEra,
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
    onAnswerRead: adapters.countPassedBytes,
    answersInProgress: adapters.answersInProgress,
  });
  const targetKeys = connectTargetKeys(settings, {
    events,
    registration,
  });
  const admission = startAdmission({
    settings: settingsForSlots(1),
    tickMilliseconds: admissionTickMilliseconds,
    onColdStartDelayed: () => metrics.count("cold_starts_delayed"),
  });
  const failingTarget = !avoidsFailingTargets || !hasUnevenTargets(settings)
    ? null
    : startFailingTarget({
      target: registration.target,
      others: () =>
        coordinator.gossip.agents().filter(({ id, service }) =>
          service === settings.service && id !== agent.id
        ),
      workOf: workOfRequest(() => configuration),
      events,
    });
  const coldTarget = startColdTarget({
    target: registration.target,
    share: () => failingTarget?.share() ?? 1,
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
    group: groupSettingsFor(settings),
    delegations: store.delegations,
    storeEra,
    peers,
    events: withMoveCounts(
      events,
      (name, amount) => metrics.count(name, {}, amount),
    ),
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
    weightLimit: () => weightLimit(settings, admission),
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
    admission.configure(settingsForSlots(slots));
  }

  function settingsForSlots(slots: number): AdmissionSettings {
    const { service } = settings;
    const unevenTargets = hasUnevenTargets(settings);
    return admissionSettings(configuration, { service, slots, unevenTargets });
  }

  const requestTasks = startRequestTasks(settings, {
    adapters,
    agent,
    registration,
    evacuations,
    coordinator,
    admission,
    target,
    failingTarget,
    place,
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
    failingTarget,
    ...requestTasks,
    closeTarget: async () => {
      await Promise.all([target.close(), targetKeys.close()]);
    },
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
