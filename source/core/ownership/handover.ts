/**
 * Creates the handover of a grantor that has stopped, and reads it at the
 * successor. With it the successor reserves only slices whose state is really
 * unknown, and continues waits that have begun instead of starting them anew.
 *
 * @module
 */
import type { AgentId } from "../agent.ts";
import type { Handover, WaitingSlices } from "./handover_message.ts";
import {
  type GrantorState,
  lastWorkEndsAt,
  type Slice,
} from "./grantor_state.ts";

/**
 * The handover of a grantor, which must have stopped before. `now` is a time of
 * its monotonic clock, in milliseconds.
 */
export function handoverOf(state: GrantorState, now: number): Handover {
  const waiting = new Map<string, WaitingSlices>();
  state.slices.forEach((slice, index) => {
    if (slice.kind === "free") return;
    const { owner } = slice;
    const milliseconds = Math.max(0, waitEndsAt(slice, state, now) - now);
    const waitKey = `${owner}:${milliseconds}`;
    const slices = [...waiting.get(waitKey)?.slices ?? [], index];
    waiting.set(waitKey, { owner, slices, milliseconds });
  });
  return {
    epoch: state.epoch,
    sliceCount: state.slices.length,
    waiting: [...waiting.values()],
  };
}

function waitEndsAt(
  slice: Exclude<Slice, { readonly kind: "free" }>,
  state: GrantorState,
  now: number,
): number {
  if (slice.kind === "reserved") return slice.availableAt;
  const holder = state.holders.get(slice.owner);
  if (holder !== undefined) return lastWorkEndsAt(holder, state.settings);
  const { leaseMilliseconds, longestDeadlineMilliseconds } = state.settings;
  return now + leaseMilliseconds + longestDeadlineMilliseconds;
}

/**
 * The state of each slice according to the handover, for slices that no server
 * reported to the successor; null for a slice whose owner has answered the
 * takeover. That server has accepted the successor's epoch and accepts no grant
 * of the former one any more. So it does not hold what it did not report,
 * except for an isolated key's slice that it has not learned of yet.
 */
export function slicesFromHandover(
  handover: Handover,
  reading: {
    /** The successor's monotonic clock. */
    readonly now: number;
    readonly hasAnswered: (id: AgentId) => boolean;
  },
): readonly (Slice | null)[] {
  const slices: (Slice | null)[] = Array.from(
    { length: handover.sliceCount },
    () => ({ kind: "free" }),
  );
  const token = { epoch: handover.epoch, sequence: 0 };
  for (const { owner, slices: numbers, milliseconds } of handover.waiting) {
    const availableAt = reading.now + milliseconds;
    const answered = owner !== null && reading.hasAnswered(owner);
    for (const number of numbers) {
      if (number >= handover.sliceCount) continue;
      slices[number] = answered
        ? null
        : { kind: "reserved", owner, token, availableAt };
    }
  }
  return slices;
}
