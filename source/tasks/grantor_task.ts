/**
 * The task that grants the slices of one group, from the claim of its epoch in
 * the store until it stops or is superseded.
 *
 * @module
 */
import type { Address, AgentId } from "../core/agent.ts";
import type { Clocks } from "../core/clocks.ts";
import { handoverOf } from "../core/ownership/handover.ts";
import type { Handover } from "../core/ownership/handover_message.ts";
import {
  type Delegation,
  mergeRosters,
  type RosterEntry,
} from "../core/ownership/delegation.ts";
import { delegationEnded, stepGrantor } from "../core/ownership/grantor.ts";
import { tableOf } from "../core/ownership/grantor_table.ts";
import type {
  GrantorEffect,
  GrantorEvent,
} from "../core/ownership/grantor_state.ts";
import type { Renewal, RenewalAnswer } from "../core/ownership/renewal.ts";
import { createGrantor } from "../core/ownership/takeover.ts";
import type { OwnershipTable } from "../core/ownership/table.ts";
import type { Versioned } from "../ports/store.ts";
import { openDelegationRecord } from "./delegation_record.ts";
import {
  type EarlierGrantors,
  startEarlierGrantorCheck,
} from "./earlier_grantors.ts";
import {
  announceEpoch,
  claimEpoch,
  findUnendedGrantors,
  type GrantorOptions,
  isFormerOutdated,
  sealFormerGrantor,
  type SealResult,
  unlistedServersUntil,
} from "./epoch_claim.ts";
import { recordGrantorEffect } from "./grantor_events.ts";
import { openMailbox } from "./mailbox.ts";
import { removeStoppedGrantor } from "./stopped_grantor.ts";
import { monotonicNow, readClocks, startTicker } from "./time.ts";
import { startUnresponsiveCheck } from "./unresponsive_agents.ts";

/** The running grantor of one group and epoch. */
export interface GrantorTask {
  readonly group: string;
  readonly epoch: number;
  /** The era of the store in which the epoch was claimed. */
  readonly era: number;
  /** All servers that may have grants of this grantor. */
  roster(): readonly RosterEntry[];
  /** Null once the grantor has stopped. */
  renew(renewal: Renewal): RenewalAnswer | null;
  /** Stops this grantor if `epoch` is later than its own. */
  stopIfSuperseded(epoch: number): void;
  /** Does the same; resolves once it has definitely stopped, writes included. */
  seal(epoch: number): Promise<void>;
  /** State for the successor; null while this grantor still grants. */
  handover(): Handover | null;
  table(): OwnershipTable;
  stopped(): boolean;
  /** Whether every server that may hold slices has responded. */
  allResponded(): boolean;
  /** Stops granting for good; resolves once no write is pending. */
  stop(): Promise<void>;
}

/**
 * Claims the next epoch of a group and asks its servers what they hold.
 * Resolves to null when the store can't be written or another grantor has
 * claimed the epoch first.
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
  // A grantor that has just failed to answer is asked again by the running
  // task.
  const unasked: SealResult = { stopped: false, handover: null };
  const [former, answers] = await Promise.all([
    options.formerReachable ? sealFormerGrantor(options, claim) : unasked,
    announceEpoch(options, claim),
  ]);
  const sealed = former.stopped ? claim.former?.grantor : undefined;
  const earlierStopped =
    findUnendedGrantors(options, claim, sealed).length === 0;
  // Later grantors, which the store has lost, may have granted since.
  const handover = isFormerOutdated(claim) ? null : former.handover;
  const unlistedUntil = unlistedServersUntil(options, claim);
  const state = createGrantor({
    group: options.group,
    epoch: claim.stored.value.epoch,
    settings: {
      ...options.settings,
      hashedSlices: claim.stored.value.hashedSlices,
    },
    roster: claim.stored.value.roster,
    answers,
    earlierStopped,
    hasEarlierGrantor: claim.former !== null,
    formerDelegationMilliseconds: claim.former?.durationMilliseconds ?? 0,
    askedAt: claim.askedAt,
    isolatedKeys: claim.stored.value.isolatedKeys,
    handover: handover ?? undefined,
    unlistedUntil,
    now: readClocks(),
  });
  options.events.record("grantor-begun", {
    group: options.group,
    epoch: state.epoch,
    answered: answers.length,
    asked: state.roster.length,
    earlierStopped,
    handedOver: handover !== null,
    unlistedServers: unlistedUntil !== null,
    unheard: state.slices.filter((slice) => slice.kind === "reserved").length,
  });
  return runGrantor(options, {
    state,
    stored: claim.stored,
    earlier: {
      unended: () => findUnendedGrantors(options, claim, sealed),
      former: former.stopped ? undefined : claim.former?.grantor,
      sealFormer: async () => {
        const sealed = await sealFormerGrantor(options, claim);
        return isFormerOutdated(claim) ? { ...sealed, handover: null } : sealed;
      },
    },
    stopped: sealed === undefined
      ? [options.agent.id]
      : [options.agent.id, sealed],
  });
}

function runGrantor(
  options: GrantorOptions,
  takeover: {
    readonly state: ReturnType<typeof createGrantor>;
    readonly stored: Versioned<Delegation>;
    readonly earlier: EarlierGrantors;
    /** Earlier grantors that had stopped before the task started. */
    readonly stopped: readonly AgentId[];
  },
): GrantorTask {
  const { events, group } = options;
  let { state } = takeover;
  let stopped = false;
  /** Whether the task was stopped; it then no longer writes to the store. */
  let finished = false;
  let writing: Promise<void> = Promise.resolve();
  const isWriting = () => state.unconfirmed !== null;
  const record = openDelegationRecord({
    ...options,
    stored: takeover.stored,
    stoppedGrantors: takeover.stopped,
    stopped: () => stopped,
    ended: () => delegationEnded(state, readClocks()),
    isWriting,
    mayHaveUnlistedServers,
    onFound: stopIfSuperseded,
    onConfirmed: confirmWrite,
  });

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
        writing = record.write(effect.checkpoint);
        return;
      case "nudge":
        return nudge(effect.peerAddresses);
      default:
        return recordGrantorEffect(effect, {
          group,
          epoch: state.epoch,
          events,
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

  function mayHaveUnlistedServers(): boolean {
    return state.unlistedUntil !== null && monotonicNow() < state.unlistedUntil;
  }

  function confirmWrite(askedAt: Clocks): void {
    events.record("checkpoint-written", {
      group,
      epoch: state.epoch,
      roster: record.current().roster.length,
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
      // A successor that learns of the stop directly records it in its next
      // write.
      delayMilliseconds: options.times.storeRetryMilliseconds,
      retryMilliseconds: options.times.storeRetryMilliseconds,
      timeoutMilliseconds: state.settings.delegationMilliseconds,
      isCancelled: () => finished,
    });
  }

  const checkEarlierGrantors = startEarlierGrantorCheck({
    earlier: takeover.earlier,
    record,
    group,
    epoch: state.epoch,
    events,
    stopped: () => stopped,
    hasUnresponsive: () => state.unresponsive.size > 0,
    isWriting,
    onHandover: (handover) =>
      void send({ kind: "handover", handover, now: readClocks() }),
    onEnded: () => void send({ kind: "earlierEnded", now: readClocks() }),
  });

  const checkUnresponsive = startUnresponsiveCheck({
    ...options,
    claim: {
      group,
      epoch: state.epoch,
      grantorAddress: options.agent.peerAddress,
    },
    callTimeoutMilliseconds: options.times.callTimeoutMilliseconds,
    stopped: () => stopped,
    onProvedEmpty: (ids) => void send({ kind: "departed", ids }),
  });

  function dropDepartedHolders(): void {
    const ids = [...state.holders.keys()].filter(options.isToldDeparted);
    if (ids.length > 0) send({ kind: "departed", ids });
  }

  function unresponsive(): readonly RosterEntry[] {
    return state.roster.filter(({ id }) => state.unresponsive.has(id));
  }

  const ticker = startTicker(() => {
    if (delegationEnded(state, readClocks())) return halt("delegation ended");
    checkEarlierGrantors();
    if (state.unresponsive.size > 0) checkUnresponsive(unresponsive());
    dropDepartedHolders();
    send({
      kind: "tick",
      now: readClocks(),
      runningServers: options.runningServers(group),
    });
  }, { intervalMilliseconds: options.times.tickMilliseconds });

  return {
    group,
    epoch: state.epoch,
    era: record.era,
    roster: () => mergeRosters(state.roster, state.unconfirmed?.roster ?? []),
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
    allResponded: () =>
      state.unresponsive.size === 0 && !mayHaveUnlistedServers(),
    async stop() {
      finished = true;
      halt("stopped");
      await writing;
    },
  };
}

/** Passes the answer to a renewal back; null refuses the renewal. */
type AnswerCallback = (value: RenewalAnswer | null) => void;
