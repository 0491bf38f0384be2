/**
 * An agent: joins the tasks to the adapters behind their ports.
 *
 * @module
 */
import { randomUUID } from "node:crypto";
import { Result } from "true-myth";
import { hashText } from "../adapters/hashing.ts";
import { type Front, openFront } from "../adapters/http_front.ts";
import { openLog } from "../adapters/log.ts";
import { startLogicalClock } from "../adapters/logical_clock.ts";
import { startMetrics } from "../adapters/metrics.ts";
import { connectPeers } from "../adapters/peer_client.ts";
import { servePeers } from "../adapters/peer_server.ts";
import { openStore } from "../adapters/store_client.ts";
import { startTimeline } from "../adapters/timeline_buffer.ts";
import { openForwarder, openTarget } from "../adapters/upstream.ts";
import { readDocument } from "../adapters/yaml_document.ts";
import type { AdmissionSettings } from "../core/admission/admission.ts";
import type { Agent } from "../core/agent.ts";
import { assembleConfiguration } from "../core/document/assembly.ts";
import {
  type Configuration,
  emptyConfiguration,
  type Service,
} from "../core/document/document.ts";
import {
  beginFreshness,
  confirmFreshness,
  isFresh,
} from "../core/document/freshness.ts";
import type { Replica } from "../core/dissemination/replica.ts";
import type { GrantorSettings } from "../core/ownership/grantor_state.ts";
import {
  grantorCandidates,
  groupOfHost,
} from "../core/ownership/membership.ts";
import { type Failure, notRun } from "../core/request/outcome.ts";
import { mainObject } from "../ports/store.ts";
import type { Body, ProxyAnswer, ProxyRequest } from "../ports/upstream.ts";
import { startAdmission } from "../tasks/admission_task.ts";
import { takeCensus } from "../tasks/census_task.ts";
import { isWatcher, startDocument } from "../tasks/document_task.ts";
import { startEntry } from "../tasks/entry_task.ts";
import { startGrantors } from "../tasks/grantors_task.ts";
import { type HolderTask, startHolder } from "../tasks/holder_task.ts";
import { startServing } from "../tasks/serve_task.ts";
import { startSpread } from "../tasks/spread_task.ts";
import { monotonicNow, readClocks, startTicker } from "../tasks/time.ts";
import { operatorPages } from "./operator_pages.ts";
import { peerMethods } from "./peer_methods.ts";
import type { AgentSettings } from "./settings.ts";
import { drain } from "./stop.ts";

/** A running agent. */
export interface RunningAgent {
  readonly callerAddress: string;
  readonly peerAddress: string;
  /** The planned stop: resolves when nothing runs here any more. */
  stop(): Promise<void>;
}

const tickMilliseconds = 100;
const admissionTickMilliseconds = 10;
const healthMilliseconds = 300;
const healthTimeoutMilliseconds = 250;
const failuresBeforeLeaving = 2;
const watchMilliseconds = 30_000;
const storeRetryMilliseconds = 500;
const censusMilliseconds = 9_000;
const censusTimeoutMilliseconds = 1_500;
/** The target for a configuration to be in force everywhere. */
const freshnessMilliseconds = 9_000;
/** Slices of a leaving target that nobody takes are served this long. */
const evacuationMilliseconds = 1_500;
const relocationMilliseconds = 2_000;
const movesAtOnce = 8;
const isolatedKeysPerGroup = 32;
const connectTimeoutMilliseconds = 300;
const idleMilliseconds = 4_000;
const connectionsPerAgent = 64;

const retries = {
  earnedByRequest: 0.1,
  mostSaved: 20,
  firstDelayMilliseconds: 10,
  longestDelayMilliseconds: 200,
};

/** Starts an agent; fails with a fault in plain words. */
export async function startAgent(
  settings: AgentSettings,
  options: { readonly writeLog: (line: string) => void },
): Promise<Result<RunningAgent, string>> {
  const incarnation = Date.now();
  const id = `${settings.host}/${incarnation.toString(36)}`;
  const clock = startLogicalClock();
  const metrics = startMetrics();
  const log = openLog({
    agent: id,
    level: settings.logLevel,
    write: options.writeLog,
  });
  const events = startTimeline({ agent: id, clock, log });
  const peers = connectPeers({ clock, metrics });
  const store = openStore({
    origin: settings.store,
    timeoutMilliseconds: settings.storeTimeout,
    metrics,
  });
  const target = openTarget({
    address: settings.target,
    settings: {
      connections: settings.slots,
      connectTimeoutMilliseconds,
      idleMilliseconds,
    },
    now: monotonicNow,
    healthTimeoutMilliseconds,
  });
  const forwarder = openForwarder({
    settings: {
      connections: connectionsPerAgent,
      connectTimeoutMilliseconds,
      idleMilliseconds,
    },
    now: monotonicNow,
    clock: () => clock.next(),
  });

  let configuration: Configuration = emptyConfiguration;
  let freshness = beginFreshness(freshnessMilliseconds);
  let holder: HolderTask | null = null;
  let leavingSince: number | null = null;
  let stopping = false;

  const fresh = () => isFresh(freshness, readClocks());
  const confirmed = () => {
    if (!fresh()) events.record("configuration-fresh");
    freshness = confirmFreshness(freshness, readClocks());
  };

  type Serve = (
    request: ProxyRequest,
    options: { readonly body: Body },
  ) => Promise<Result<ProxyAnswer, Failure>>;
  let enter: Serve | null = null;
  let serveHere: Serve | null = null;

  /** Hands on a request, unless this agent's configuration may be old. */
  async function guarded(
    serve: Serve | null,
    request: ProxyRequest,
    body: Body,
  ): Promise<Result<ProxyAnswer, Failure>> {
    if (serve === null || !fresh()) {
      events.record("configuration-stale", { request: request.id });
      return Result.err(notRun("configuration-stale"));
    }
    return await serve(request, { body });
  }

  const pages = operatorPages({
    metrics,
    ready: () => fresh() && configuration.revision > 0 && !stopping,
    describe: () => ({
      agent: id,
      revision: configuration.revision,
      fresh: fresh(),
      phase: spread.self().phase,
      group: spread.self().group ?? "",
      slices: holder?.heldSlices() ?? 0,
      grants: grantors.groups().join(","),
    }),
  });
  const front = {
    configuration: () => configuration,
    now: monotonicNow,
    onClock: (time: number) => clock.observe(time),
    longestHeaderBytes: settings.longestHeaders,
  };
  const callers = await openFront({
    ...front,
    ...settings.listen,
    kind: "callers",
    pages: new Map(),
    handle: (request, { body }) => observed(request, body),
  });
  if (callers.isErr) {
    return Result.err(`can't listen for callers: ${callers.error}`);
  }
  const agents = await openFront({
    ...front,
    ...settings.peerListen,
    kind: "agents",
    pages,
    handle: (request, { body }) => guarded(serveHere, request, body),
  });
  if (agents.isErr) {
    callers.value.close();
    return Result.err(`can't listen for agents: ${agents.error}`);
  }

  const callerFront = callers.value;
  const agent: Agent = {
    id,
    host: settings.host,
    incarnation,
    callerAddress: addressOf(settings.listen.host, callers.value),
    peerAddress: addressOf(settings.peerListen.host, agents.value),
    place: { dataCenter: settings.dataCenter, region: settings.region },
    service: settings.service,
    group: null,
    slots: settings.slots,
    checksFencing: settings.checksFencing,
    phase: "serving",
  };
  events.record("agent-started", {
    callers: agent.callerAddress,
    peers: agent.peerAddress,
    service: agent.service,
    dataCenter: agent.place.dataCenter,
  });

  async function observed(
    request: ProxyRequest,
    body: Body,
  ): Promise<Result<ProxyAnswer, Failure>> {
    const startedAt = monotonicNow();
    const rank = configuration.ranks[request.rank]?.name ?? "";
    metrics.count("requests_entered", { rank });
    events.record("request-entered", {
      request: request.id,
      service: request.service,
      rank,
      ...(request.key === null ? {} : { key: request.key }),
    });
    const result = await guarded(enter, request, body);
    metrics.time("request_duration", monotonicNow() - startedAt, { rank });
    if (result.isOk) {
      metrics.count("requests_answered", { rank });
      events.record("request-answered", {
        request: request.id,
        status: result.value.status,
      });
      return result;
    }
    const { outcome, reason } = result.error;
    const counter = outcome === "not-run"
      ? "requests_not_run"
      : "requests_unknown";
    metrics.count(counter, { rank, reason });
    events.record("request-failed", { request: request.id, outcome, reason });
    return result;
  }

  const spread = startSpread({
    agent,
    seeds: findSeeds,
    times: {
      exchangeMilliseconds: settings.exchange,
      callTimeoutMilliseconds: settings.callTimeout,
    },
    peers,
    events,
    hash: hashText,
    random: Math.random,
    onChange: applyRecords,
    fresh,
    onConfirmed: confirmed,
  });

  async function findSeeds(): Promise<readonly string[]> {
    if (settings.seeds.length > 0) return settings.seeds;
    const stored = await store.seeds.read(mainObject);
    return stored.isOk ? stored.value?.value.addresses ?? [] : [];
  }

  const admission = startAdmission({
    settings: admissionSettings(settings, configuration),
    tickMilliseconds: admissionTickMilliseconds,
  });

  function applyRecords(replica: Replica): void {
    const next = assembleConfiguration(replica, configuration);
    if (next === null) return;
    configuration = next;
    events.record("revision-applied", { revision: next.revision });
    admission.configure(admissionSettings(settings, next));
    const service = serviceNamed(next, settings.service);
    if (service !== null && holder === null) holder = beginHolding(service);
  }

  function beginHolding(service: Service): HolderTask | null {
    if (service.keys === null || stopping) return null;
    const group = groupOfHost(settings.host, {
      service: service.name,
      groups: service.keys.groups,
      hash: hashText,
    });
    spread.join(group);
    return startHolder({
      agent: { ...agent, group },
      times: {
        renewalMilliseconds: settings.renewal,
        retryMilliseconds: Math.ceil(settings.renewal / 4),
        callTimeoutMilliseconds: settings.callTimeout,
        marginMilliseconds: settings.margin,
      },
      peers,
      events,
      hash: hashText,
      candidates: () => ({
        members: spread.agents()
          .filter((other) => other.group === group && other.id !== id)
          .filter((other) => other.phase !== "lost")
          .map((other) => other.peerAddress),
        grantors: candidatesFor(group),
      }),
    });
  }

  function candidatesFor(group: string): readonly string[] {
    return grantorCandidates(group, {
      agents: spread.agents(),
      hash: hashText,
    });
  }

  const grantors = startGrantors({
    agent,
    times: {
      tickMilliseconds,
      callTimeoutMilliseconds: settings.callTimeout,
      storeRetryMilliseconds,
    },
    delegations: store.delegations,
    peers,
    events,
    newMark: randomUUID,
    settingsOf: (group) => grantorSettings(group, { settings, configuration }),
    successors: (group) =>
      candidatesFor(group).filter((address) => address !== agent.peerAddress),
  });

  const serve = startServing({
    service: settings.service,
    holder: () => holder,
    admission,
    accepts: ({ keyed }) => {
      if (leavingSince === null) return true;
      return keyed && monotonicNow() - leavingSince < evacuationMilliseconds;
    },
    target,
    events,
    metrics,
  });

  const entry = startEntry({
    agent,
    agents: () => spread.agents(),
    configuration: () => configuration,
    localTable: (group) =>
      grantors.table(group) ??
        (spread.self().group === group ? holder?.table() ?? null : null),
    serve,
    forwarder,
    peers,
    events,
    metrics,
    hash: hashText,
    random: Math.random,
    retries,
  });

  const census = (addresses: readonly string[] | null) =>
    takeCensus({
      own: {
        host: settings.host,
        revision: configuration.revision,
        fresh: fresh(),
      },
      addresses: addresses ??
        spread.agents().filter((other) => other.id !== id)
          .map((other) => other.peerAddress),
      peers,
      hostOf: (address) =>
        spread.agents().find((other) => other.peerAddress === address)?.host ??
          address,
      timeoutMilliseconds: censusTimeoutMilliseconds,
    });

  const document = startDocument({
    store,
    times: { watchMilliseconds, storeRetryMilliseconds, censusMilliseconds },
    events,
    read: readDocument,
    watches: () => isWatcher(agent, spread.agents(), hashText),
    publish: (records) => spread.publish(records),
    onConfirmed: confirmed,
    census: () => census(null),
    seeds: () =>
      spread.agents()
        .filter((other) => other.phase === "serving")
        .filter((other) => isWatcher(other, spread.agents(), hashText))
        .map((other) => other.peerAddress)
        .sort(),
  });

  const peerServer = servePeers({
    server: agents.value.server,
    methods: peerMethods({
      spread,
      grantors,
      holder: () => holder,
      census,
      eventsAfter: (time) => events.after(time),
    }),
    clock,
  });
  enter = entry.handle;
  serveHere = serve.serve;

  const relocation = startTicker(relocateGrantors, {
    intervalMilliseconds: relocationMilliseconds,
  });

  /** A grantor beside a server of its own group would be lost with it. */
  function relocateGrantors(): void {
    for (const group of grantors.groups()) {
      const best = spread.agents().find((other) =>
        other.peerAddress === candidatesFor(group)[0]
      );
      const beside = spread.self().group === group;
      if (beside && best !== undefined && best.group !== group) {
        void grantors.relocate(group);
      }
    }
  }

  let healthFailures = 0;
  const health = startTicker(() => void checkHealth(), {
    intervalMilliseconds: healthMilliseconds,
  });

  async function checkHealth(): Promise<void> {
    const report = await target.health();
    if (stopping) return;
    healthFailures = report === null ? healthFailures + 1 : 0;
    if (healthFailures > 0 && healthFailures < failuresBeforeLeaving) return;
    setLeaving(report === null || report.phase === "leaving");
  }

  function setLeaving(leaving: boolean): void {
    if (leaving === (leavingSince !== null)) return;
    leavingSince = leaving ? monotonicNow() : null;
    events.record("target-phase", { phase: leaving ? "leaving" : "serving" });
    holder?.setLeaving(leaving);
    spread.setPhase(leaving ? "leaving" : "serving");
  }

  async function stop(): Promise<void> {
    if (stopping) return;
    stopping = true;
    health.stop();
    relocation.stop();
    events.record("agent-stopping");
    setLeaving(true);
    await document.stop();
    await drain(
      { spread, grantors, holder, serve, entry, callers: callerFront },
      { timeoutMilliseconds: settings.drainTimeout },
    );
    events.record("agent-stopped");
    await holder?.stop();
    await grantors.stop();
    await spread.stop();
    admission.stop();
    callers.map((front) => front.close());
    peerServer.close();
    agents.map((front) => front.close());
    await Promise.all([peers.close(), store.close(), forwarder.close()]);
    await target.close();
  }

  return Result.ok({
    callerAddress: agent.callerAddress,
    peerAddress: agent.peerAddress,
    stop,
  });
}

function addressOf(host: string, front: Front): string {
  return host.includes(":")
    ? `[${host}]:${front.port}`
    : `${host}:${front.port}`;
}

function serviceNamed(
  configuration: Configuration,
  name: string,
): Service | null {
  return configuration.services.find((service) => service.name === name) ??
    null;
}

const queueBeforeConfiguration = 64;

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

function grantorSettings(
  group: string,
  options: {
    readonly settings: AgentSettings;
    readonly configuration: Configuration;
  },
): GrantorSettings | null {
  const { settings, configuration } = options;
  const service = configuration.services.find((service) =>
    group.startsWith(`${service.name}.`)
  );
  if (service === undefined || service.keys === null) return null;
  return {
    leaseMilliseconds: settings.lease,
    longestDeadlineMilliseconds: service.longestDeadlineMilliseconds,
    hashedSlices: service.keys.slicesPerGroup,
    movesAtOnce,
    isolatedKeys: isolatedKeysPerGroup,
    delegationMilliseconds: settings.delegation,
  };
}
