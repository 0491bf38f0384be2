/**
 * Manages all grantors of one agent: locates the grantor of a group for holders
 * that have lost it, and takes the group over when there is none.
 *
 * @module
 */
import { type Agent, type AgentId, hostOfAgent } from "../core/agent.ts";
import { isRenewedInTime } from "../core/ownership/checkpoint.ts";
import type { Delegation } from "../core/ownership/delegation.ts";
import type { GrantorSettings } from "../core/ownership/grantor_state.ts";
import type { Handover } from "../core/ownership/handover_message.ts";
import type { Renewal, RenewalAnswer } from "../core/ownership/renewal.ts";
import type { OwnershipTable } from "../core/ownership/table.ts";
import type {
  EpochClaim,
  GrantorLocation,
  LocateRequest,
} from "../ports/peers.ts";
import type { Store, Versioned } from "../ports/store.ts";
import {
  pollRoster,
  type RosterPollResult,
  rosterPollTimeoutCalls,
} from "./roster_poll_task.ts";
import type { GrantorOptions } from "./epoch_claim.ts";
import { type GrantorTask, startGrantor } from "./grantor_task.ts";
import { createGroupTransfer } from "./group_transfer.ts";
import {
  createGroupRecovery,
  type GrantorStatus,
  type GroupKnowledge,
  mayBeLost,
} from "./group_recovery.ts";
import { monotonicNow, pause } from "./time.ts";

/** The grantors that run in one agent. */
export interface GrantorsTask {
  /**
   * Waits while a takeover is in progress; null when this agent does not grant.
   */
  renew(renewal: Renewal): Promise<RenewalAnswer | null>;
  /** Locates the grantor, with the effort that the request states. */
  locate(question: LocateRequest): Promise<GrantorLocation | null>;
  /** Stops the named grantor; false if it isn't one of this host. */
  seal(claim: EpochClaim & { readonly grantor: AgentId }): Promise<boolean>;
  /** State of this agent's stopped grantor of the epoch; null for none. */
  handover(question: {
    readonly group: string;
    readonly epoch: number;
  }): Handover | null;
  /** Null when this agent does not grant in the group. */
  table(group: string): OwnershipTable | null;
  /**
   * Claims each group in which this agent grants again: the store has gone back
   * to an older copy.
   */
  handleEraChange(): void;
  /** The groups in which this agent grants. */
  groups(): readonly string[];
  /** Passes a group to another agent, once all its servers have responded. */
  relocate(group: string): Promise<void>;
  /**
   * Passes each group to another agent. Grants until then, but no longer than
   * the timeout while the store can't be read.
   */
  handOver(options: { readonly timeoutMilliseconds: number }): Promise<void>;
  stop(): Promise<void>;
}

/**
 * A takeover in progress: the epoch is claimed, the grantor not yet running.
 */
interface PendingGrantor {
  readonly epoch: number;
  /** Resolves at the end of the takeover, whether or not it succeeded. */
  readonly settled: Promise<void>;
}

/** A version of a delegation and when this agent first read it. */
interface SeenVersion {
  /** With its era. */
  readonly version: string;
  /** On the monotonic clock. */
  readonly since: number;
}

/** A reachable grantor has usually answered after this time. */
const typicalAnswerMilliseconds = 100;

type ReadDelegation = ReturnType<Store["delegations"]["read"]>;

/** A search for a group's grantor that may end with a takeover. */
interface Search {
  readonly read: ReadDelegation;
  readonly found: Promise<GrantorLocation | null>;
}

/** Starts without any grantor. */
export function startGrantors(
  options:
    & Omit<
      GrantorOptions,
      | "group"
      | "settings"
      | "former"
      | "formerReachable"
      | "lost"
      | "ownHandover"
      | "onClaimed"
    >
    & {
      readonly agent: Agent;
      /** Null while the group's service is in no configuration. */
      readonly settingsOf: (group: string) => GrantorSettings | null;
      /** Agents that could grant in a group, the best first. */
      readonly successors: (group: string) => readonly string[];
    }
    & GroupKnowledge,
): GrantorsTask {
  const { agent, delegations, peers, times } = options;
  const grantors = new Map<string, GrantorTask>();
  /**
   * By group, the highest epoch for which this agent was asked to stop
   * granting.
   */
  const sealed = new Map<string, number>();
  const searches = new Map<string, Search>();
  /** Takeovers in progress, by group. */
  const pendingGrantors = new Map<string, PendingGrantor>();
  const seenVersions = new Map<string, SeenVersion>();
  let closing = false;

  function running(group: string): GrantorTask | null {
    const grantor = grantors.get(group);
    return grantor === undefined || grantor.stopped() ? null : grantor;
  }

  /**
   * Includes a takeover in progress, so that others do not take over from it.
   */
  function localGrantor(group: string): GrantorLocation | null {
    const epoch = pendingGrantors.get(group)?.epoch ?? running(group)?.epoch;
    return epoch === undefined ? null : { address: agent.peerAddress, epoch };
  }

  /**
   * Runs one search at a time for each group; concurrent callers share it. They
   * needn't wait while this agent may be without the store: another may have
   * it. If it is only slow, they find what the search has led to later.
   */
  async function search(
    question: LocateRequest,
  ): Promise<GrantorLocation | null> {
    const { group } = question;
    const { read, found } = searches.get(group) ?? startSearch(question);
    const answered = await Promise.race([
      read.then(() => true),
      pause(times.callTimeoutMilliseconds).then(() => false),
    ]);
    return answered ? await found : null;
  }

  function startSearch(question: LocateRequest): Search {
    const { group } = question;
    const read = delegations.read(group);
    const found = findOrTakeOver(question, read)
      .finally(() => searches.delete(group));
    const started = { read, found };
    searches.set(group, started);
    return started;
  }

  async function findOrTakeOver(
    question: LocateRequest,
    reading: ReadDelegation,
  ): Promise<GrantorLocation | null> {
    const read = await reading;
    if (read.isErr) return null;
    const former = read.value;
    const missing = former === null
      ? await classifyMissingRecord(question.group)
      : null;
    if (missing === "unknown") return null;
    if (missing === "lost" || mayBeLost(former, options.storeEra())) {
      return await recovery.takeOverIfUnheard(question.group, former);
    }
    if (former === null || former.value.grantor === agent.id) {
      return await takeOver(question.group, { former, formerReachable: true });
    }
    return await takeOverIfLost(former);
  }

  async function classifyMissingRecord(group: string) {
    const settings = options.settingsOf(group);
    if (settings === null) return null;
    const missing = await recovery.classifyMissingRecord(group, settings);
    if (missing === "unknown") {
      const reason = "no-other-agent";
      options.events.record("takeover-declined", { group, epoch: 0, reason });
    }
    return missing;
  }

  async function takeOverIfLost(
    former: Versioned<Delegation>,
  ): Promise<GrantorLocation | null> {
    const { group, epoch, grantorAddress } = former.value;
    const location = { address: grantorAddress, epoch };
    const asked = askGrantor(group, location);
    const poll = pollUnlessAnswered(asked, former);
    const state = await asked;
    if (state === "grants") return location;
    const formerReachable = state === "stopped";
    if (!formerReachable && !await mayTakeOver(former.value, poll)) {
      return null;
    }
    return await takeOver(group, { former, formerReachable });
  }

  /**
   * Polls the group's servers unless their grantor answers in the typical time.
   */
  async function pollUnlessAnswered(
    answered: Promise<GrantorStatus>,
    former: Versioned<Delegation>,
  ): Promise<RosterPollResult | null> {
    const renewed = mayHaveRenewed(former);
    const state = await Promise.race([
      answered,
      pause(typicalAnswerMilliseconds),
    ]);
    if (state === "grants" || state === "stopped") return null;
    return await pollRoster(former.value, {
      peers,
      timeoutMilliseconds: times.callTimeoutMilliseconds *
        rosterPollTimeoutCalls,
      renewed,
    });
  }

  /** Whether a grantor that does not answer here is lost to its servers too. */
  async function mayTakeOver(
    { group, epoch, grantor }: Delegation,
    pendingPoll: Promise<RosterPollResult | null>,
  ): Promise<boolean> {
    if (options.hasEnded(grantor) || options.hasDeparted(grantor)) return true;
    const poll = await pendingPoll;
    if (poll === null || poll.verdict === "may-claim") return true;
    recordDeclined({ group, epoch }, poll);
    return false;
  }

  function recordDeclined(
    { group, epoch }: Pick<Delegation, "group" | "epoch">,
    poll: RosterPollResult,
  ): void {
    const answers = poll.replies.filter((reply) => reply.kind === "answered");
    options.events.record("takeover-declined", {
      group,
      epoch,
      reason: poll.verdict,
      asked: poll.replies.length,
      answered: answers.length,
      hearing: answers.filter(({ hears }) => hears).length,
    });
  }

  /** Whether the grantor may have renewed its delegation in time. */
  function mayHaveRenewed(found: Versioned<Delegation>): boolean {
    const { value, era = 0 } = found;
    const version = `${era}/${found.version}`;
    const now = monotonicNow();
    const former = seenVersions.get(value.group);
    const since = former?.version === version ? former.since : now;
    seenVersions.set(value.group, { version, since });
    return isRenewedInTime(now - since, value.durationMilliseconds);
  }

  async function askGrantor(
    group: string,
    location: GrantorLocation,
  ): Promise<GrantorStatus> {
    const result = await peers.call(location.address, "locateGrantor", {
      message: { group, unreachable: null, effort: "own" },
      timeoutMilliseconds: times.callTimeoutMilliseconds,
    });
    if (result.isErr) return "unreachable";
    return result.value?.epoch === location.epoch ? "grants" : "stopped";
  }

  async function takeOver(
    group: string,
    claim:
      & Pick<GrantorOptions, "former" | "formerReachable">
      & Partial<Pick<GrantorOptions, "lost">>,
  ): Promise<GrantorLocation | null> {
    const settings = options.settingsOf(group);
    if (settings === null || closing) return null;
    // Stops its own former grantor, whose answers must not count for the new
    // epoch. One that claims again grants until it has the new epoch.
    const { lost = null } = claim;
    if (lost === null) void grantors.get(group)?.stop();
    let settle = () => {};
    const settled = new Promise<void>((resolve) => settle = resolve);
    try {
      const grantor = await startGrantor({
        ...options,
        ...claim,
        lost,
        group,
        settings,
        ownHandover: (epoch) => handoverOf(group, epoch),
        onClaimed(epoch) {
          pendingGrantors.set(group, { epoch, settled });
          void grantors.get(group)?.stop();
        },
      });
      if (!await adoptGrantor(group, grantor)) return null;
    } finally {
      pendingGrantors.delete(group);
      settle();
    }
    return localGrantor(group);
  }

  /** Registers a new grantor, unless it was superseded during the takeover. */
  async function adoptGrantor(
    group: string,
    grantor: GrantorTask | null,
  ): Promise<boolean> {
    if (grantor === null) return false;
    if (closing || (sealed.get(group) ?? 0) > grantor.epoch) {
      await grantor.stop();
      return false;
    }
    // Registered before the former one stops, so that a seal request finds it.
    const former = grantors.get(group);
    grantors.set(group, grantor);
    await former?.stop();
    // The era may have changed during the takeover.
    void recovery.restore(group);
    return true;
  }

  async function sealGroup(group: string, epoch: number): Promise<void> {
    sealed.set(group, Math.max(sealed.get(group) ?? 0, epoch));
    const grantor = grantors.get(group);
    if (grantor === undefined || grantor.epoch >= epoch) return;
    await grantor.seal(epoch);
  }

  /** A stopped grantor is kept for its handover state. */
  function handoverOf(group: string, epoch: number): Handover | null {
    const grantor = grantors.get(group);
    return grantor?.epoch === epoch ? grantor.handover() : null;
  }

  const recovery = createGroupRecovery({
    ...options,
    running: (group) => closing ? null : running(group),
    mayHaveRenewed,
    askGrantor,
    recordDeclined,
    takeOver,
  });

  const transfer = createGroupTransfer({
    peers,
    times,
    successors: options.successors,
    localGrantor,
    isRunning: (group) => running(group) !== null,
    stopGrantor: async (group) => await grantors.get(group)?.stop(),
  });

  return {
    async renew(renewal) {
      await pendingGrantors.get(renewal.group)?.settled;
      return running(renewal.group)?.renew(renewal) ?? null;
    },
    async locate(question) {
      const epoch = question.unreachable?.epoch ?? 0;
      running(question.group)?.stopIfSuperseded(epoch);
      const own = localGrantor(question.group);
      if (own !== null || question.effort !== "take-over" || closing) {
        return own;
      }
      return await search(question);
    },
    async seal(claim) {
      // A grantor of an earlier process of this host has ended with its
      // process.
      if (hostOfAgent(claim.grantor) !== agent.host) return false;
      await sealGroup(claim.group, claim.epoch);
      return true;
    },
    handover: ({ group, epoch }) => handoverOf(group, epoch),
    handleEraChange() {
      for (const group of grantors.keys()) void recovery.restore(group);
    },
    table: (group) => running(group)?.table() ?? null,
    groups: () => [...grantors.keys()].filter((group) => running(group)),
    async relocate(group) {
      // A successor would have to wait anew for servers that are unresponsive.
      if (running(group)?.allResponded() !== true) return;
      await transfer.toBestSuccessor(group);
    },
    async handOver({ timeoutMilliseconds }) {
      closing = true;
      const end = monotonicNow() + timeoutMilliseconds;
      const groups = [...grantors.keys()];
      await Promise.all(groups.map((group) => transfer.beforeStop(group, end)));
    },
    async stop() {
      closing = true;
      await Promise.all([...grantors.values()].map((task) => task.stop()));
    },
  };
}
