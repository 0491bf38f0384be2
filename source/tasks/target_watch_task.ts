/**
 * The task that watches the target beside this agent: whether it takes new
 * work, by its own word or by its silence.
 *
 * @module
 */
import type { Events } from "../ports/events.ts";
import type { Target } from "../ports/upstream.ts";
import { monotonicNow, startTicker } from "./time.ts";

/** A running watch. */
export interface TargetWatch {
  /** Whether the target takes new work of this sort. */
  accepts(work: { readonly keyed: boolean }): boolean;
  /** The agent itself stops: from now on the target counts as leaving. */
  leave(): void;
}

const healthMilliseconds = 300;
/** A report can be lost; silence counts from this many on. */
const failuresBeforeLeaving = 2;
/** Keys of a leaving target are served this long, until another owns them. */
export const evacuationMilliseconds = 1_500;

/** Starts watching; `onChange` hears whether the target is leaving. */
export function startTargetWatch(options: {
  readonly target: Target;
  readonly events: Events;
  readonly onChange: (leaving: boolean) => void;
}): TargetWatch {
  let leavingSince: number | null = null;
  let failures = 0;
  let stopped = false;

  const ticker = startTicker(() => void check(), {
    intervalMilliseconds: healthMilliseconds,
  });

  async function check(): Promise<void> {
    const report = await options.target.health();
    if (stopped) return;
    failures = report === null ? failures + 1 : 0;
    if (failures > 0 && failures < failuresBeforeLeaving) return;
    setLeaving(report === null || report.phase === "leaving");
  }

  function setLeaving(leaving: boolean): void {
    if (leaving === (leavingSince !== null)) return;
    leavingSince = leaving ? monotonicNow() : null;
    const phase = leaving ? "leaving" : "serving";
    options.events.record("target-phase", { phase });
    options.onChange(leaving);
  }

  return {
    accepts({ keyed }) {
      if (leavingSince === null) return true;
      return keyed && monotonicNow() - leavingSince < evacuationMilliseconds;
    },
    leave() {
      stopped = true;
      ticker.stop();
      setLeaving(true);
    },
  };
}
