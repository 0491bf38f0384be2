/**
 * The task that grants the slices of one group, from the claim of its epoch
 * in the store until it stops or is replaced.
 *
 * @module
 */
import type { Address, Agent, AgentId } from "../core/agent.ts";
import type { Clocks } from "../core/clocks.ts";
import { type Handover, handoverOf } from "../core/ownership/handover.ts";
import {
  type Checkpoint,
  type Delegation,
  earlierGrantorsOf,
  type RosterEntry,
  successorDelegation,
} from "../core/ownership/delegation.ts";
import { delegationEnded, stepGrantor } from "../core/ownership/grantor.ts";
import { tableOf } from "../core/ownership/grantor_table.ts";
import type {
  GrantorEffect,
  GrantorEvent,
  GrantorSettings,
} from "../core/ownership/grantor_state.ts";
import type {
  Renewal,
  RenewalAnswer,
  TakeoverAnswer,
} from "../core/ownership/renewal.ts";
import { beginGrantor } from "../core/ownership/takeover.ts";
import type { OwnershipTable } from "../core/ownership/table.ts";
import { formatToken } from "../core/ownership/token.ts";
import type { Events } from "../ports/events.ts";
import type { Peers } from "../ports/peers.ts";
import type { Repository, Versioned } from "../ports/store.ts";
import { openMailbox } from "./mailbox.ts";
import { tellStopped } from "./replaced_grantor.ts";
import { monotonicNow, pause, readClocks, startTicker } from "./time.ts";
import { lookForProof } from "./unheard_agents.ts";

/** Durations of granting. */
export interface GrantorTimes {
  readonly tickMilliseconds: number;
  readonly callTimeoutMilliseconds: number;
  readonly storeRetryMilliseconds: number;
}

/** A running grantor. */
export interface GrantorTask {
  readonly group: string;
  readonly epoch: number;
  /** Null once the grantor has stopped. */
  renew(renewal: Renewal): RenewalAnswer | null;
  /** A later epoch is known: this grantor stops if its own is earlier. */
  noteEpoch(epoch: number): void;
  /** What the grantor leaves to its successor; null while it grants. */
  handover(): Handover | null;
  table(): OwnershipTable;
  stopped(): boolean;
  /** Whether it has heard from every server that may hold slices. */
  heardAll(): boolean;
  /** Grants nothing more, for good. */
  stop(): Promise<void>;
}

/** What a grantor needs from outside. */
export interface GrantorOptions {
  readonly agent: Agent;
  readonly group: string;
  readonly settings: GrantorSettings;
  readonly times: GrantorTimes;
  readonly delegations: Repository<Delegation>;
  readonly peers: Peers;
  readonly events: Events;
  /** A mark that no other write has. */
  readonly newMark: () => string;
  /** The delegation that the new grantor follows, as the store had it. */
  readonly former: Versioned<Delegation> | null;
  /** False when its grantor did not answer a moment ago. */
  readonly formerReachable: boolean;
  /** What a grantor of this agent that had this epoch left behind. */
  readonly ownHandover: (epoch: number) => Handover | null;
  /** Whether this agent's process is known to have ended. */
  readonly hasEnded: (id: AgentId) => boolean;
  /** Whether it is known to have stopped as planned, with nothing held. */
  readonly hasDeparted: (id: AgentId) => boolean;
  /** Hears of the epoch once the store has it, before anybody is asked. */
  readonly onClaimed: (epoch: number) => void;
}

/** A successor looks so often whether earlier grantors have stopped. */
const lookMilliseconds = 1_000;

interface Claim {
  readonly stored: Versioned<Delegation>;
  readonly askedAt: Clocks;
  readonly former: Delegation | null;
}

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
  const [former, answers] = await Promise.all([
    sealFormer(options, claim),
    askRoster(options, claim),
  ]);
  const sealed = former.stopped ? claim.former?.grantor : undefined;
  const earlierStopped = earlierUnended(options, claim, sealed).length === 0;
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
    earlier: () => earlierUnended(options, claim, sealed),
  });
}

/** Earlier grantors that have neither ended nor stopped when asked to. */
function earlierUnended(
  options: GrantorOptions,
  claim: Claim,
  sealed: AgentId | undefined,
): readonly AgentId[] {
  if (claim.former === null) return [];
  return earlierGrantorsOf(claim.former).filter((id) =>
    id !== sealed && !options.hasEnded(id)
  );
}

async function claimEpoch(options: GrantorOptions): Promise<Claim | null> {
  const { delegations, group, agent, settings } = options;
  const { former } = options;
  const value = successorDelegation(former?.value ?? null, {
    group,
    grantor: agent.id,
    grantorAddress: agent.peerAddress,
    durationMilliseconds: settings.delegationMilliseconds,
    hashedSlices: settings.hashedSlices,
    writerMark: options.newMark(),
  });
  const askedAt = readClocks();
  const version = former?.version ?? null;
  const written = await delegations.write(group, value, { version });
  const stored = written.isOk
    ? { value, version: written.value }
    : await findOwnWrite(options, value.writerMark);
  if (stored === null) return null;
  return { stored, askedAt, former: former?.value ?? null };
}

/** Settles a write whose reply was lost: the mark says whether it took place. */
async function findOwnWrite(
  options: GrantorOptions,
  mark: string,
): Promise<Versioned<Delegation> | null> {
  const read = await options.delegations.read(options.group);
  if (read.isErr || read.value === null) return null;
  return read.value.value.writerMark === mark ? read.value : null;
}

/** What became of the former grantor. */
interface FormerGrantor {
  /** Whether it has surely stopped granting. */
  readonly stopped: boolean;
  /** Null where it could not tell what it leaves. */
  readonly handover: Handover | null;
}

async function sealFormer(
  options: GrantorOptions,
  claim: Claim,
): Promise<FormerGrantor> {
  const { former } = claim;
  if (former === null) return { stopped: true, handover: null };
  if (former.grantor === options.agent.id) {
    return { stopped: true, handover: options.ownHandover(former.epoch) };
  }
  if (!options.formerReachable) return { stopped: false, handover: null };
  const { peers, group, times } = options;
  const timeoutMilliseconds = times.callTimeoutMilliseconds;
  const sealed = await peers.call(former.grantorAddress, "sealGrantor", {
    message: {
      group,
      epoch: claim.stored.value.epoch,
      grantorAddress: options.agent.peerAddress,
      grantor: former.grantor,
    },
    timeoutMilliseconds,
  });
  if (sealed.isErr || !sealed.value) return { stopped: false, handover: null };
  const told = await peers.call(former.grantorAddress, "handover", {
    message: { group, epoch: former.epoch },
    timeoutMilliseconds,
  });
  return { stopped: true, handover: told.isOk ? told.value : null };
}

async function askRoster(
  options: GrantorOptions,
  claim: Claim,
): Promise<readonly TakeoverAnswer[]> {
  const { epoch, roster } = claim.stored.value;
  const answers = await Promise.all(roster.map(async (entry) => {
    const result = await options.peers.call(entry.peerAddress, "takeEpoch", {
      message: {
        group: options.group,
        epoch,
        grantorAddress: options.agent.peerAddress,
      },
      timeoutMilliseconds: options.times.callTimeoutMilliseconds,
    });
    if (result.isErr || result.value === null) return [];
    return result.value.id === entry.id ? [result.value] : [];
  }));
  return answers.flat();
}

function runGrantor(
  options: GrantorOptions,
  begun: {
    readonly state: ReturnType<typeof beginGrantor>;
    readonly stored: Versioned<Delegation>;
    readonly earlier: () => readonly AgentId[];
  },
): GrantorTask {
  const { events, group } = options;
  let { state, stored } = begun;
  let stopped = false;
  /** Whether this task does nothing more at all. */
  let over = false;
  /** Earlier grantors that have told the store that they stopped. */
  let toldStopped: readonly AgentId[] = [];
  let writing: Promise<void> = Promise.resolve();

  const mailbox = openMailbox<
    { readonly event: GrantorEvent; readonly answer: Answer }
  >(({ event, answer }) => {
    const next = stepGrantor(state, event);
    state = next.state;
    for (const effect of next.effects) perform(effect, answer);
  });

  function perform(effect: GrantorEffect, answer: Answer): void {
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
        !toldStopped.includes(id)
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
        return confirmed(askedAt);
      }
      const found = await options.delegations.read(group);
      if (found.isOk && found.value !== null) {
        if (found.value.value.writerMark === value.writerMark) {
          stored = found.value;
          return confirmed(firstAskedAt);
        }
        if (!noteStored(found.value)) return;
      }
      await pause(options.times.storeRetryMilliseconds);
    }
  }

  /** Takes in what others wrote; false when this grantor was replaced. */
  function noteStored(found: Versioned<Delegation>): boolean {
    noteEpoch(found.value.epoch);
    if (stopped) return false;
    const still = new Set(found.value.earlierGrantors);
    const gone = stored.value.earlierGrantors.filter((id) => !still.has(id));
    toldStopped = [...toldStopped, ...gone];
    stored = found;
    return true;
  }

  function confirmed(askedAt: Clocks): void {
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

  function noteEpoch(epoch: number): void {
    if (stopped || epoch <= state.epoch) return;
    halt("replaced");
    void tellStopped({
      ...options,
      grantor: options.agent.id,
      retryMilliseconds: options.times.storeRetryMilliseconds,
      timeoutMilliseconds: state.settings.delegationMilliseconds,
      isOver: () => over,
    });
  }

  function waitsForEarlierGrantors(): boolean {
    return begun.earlier().some((id) => !toldStopped.includes(id));
  }

  let waitsForEarlier = waitsForEarlierGrantors();
  let lookedAt = monotonicNow();

  /** Out of each other's reach, grantors hear of each other by the store. */
  async function lookAtStore(): Promise<void> {
    const now = monotonicNow();
    if (now - lookedAt < lookMilliseconds || state.writing !== null) return;
    lookedAt = now;
    const found = await options.delegations.read(group);
    // A write that has begun meanwhile reads for itself if it must.
    if (stopped || state.writing !== null || found.isErr) return;
    if (found.value !== null) noteStored(found.value);
  }

  /** An earlier grantor may be proved ended only after this one has begun. */
  function noteEarlierEnded(): void {
    if (!waitsForEarlier) return;
    if (state.unheard.size > 0) void lookAtStore();
    if (waitsForEarlierGrantors()) return;
    waitsForEarlier = false;
    events.record("earlier-grantors-ended", { group, epoch: state.epoch });
    send({ kind: "earlierEnded", now: readClocks() });
  }

  const look = lookForProof({
    ...options,
    grantor: { group, epoch: state.epoch },
    callTimeoutMilliseconds: options.times.callTimeoutMilliseconds,
    stopped: () => stopped,
    onProved: (ids) => void send({ kind: "departed", ids }),
  });

  function unheard(): readonly RosterEntry[] {
    return state.roster.filter(({ id }) => state.unheard.has(id));
  }

  const ticker = startTicker(() => {
    if (delegationEnded(state, readClocks())) return halt("delegation ended");
    noteEarlierEnded();
    if (state.unheard.size > 0) look(unheard());
    send({ kind: "tick", now: readClocks() });
  }, { intervalMilliseconds: options.times.tickMilliseconds });

  return {
    group,
    epoch: state.epoch,
    renew(renewal) {
      noteEpoch(renewal.epoch);
      if (stopped) return null;
      return send({ kind: "renewal", renewal, now: readClocks() });
    },
    noteEpoch,
    handover: () => stopped ? handoverOf(state, monotonicNow()) : null,
    table: () => tableOf(state),
    stopped: () => stopped,
    heardAll: () => state.unheard.size === 0,
    async stop() {
      over = true;
      halt("stopped");
      await writing;
    },
  };
}

type Answer = (value: RenewalAnswer | null) => void;
