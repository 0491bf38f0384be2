/**
 * The planned stop of an agent: it hands over what it holds and grants,
 * finishes what runs, and only then ends.
 *
 * @module
 */
import type { Front } from "../adapters/callers/http_front.ts";
import type { Coordinator } from "../tasks/coordinator.ts";
import type { EntryTask } from "../tasks/entry_task.ts";
import type { HolderTask } from "../tasks/holder_task.ts";
import type { ServeTask } from "../tasks/serve_task.ts";
import { evacuationMilliseconds } from "../tasks/target_watch_task.ts";
import {
  monotonicNow,
  pause,
  startTicker,
  type Ticker,
} from "../tasks/time.ts";

/** What a planned stop goes through. */
export interface StoppingParts {
  readonly coordinator: Coordinator;
  readonly serve: ServeTask;
  readonly entry: EntryTask;
  readonly callers: Front;
}

/** Durations of a planned stop, in milliseconds. */
export interface StopTimes {
  /** Callers are served as before until they must have heard of the stop. */
  readonly announceMilliseconds: number;
  readonly timeoutMilliseconds: number;
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

/** Resolves when nothing runs here any more, or the time is over. */
export async function drain(
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

/** From the announcement on, as connections become idle. */
function closeIdleAgainAndAgain(callers: Front, options: StopTimes): Ticker {
  const from = monotonicNow() + options.announceMilliseconds;
  return startTicker(() => {
    if (options.closesIdle && monotonicNow() > from) callers.closeIdle();
  }, { intervalMilliseconds: closeIdleMilliseconds });
}

async function giveUpSlices(
  holder: HolderTask | null,
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
    const running = parts.serve.running() + parts.entry.running() +
      parts.callers.unanswered();
    if (running > 0) quietSince = monotonicNow();
    if (monotonicNow() - quietSince >= quietMilliseconds) return;
    await pause(pollMilliseconds);
  }
}
