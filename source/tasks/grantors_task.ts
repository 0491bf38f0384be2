/**
 * All grantors of one agent: finds a group's grantor for a holder that has
 * lost it, and becomes that grantor when there is none.
 *
 * @module
 */
import { type Agent, type AgentId, hostOfAgent } from "../core/agent.ts";
import type { GrantorSettings } from "../core/ownership/grantor_state.ts";
import type { Handover } from "../core/ownership/handover.ts";
import type { Renewal, RenewalAnswer } from "../core/ownership/renewal.ts";
import type { OwnershipTable } from "../core/ownership/table.ts";
import type {
  EpochClaim,
  GrantorLocation,
  LocateQuestion,
} from "../ports/peers.ts";
import {
  type GrantorOptions,
  type GrantorTask,
  startGrantor,
} from "./grantor_task.ts";
import { monotonicNow, pause } from "./time.ts";

/** The grantors that run in one agent. */
export interface GrantorsTask {
  /** Null when this agent does not grant; waits while it begins to. */
  renew(renewal: Renewal): Promise<RenewalAnswer | null>;
  locate(question: LocateQuestion): Promise<GrantorLocation | null>;
  seal(claim: EpochClaim & { readonly grantor: AgentId }): Promise<boolean>;
  /** What the grantor of this epoch left behind; null while it grants. */
  handover(question: {
    readonly group: string;
    readonly epoch: number;
  }): Handover | null;
  table(group: string): OwnershipTable | null;
  groups(): readonly string[];
  /** Lets a better placed agent take a group over, if there is one. */
  relocate(group: string): Promise<void>;
  /**
   * Lets another agent take each group over, and goes on granting until then
   * or until the time is over.
   */
  handOver(options: { readonly timeoutMilliseconds: number }): Promise<void>;
  stop(): Promise<void>;
}

/** A grantor between its claim and its first grant. */
interface Beginning {
  readonly epoch: number;
  readonly over: Promise<void>;
}

/** Starts without any group. */
export function startGrantors(
  options:
    & Omit<
      GrantorOptions,
      | "group"
      | "settings"
      | "former"
      | "formerReachable"
      | "ownHandover"
      | "onClaimed"
    >
    & {
      readonly agent: Agent;
      /** Null while the group's service is in no configuration. */
      readonly settingsOf: (group: string) => GrantorSettings | null;
      /** Agents that could grant in a group, the best first. */
      readonly successors: (group: string) => readonly string[];
    },
): GrantorsTask {
  const { agent, delegations, peers, times } = options;
  const grantors = new Map<string, GrantorTask>();
  /** The highest epoch that this process gave up, by group. */
  const sealed = new Map<string, number>();
  const searches = new Map<string, Promise<GrantorLocation | null>>();
  /** Grantors that have claimed an epoch, and are asking who holds what. */
  const beginnings = new Map<string, Beginning>();
  let closing = false;

  function running(group: string): GrantorTask | null {
    const grantor = grantors.get(group);
    return grantor === undefined || grantor.stopped() ? null : grantor;
  }

  /** One that begins counts: who took it for none would take over from it. */
  function here(group: string): GrantorLocation | null {
    const epoch = beginnings.get(group)?.epoch ?? running(group)?.epoch;
    return epoch === undefined ? null : { address: agent.peerAddress, epoch };
  }

  /** One search at a time for a group; all who ask share its answer. */
  function search(question: LocateQuestion): Promise<GrantorLocation | null> {
    const { group } = question;
    const current = searches.get(group) ??
      findOrTakeOver(question).finally(() => searches.delete(group));
    searches.set(group, current);
    return current;
  }

  async function findOrTakeOver(
    question: LocateQuestion,
  ): Promise<GrantorLocation | null> {
    const read = await delegations.read(question.group);
    if (read.isErr) return null;
    const former = read.value;
    const stored = former?.value ?? null;
    if (stored !== null && stored.grantor !== agent.id) {
      const location = { address: stored.grantorAddress, epoch: stored.epoch };
      const state = await askGrantor(question.group, location);
      if (state === "grants") return location;
      return await takeOver(question.group, {
        former,
        formerReachable: state === "stopped",
      });
    }
    return await takeOver(question.group, { former, formerReachable: true });
  }

  async function askGrantor(
    group: string,
    location: GrantorLocation,
  ): Promise<"grants" | "stopped" | "unreachable"> {
    const result = await peers.call(location.address, "locateGrantor", {
      message: { group, unreachable: null, effort: "own" },
      timeoutMilliseconds: times.callTimeoutMilliseconds,
    });
    if (result.isErr) return "unreachable";
    return result.value?.epoch === location.epoch ? "grants" : "stopped";
  }

  async function takeOver(
    group: string,
    claim: Pick<GrantorOptions, "former" | "formerReachable">,
  ): Promise<GrantorLocation | null> {
    const settings = options.settingsOf(group);
    if (settings === null || closing) return null;
    let settle = () => {};
    const over = new Promise<void>((resolve) => settle = resolve);
    try {
      const grantor = await startGrantor({
        ...options,
        ...claim,
        group,
        settings,
        ownHandover: (epoch) => leftBehind(group, epoch),
        onClaimed: (epoch) => beginnings.set(group, { epoch, over }),
      });
      if (!await keepBegun(group, grantor)) return null;
    } finally {
      beginnings.delete(group);
      settle();
    }
    return here(group);
  }

  /** A grantor that was replaced while it began never grants. */
  async function keepBegun(
    group: string,
    grantor: GrantorTask | null,
  ): Promise<boolean> {
    if (grantor === null) return false;
    if (closing || (sealed.get(group) ?? 0) > grantor.epoch) {
      await grantor.stop();
      return false;
    }
    await grantors.get(group)?.stop();
    grantors.set(group, grantor);
    return true;
  }

  async function giveUp(group: string, epoch: number): Promise<void> {
    sealed.set(group, Math.max(sealed.get(group) ?? 0, epoch));
    const grantor = grantors.get(group);
    if (grantor === undefined || grantor.epoch >= epoch) return;
    await grantor.stop();
  }

  /** A grantor that has stopped is kept for what it knows. */
  function leftBehind(group: string, epoch: number): Handover | null {
    const grantor = grantors.get(group);
    return grantor?.epoch === epoch ? grantor.handover() : null;
  }

  /**
   * Stops granting in a group, and asks others in turn to take it over. Only
   * while the store answers: nobody could take it over without.
   */
  async function passOn(group: string): Promise<boolean> {
    const read = await delegations.read(group);
    if (read.isErr) return false;
    const unreachable = here(group);
    await grantors.get(group)?.stop();
    for (const address of options.successors(group).slice(0, 3)) {
      const result = await peers.call(address, "locateGrantor", {
        message: { group, unreachable, effort: "take-over" },
        timeoutMilliseconds: times.callTimeoutMilliseconds * 3,
      });
      if (result.isOk && result.value !== null) return true;
    }
    return true;
  }

  async function passOnUntil(group: string, end: number): Promise<void> {
    while (running(group) !== null && !(await passOn(group))) {
      if (monotonicNow() >= end) return;
      await pause(times.storeRetryMilliseconds);
    }
  }

  return {
    async renew(renewal) {
      await beginnings.get(renewal.group)?.over;
      return running(renewal.group)?.renew(renewal) ?? null;
    },
    async locate(question) {
      const own = here(question.group);
      if (own !== null || question.effort !== "take-over" || closing) {
        return own;
      }
      return await search(question);
    },
    async seal(claim) {
      // A former process of this host has ended, and grants nothing more.
      if (hostOfAgent(claim.grantor) !== agent.host) return false;
      await giveUp(claim.group, claim.epoch);
      return true;
    },
    handover: ({ group, epoch }) => leftBehind(group, epoch),
    table: (group) => running(group)?.table() ?? null,
    groups: () => [...grantors.keys()].filter((group) => running(group)),
    async relocate(group) {
      // A successor would have to wait for the unheard servers all over again.
      if (running(group)?.heardAll() === true) await passOn(group);
    },
    async handOver({ timeoutMilliseconds }) {
      closing = true;
      const end = monotonicNow() + timeoutMilliseconds;
      const groups = [...grantors.keys()];
      await Promise.all(groups.map((group) => passOnUntil(group, end)));
    },
    async stop() {
      closing = true;
      await Promise.all([...grantors.values()].map((task) => task.stop()));
    },
  };
}
