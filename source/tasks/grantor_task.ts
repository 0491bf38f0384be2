/**
 * The task that grants the slices of one group, from the claim of its epoch
 * in the store until it stops or is replaced.
 *
 * @module
 */
import type { Address, AgentId } from "../core/agent.ts";
import type { Clocks } from "../core/clocks.ts";
import { handoverOf } from "../core/ownership/handover.ts";
import type { Handover } from "../core/ownership/handover_message.ts";
import {
  type Checkpoint,
  type Delegation,
  type RosterEntry,
} from "../core/ownership/delegation.ts";
import { delegationEnded, stepGrantor } from "../core/ownership/grantor.ts";
import { tableOf } from "../core/ownership/grantor_table.ts";
import type {
  GrantorEffect,
  GrantorEvent,
} from "../core/ownership/grantor_state.ts";
import type { Renewal, RenewalAnswer } from "../core/ownership/renewal.ts";
import { beginGrantor } from "../core/ownership/takeover.ts";
import type { OwnershipTable } from "../core/ownership/table.ts";
import { formatToken } from "../core/ownership/token.ts";
import type { Versioned } from "../ports/store.ts";
import {
  announceEpoch,
  claimEpoch,
  findUnendedGrantors,
  type GrantorOptions,
  sealFormerGrantor,
  type SealResult,
} from "./epoch_claim.ts";
import { openMailbox } from "./mailbox.ts";
import { removeStoppedGrantor } from "./stopped_grantor.ts";
import { monotonicNow, pause, readClocks, startTicker } from "./time.ts";
import { startUnresponsiveCheck } from "./unresponsive_agents.ts";

/** A running grantor. */
export interface GrantorTask {
  readonly group: string;
  readonly epoch: number;
  /** Null once the grantor has stopped. */
  renew(renewal: Renewal): RenewalAnswer | null;
  /** A later epoch is known: this grantor stops if its own is earlier. */
  stopIfSuperseded(epoch: number): void;
  /** The same, for one that asks; resolves once it has surely stopped. */
  seal(epoch: number): Promise<void>;
  /** What the grantor leaves to its successor; null while it grants. */
  handover(): Handover | null;
  table(): OwnershipTable;
  stopped(): boolean;
  /** Whether it has heard from every server that may hold slices. */
  allResponded(): boolean;
  /** Grants nothing more, for good. */
  stop(): Promise<void>;
}

/** A successor looks so often whether earlier grantors have stopped. */
const earlierGrantorCheckMilliseconds = 1_000;

/**
 * Claims the next epoch of a group and asks its servers what they hold. Null
 * when the store can't be written, or another grantor came first.
 */
export async function startGrantor(
  options: GrantorOptions,
): Promise<GrantorTask | null> {
  const claim = await claimEpoch(options);
  if (claim === null) return null;
  options.onClaimed(claim.stored.value.epoch);
  options.events.record("epoch-claimed", {
    group: options.group,
    epoch: claim.stored.value.epoch,
    former: claim.former?.grantor ?? "none",
  });
  // A grantor that did not answer a moment ago is asked while this one grants.
  const unasked: SealResult = { stopped: false, handover: null };
  const [former, answers] = await Promise.all([
    options.formerReachable ? sealFormerGrantor(options, claim) : unasked,
    announceEpoch(options, claim),
  ]);
  const sealed = former.stopped ? claim.former?.grantor : undefined;
  const earlierStopped =
    findUnendedGrantors(options, claim, sealed).length === 0;
  const state = beginGrantor({
    group: options.group,
    epoch: claim.stored.value.epoch,
    settings: {
      ...options.settings,
      hashedSlices: claim.stored.value.hashedSlices,
    },
    roster: claim.stored.value.roster,
    answers,
    earlierStopped,
    claimedFromOther: claim.former !== null,
    formerDurationMilliseconds: claim.former?.durationMilliseconds ?? 0,
    askedAt: claim.askedAt,
    isolatedKeys: claim.stored.value.isolatedKeys,
    handover: former.handover ?? undefined,
    now: readClocks(),
  });
  options.events.record("grantor-begun", {
    group: options.group,
    epoch: state.epoch,
    answered: answers.length,
    asked: state.roster.length,
    earlierStopped,
    handedOver: former.handover !== null,
    unheard: state.slices.filter((slice) => slice.kind === "reserved").length,
  });
  return runGrantor(options, {
    state,
    stored: claim.stored,
    unended: () => findUnendedGrantors(options, claim, sealed),
    former: former.stopped ? undefined : claim.former?.grantor,
    stopped: sealed === undefined
      ? [options.agent.id]
      : [options.agent.id, sealed],
    sealFormer: () => sealFormerGrantor(options, claim),
  });
}

function runGrantor(
  options: GrantorOptions,
  takeover: {
    readonly state: ReturnType<typeof beginGrantor>;
    readonly stored: Versioned<Delegation>;
    /** Earlier grantors that may still grant, by what is known now. */
    readonly unended: () => readonly AgentId[];
    /** Earlier grantors that had stopped before. */
    readonly stopped: readonly AgentId[];
    /** The former grantor, if it may still grant. */
    readonly former: AgentId | undefined;
    readonly sealFormer: () => Promise<SealResult>;
  },
): GrantorTask {
  const { events, group } = options;
  let { state, stored } = takeover;
  let stopped = false;
  /** Whether this task does nothing more at all. */
  let finished = false;
  /** Earlier grantors that are known to have stopped. */
  let stoppedGrantors: readonly AgentId[] = takeover.stopped;
  let writing: Promise<void> = Promise.resolve();

  const mailbox = openMailbox<
    { readonly event: GrantorEvent; readonly answer: AnswerCallback }
  >(({ event, answer }) => {
    const next = stepGrantor(state, event);
    state = next.state;
    for (const effect of next.effects) perform(effect, answer);
  });

  function perform(effect: GrantorEffect, answer: AnswerCallback): void {
    switch (effect.kind) {
      case "answer":
        return answer(effect.answer);
      case "refuse":
        return answer(null);
      case "writeCheckpoint":
        writing = write(effect.checkpoint);
        return;
      case "nudge":
        return nudge(effect.peerAddresses);
      default:
        return report(effect);
    }
  }

  function report(
    effect: Exclude<
      GrantorEffect,
      { readonly kind: "answer" | "refuse" | "writeCheckpoint" | "nudge" }
    >,
  ): void {
    const common = { group, epoch: state.epoch };
    switch (effect.kind) {
      case "lapsed":
        return events.record("holder-lapsed", {
          ...common,
          holder: effect.id,
          slices: effect.slices,
        });
      case "granted":
        return events.record("slice-granted", {
          ...common,
          slice: effect.slice,
          holder: effect.owner,
          token: formatToken(effect.token),
        });
      case "moveStarted":
        return events.record("move-started", {
          ...common,
          slice: effect.slice,
          from: effect.owner,
          to: effect.destination,
        });
      case "isolated":
        return events.record("key-isolated", {
          ...common,
          key: effect.key,
          slice: effect.slice,
        });
    }
  }

  function nudge(addresses: readonly Address[]): void {
    for (const address of addresses) {
      void options.peers.call(address, "nudge", {
        message: { group },
        timeoutMilliseconds: options.times.callTimeoutMilliseconds,
      });
    }
  }

  function send(event: GrantorEvent): RenewalAnswer | null {
    let result: RenewalAnswer | null = null;
    mailbox.send({
      event,
      answer: (value) => {
        result = value;
      },
    });
    return result;
  }

  /** Repeats one and the same write until it is known how it ended. */
  async function write(checkpoint: Checkpoint): Promise<void> {
    const value: Delegation = {
      ...stored.value,
      ...checkpoint,
      earlierGrantors: stored.value.earlierGrantors.filter((id) =>
        !stoppedGrantors.includes(id)
      ),
      writerMark: options.newMark(),
    };
    const firstAskedAt = readClocks();
    while (!stopped && !delegationEnded(state, readClocks())) {
      const askedAt = readClocks();
      const result = await options.delegations.write(group, value, {
        version: stored.version,
      });
      if (result.isOk) {
        stored = { value, version: result.value };
        return confirmWrite(askedAt);
      }
      const found = await options.delegations.read(group);
      if (found.isOk && found.value !== null) {
        if (found.value.value.writerMark === value.writerMark) {
          stored = found.value;
          return confirmWrite(firstAskedAt);
        }
        if (!adoptStored(found.value)) return;
      }
      await pause(options.times.storeRetryMilliseconds);
    }
  }

  /** Takes in what others wrote; false when this grantor was replaced. */
  function adoptStored(found: Versioned<Delegation>): boolean {
    stopIfSuperseded(found.value.epoch);
    if (stopped) return false;
    const still = new Set(found.value.earlierGrantors);
    const gone = stored.value.earlierGrantors.filter((id) => !still.has(id));
    stoppedGrantors = [...stoppedGrantors, ...gone];
    stored = found;
    return true;
  }

  function confirmWrite(askedAt: Clocks): void {
    events.record("checkpoint-written", {
      group,
      epoch: state.epoch,
      roster: stored.value.roster.length,
    });
    send({ kind: "confirmed", askedAt });
  }

  function halt(reason: string): void {
    if (stopped) return;
    stopped = true;
    ticker.stop();
    mailbox.close();
    events.record("grantor-stopped", { group, epoch: state.epoch, reason });
  }

  function stopIfSuperseded(epoch: number): void {
    if (stopped || epoch <= state.epoch) return;
    halt("replaced");
    void removeStoppedGrantor({
      ...options,
      grantor: options.agent.id,
      // A successor that hears it notes it with its next write.
      delayMilliseconds: options.times.storeRetryMilliseconds,
      retryMilliseconds: options.times.storeRetryMilliseconds,
      timeoutMilliseconds: state.settings.delegationMilliseconds,
      isOver: () => finished,
    });
  }

  function waitsForEarlierGrantors(): boolean {
    return takeover.unended().some((id) => !stoppedGrantors.includes(id));
  }

  let waitsForEarlier = waitsForEarlierGrantors();
  let checkedStoreAt = monotonicNow();

  /** Out of each other's reach, grantors hear of each other by the store. */
  async function checkStore(): Promise<void> {
    const now = monotonicNow();
    if (
      now - checkedStoreAt < earlierGrantorCheckMilliseconds ||
      state.writing !== null
    ) return;
    checkedStoreAt = now;
    const found = await options.delegations.read(group);
    // A write that has begun meanwhile reads for itself if it must.
    if (stopped || state.writing !== null || found.isErr) return;
    if (found.value !== null) adoptStored(found.value);
  }

  let askedFormerGrantorAt = -Infinity;

  /** The former grantor may only have been slow, or cut off for a moment. */
  async function retrySealFormer(former: AgentId): Promise<void> {
    const now = monotonicNow();
    if (now - askedFormerGrantorAt < earlierGrantorCheckMilliseconds) return;
    askedFormerGrantorAt = now;
    const sealed = await takeover.sealFormer();
    if (stopped || !sealed.stopped || stoppedGrantors.includes(former)) return;
    stoppedGrantors = [...stoppedGrantors, former];
    const { handover } = sealed;
    events.record("earlier-grantor-sealed", {
      group,
      epoch: state.epoch,
      former,
      handedOver: handover !== null,
    });
    if (handover === null) return;
    send({ kind: "handover", handover, now: readClocks() });
  }

  /** An earlier grantor may be proved ended only after this one has begun. */
  function checkEarlierGrantors(): void {
    if (!waitsForEarlier) return;
    if (state.unheard.size > 0) {
      void checkStore();
      if (takeover.former !== undefined) void retrySealFormer(takeover.former);
    }
    if (waitsForEarlierGrantors()) return;
    waitsForEarlier = false;
    events.record("earlier-grantors-ended", { group, epoch: state.epoch });
    send({ kind: "earlierEnded", now: readClocks() });
  }

  const checkUnresponsive = startUnresponsiveCheck({
    ...options,
    grantor: { group, epoch: state.epoch },
    callTimeoutMilliseconds: options.times.callTimeoutMilliseconds,
    stopped: () => stopped,
    onProved: (ids) => void send({ kind: "departed", ids }),
  });

  function unresponsive(): readonly RosterEntry[] {
    return state.roster.filter(({ id }) => state.unheard.has(id));
  }

  const ticker = startTicker(() => {
    if (delegationEnded(state, readClocks())) return halt("delegation ended");
    checkEarlierGrantors();
    if (state.unheard.size > 0) checkUnresponsive(unresponsive());
    send({ kind: "tick", now: readClocks() });
  }, { intervalMilliseconds: options.times.tickMilliseconds });

  return {
    group,
    epoch: state.epoch,
    renew(renewal) {
      stopIfSuperseded(renewal.epoch);
      if (stopped) return null;
      return send({ kind: "renewal", renewal, now: readClocks() });
    },
    stopIfSuperseded,
    async seal(epoch) {
      stopIfSuperseded(epoch);
      await writing;
    },
    handover: () => stopped ? handoverOf(state, monotonicNow()) : null,
    table: () => tableOf(state),
    stopped: () => stopped,
    allResponded: () => state.unheard.size === 0,
    async stop() {
      finished = true;
      halt("stopped");
      await writing;
    },
  };
}

type AnswerCallback = (value: RenewalAnswer | null) => void;
