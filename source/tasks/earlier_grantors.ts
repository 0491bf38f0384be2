/**
 * Waits until the earlier grantors of a group have ended. Until then they may
 * still grant slices to servers that have not responded to the new grantor.
 *
 * @module
 */
import type { AgentId } from "../core/agent.ts";
import type { Handover } from "../core/ownership/handover_message.ts";
import type { Events } from "../ports/events.ts";
import type { DelegationRecord } from "./delegation_record.ts";
import type { SealResult } from "./epoch_claim.ts";
import { monotonicNow } from "./time.ts";

/** What is known of the earlier grantors after a takeover. */
export interface EarlierGrantors {
  /** Earlier grantors that may still grant, as far as is known now. */
  readonly unended: () => readonly AgentId[];
  /** The former grantor; undefined if it has stopped. */
  readonly former: AgentId | undefined;
  readonly sealFormer: () => Promise<SealResult>;
}

/**
 * Interval at which a successor checks whether earlier grantors have stopped.
 */
const earlierGrantorCheckMilliseconds = 1_000;

/** Returns a check to be called at intervals. */
export function startEarlierGrantorCheck(options: {
  readonly earlier: EarlierGrantors;
  readonly record: DelegationRecord;
  readonly group: string;
  readonly epoch: number;
  readonly events: Events;
  readonly stopped: () => boolean;
  /** Whether servers have not responded to this grantor. */
  readonly hasUnresponsive: () => boolean;
  /** Whether a checkpoint is not yet confirmed. */
  readonly isWriting: () => boolean;
  readonly onHandover: (handover: Handover) => void;
  /** Called once when all earlier grantors have ended. */
  readonly onEnded: () => void;
}): () => void {
  const { earlier, record, group, epoch, events, stopped } = options;
  let waits = waitsForEarlierGrantors();
  let checkedStoreAt = monotonicNow();
  let askedFormerGrantorAt = -Infinity;

  function waitsForEarlierGrantors(): boolean {
    return earlier.unended().some((id) => !record.hasStopped(id));
  }

  /**
   * Grantors that can't reach each other learn of each other from the store.
   */
  async function checkStore(): Promise<void> {
    const now = monotonicNow();
    if (
      now - checkedStoreAt < earlierGrantorCheckMilliseconds ||
      options.isWriting()
    ) return;
    checkedStoreAt = now;
    await record.refresh();
  }

  /**
   * Asks again, as the former grantor may have been slow or briefly
   * unreachable.
   */
  async function retrySealFormer(former: AgentId): Promise<void> {
    const now = monotonicNow();
    if (now - askedFormerGrantorAt < earlierGrantorCheckMilliseconds) return;
    askedFormerGrantorAt = now;
    const sealed = await earlier.sealFormer();
    if (stopped() || !sealed.stopped || record.hasStopped(former)) return;
    record.recordStopped(former);
    const { handover } = sealed;
    events.record("earlier-grantor-sealed", {
      group,
      epoch,
      former,
      handedOver: handover !== null,
    });
    if (handover !== null) options.onHandover(handover);
  }

  // Earlier grantors may turn out to have ended only after this one has
  // started.
  return () => {
    if (!waits) return;
    if (options.hasUnresponsive()) {
      void checkStore();
      if (earlier.former !== undefined) void retrySealFormer(earlier.former);
    }
    if (waitsForEarlierGrantors()) return;
    waits = false;
    events.record("earlier-grantors-ended", { group, epoch });
    options.onEnded();
  };
}
