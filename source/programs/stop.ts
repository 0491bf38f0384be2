/**
 * The planned stop of an agent: it hands over what it holds and grants,
 * finishes what runs, and only then ends.
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
import { evacuationMilliseconds } from "../tasks/target_watch_task.ts";
import {
  monotonicNow,
  pause,
  startTicker,
  type Ticker,
} from "../tasks/time.ts";

/** What a planned stop goes through. */
export interface StoppingParts {
  readonly coordinator: {
    readonly spread: Pick<Coordinator["spread"], "hurry">;
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
  /** Callers are served as before until they must have heard of the stop. */
  readonly announceMilliseconds: number;
  /** The agent takes part in coordination for so long at most. */
  readonly timeoutMilliseconds: number;
  /** What runs is waited for so long at most; not less than the timeout. */
  readonly answersMilliseconds: number;
  /**
   * Whether idle connections are closed once callers must have heard: callers
   * that go on sending would otherwise be cut off at the end.
   */
  readonly closesIdle: boolean;
}

/** No request for this long means that nobody sends here any more. */
const quietMilliseconds = 700;
const pollMilliseconds = 20;
const closeIdleMilliseconds = 100;
/** An answer may come this much after the deadline of its request. */
const lateAnswerMilliseconds = 300;

/**
 * Goes through a planned stop until callers are cut off. `leave` ends the
 * agent's part in coordination, while what still runs is waited for.
 */
export async function stopServing(
  parts: StoppingParts & { readonly leave: () => Promise<void> },
  options: StopTimes,
): Promise<void> {
  const now = monotonicNow();
  const answersEndAt = now + options.answersMilliseconds;
  const announcedAt = now + options.announceMilliseconds;
  const endsAt = answersEndAt - lateAnswerMilliseconds;
  parts.gate.begin({ announcedAt, endsAt });
  const refusing = setTimeout(() => parts.admission.close(), endsAt - now);
  await drain(parts, options);
  const left = parts.leave();
  await untilNothingRuns(parts, answersEndAt);
  clearTimeout(refusing);
  // Other agents may send on until this one has left; nothing more begins.
  parts.gate.begin({ announcedAt, endsAt: monotonicNow() });
  await untilNothingRuns(parts, answersEndAt);
  parts.callers.close();
  await left;
}

/** Resolves when nothing runs here any more, or the time is over. */
async function drain(
  parts: StoppingParts,
  options: StopTimes,
): Promise<void> {
  const end = monotonicNow() + options.timeoutMilliseconds;
  const { coordinator } = parts;
  const announced = pause(options.announceMilliseconds).then(() =>
    parts.callers.drain()
  );
  const closing = closeIdleAgainAndAgain(parts.callers, options);
  await coordinator.spread.hurry();
  await Promise.all([
    announced,
    coordinator.grantors.handOver(options),
    giveUpSlices(coordinator.holder(), end),
  ]);
  await untilQuiet(parts, end);
  closing.stop();
}

async function untilNothingRuns(
  parts: StoppingParts,
  end: number,
): Promise<void> {
  while (countRunning(parts) > 0 && monotonicNow() < end) {
    await pause(pollMilliseconds);
  }
}

function countRunning(parts: StoppingParts): number {
  const { serve, entry, callers } = parts;
  return serve.running() + entry.running() + callers.unanswered();
}

/** From the announcement on, as connections become idle. */
function closeIdleAgainAndAgain(
  callers: Pick<HttpListener, "closeIdle">,
  options: StopTimes,
): Ticker {
  const from = monotonicNow() + options.announceMilliseconds;
  return startTicker(() => {
    if (options.closesIdle && monotonicNow() > from) callers.closeIdle();
  }, { intervalMilliseconds: closeIdleMilliseconds });
}

async function giveUpSlices(
  holder: ReturnType<StoppingParts["coordinator"]["holder"]>,
  end: number,
): Promise<void> {
  if (holder === null) return;
  const patience = Math.min(end, monotonicNow() + evacuationMilliseconds);
  while (holder.heldSlices() > 0 && monotonicNow() < patience) {
    await pause(pollMilliseconds);
  }
  const timeoutMilliseconds = Math.max(0, end - monotonicNow());
  await holder.releaseAll({ timeoutMilliseconds });
}

async function untilQuiet(parts: StoppingParts, end: number): Promise<void> {
  let quietSince = monotonicNow();
  while (monotonicNow() < end) {
    if (countRunning(parts) > 0) quietSince = monotonicNow();
    if (monotonicNow() - quietSince >= quietMilliseconds) return;
    await pause(pollMilliseconds);
  }
}
