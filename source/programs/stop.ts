/**
 * The planned stop of an agent: it hands over the slices that it holds and the
 * groups that it grants, finishes the requests that run, and closes its
 * listener for callers.
 *
 * @module
 */
import type { HttpListener } from "../adapters/callers/http_listener.ts";
import type { AdmissionTask } from "../tasks/admission_task.ts";
import type { Coordinator } from "../tasks/coordinator.ts";
import type { EntryTask } from "../tasks/entry_task.ts";
import type { HolderTask } from "../tasks/holder_task.ts";
import type { ServeTask } from "../tasks/serve_task.ts";
import type { StopGate } from "../tasks/stop_gate.ts";
import { leavingKeysMilliseconds } from "../tasks/target_watch_task.ts";
import {
  monotonicNow,
  pause,
  startTicker,
  type Ticker,
} from "../tasks/time.ts";

/** The parts of an agent that its planned stop uses. */
export interface StoppingAgent {
  readonly coordinator: {
    readonly gossip: Pick<Coordinator["gossip"], "announceNow">;
    readonly grantors: Pick<Coordinator["grantors"], "handOver">;
    holder(): Pick<HolderTask, "heldSlices" | "releaseAll"> | null;
  };
  readonly admission: Pick<AdmissionTask, "close">;
  readonly gate: Pick<StopGate, "begin">;
  readonly serve: Pick<ServeTask, "running">;
  readonly entry: Pick<EntryTask, "running">;
  readonly callers: Pick<
    HttpListener,
    "drain" | "closeIdle" | "unanswered" | "close"
  >;
}

/** Durations of a planned stop, in milliseconds. */
export interface StopTimes {
  /**
   * Callers are served as before for this long, until they must have noticed
   * that the agent is not ready any more.
   */
  readonly announceMilliseconds: number;
  /** The maximum time before the agent leaves the coordination. */
  readonly timeoutMilliseconds: number;
  /**
   * The maximum wait for running requests, from the start of the stop; not less
   * than `timeoutMilliseconds`.
   */
  readonly drainTimeoutMilliseconds: number;
  /**
   * Whether idle connections are closed after the announcement. Otherwise
   * callers that continue to send would be cut off at the end.
   */
  readonly closesIdle: boolean;
}

/** After this long without a request, no caller sends here any more. */
const quietPeriodMilliseconds = 700;
const pollMilliseconds = 20;
const closeIdleIntervalMilliseconds = 100;
/** An answer may arrive this long after the deadline of its request. */
const maxAnswerLatenessMilliseconds = 300;

/**
 * Runs a planned stop until the listener for callers is closed. `leave` ends
 * the agent's part in the coordination; running requests are waited for
 * meanwhile.
 */
export async function stopServing(
  agent: StoppingAgent & { readonly leave: () => Promise<void> },
  options: StopTimes,
): Promise<void> {
  const now = monotonicNow();
  const answersEndAt = now + options.drainTimeoutMilliseconds;
  const announcedAt = now + options.announceMilliseconds;
  const endsAt = answersEndAt - maxAnswerLatenessMilliseconds;
  agent.gate.begin({ announcedAt, endsAt });
  const admissionTimer = setTimeout(
    () => agent.admission.close(),
    endsAt - now,
  );
  await handOverAndDrain(agent, options);
  const leaving = agent.leave();
  await waitUntilNothingRuns(agent, answersEndAt);
  clearTimeout(admissionTimer);
  // Other agents may still forward requests until this one has left; from now
  // on none is started.
  agent.gate.begin({ announcedAt, endsAt: monotonicNow() });
  await waitUntilNothingRuns(agent, answersEndAt);
  agent.callers.close();
  await leaving;
}

/**
 * Hands over slices and groups. Resolves when no request has run here for the
 * quiet period, or the time is over.
 */
async function handOverAndDrain(
  agent: StoppingAgent,
  options: StopTimes,
): Promise<void> {
  const end = monotonicNow() + options.timeoutMilliseconds;
  const { coordinator } = agent;
  const announced = pause(options.announceMilliseconds).then(() =>
    agent.callers.drain()
  );
  const closing = startClosingIdle(agent.callers, options);
  await coordinator.gossip.announceNow();
  await Promise.all([
    announced,
    coordinator.grantors.handOver(options),
    releaseSlices(coordinator.holder(), end),
  ]);
  await waitUntilQuiet(agent, end);
  closing.stop();
}

async function waitUntilNothingRuns(
  agent: StoppingAgent,
  end: number,
): Promise<void> {
  while (countRunning(agent) > 0 && monotonicNow() < end) {
    await pause(pollMilliseconds);
  }
}

function countRunning(agent: StoppingAgent): number {
  const { serve, entry, callers } = agent;
  return serve.running() + entry.running() + callers.unanswered();
}

/** Closes connections as they become idle, after the announcement. */
function startClosingIdle(
  callers: Pick<HttpListener, "closeIdle">,
  options: StopTimes,
): Ticker {
  const start = monotonicNow() + options.announceMilliseconds;
  return startTicker(() => {
    if (options.closesIdle && monotonicNow() > start) callers.closeIdle();
  }, { intervalMilliseconds: closeIdleIntervalMilliseconds });
}

async function releaseSlices(
  holder: ReturnType<StoppingAgent["coordinator"]["holder"]>,
  end: number,
): Promise<void> {
  if (holder === null) return;
  const movedBy = Math.min(end, monotonicNow() + leavingKeysMilliseconds);
  while (holder.heldSlices() > 0 && monotonicNow() < movedBy) {
    await pause(pollMilliseconds);
  }
  const timeoutMilliseconds = Math.max(0, end - monotonicNow());
  await holder.releaseAll({ timeoutMilliseconds });
}

async function waitUntilQuiet(
  agent: StoppingAgent,
  end: number,
): Promise<void> {
  let quietSince = monotonicNow();
  while (monotonicNow() < end) {
    if (countRunning(agent) > 0) quietSince = monotonicNow();
    if (monotonicNow() - quietSince >= quietPeriodMilliseconds) return;
    await pause(pollMilliseconds);
  }
}
