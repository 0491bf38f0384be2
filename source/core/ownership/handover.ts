/**
 * What a grantor that has stopped tells its successor, so that the successor
 * waits only for what is surely not known, and goes on with waits that have
 * begun.
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

/** What this grantor knows, on its monotonic clock. It must have stopped. */
export function handoverOf(state: GrantorState, now: number): Handover {
  const waiting = new Map<string, WaitingSlices>();
  state.slices.forEach((slice, index) => {
    if (slice.kind === "free") return;
    const { owner } = slice;
    const milliseconds = Math.max(0, waitEndsAt(slice, state, now) - now);
    const place = `${owner}:${milliseconds}`;
    const slices = [...waiting.get(place)?.slices ?? [], index];
    waiting.set(place, { owner, slices, milliseconds });
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
 * The slices that no server reported, as the handover leaves them; null for
 * one whose server has answered. That server has accepted the later epoch, and
 * takes no grant of the former one any more: what it did not report it does
 * not hold, but for the key's own slice that it has not heard of yet.
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
