/**
 * The task that polls the health of the local target, to decide whether it
 * takes new work. A target that does not answer counts as leaving.
 *
 * @module
 */
import type { Events } from "../ports/events.ts";
import type { Target } from "../ports/upstream.ts";
import { monotonicNow, startTicker } from "./time.ts";

/** The running watch of the local target. */
export interface TargetWatch {
  /** Whether the target accepts new requests, with a key or without. */
  accepts(work: { readonly keyed: boolean }): boolean;
  /** Treats the target as leaving from now on, because the agent stops. */
  leave(): void;
}

const healthMilliseconds = 300;
/**
 * Missing reports after which a target is leaving; a single one may be lost.
 */
const failuresBeforeLeaving = 2;
/**
 * Time for which a leaving target still serves its keys, until they have moved.
 */
export const leavingKeysMilliseconds = 1_500;

/** Starts watching; `onChange` is called when the target's leaving changes. */
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
      return keyed && monotonicNow() - leavingSince < leavingKeysMilliseconds;
    },
    leave() {
      stopped = true;
      ticker.stop();
      setLeaving(true);
    },
  };
}
