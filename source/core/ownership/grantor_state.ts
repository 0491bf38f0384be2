/**
 * The state of a grantor (its holders, its slices and its own right to grant),
 * the events that change it and the effects that it requests.
 *
 * @module
 */
import type { Address, AgentId } from "../agent.ts";
import { addMilliseconds, type Clocks } from "../clocks.ts";
import type { Checkpoint, RosterEntry } from "./delegation.ts";
import type { Handover } from "./handover_message.ts";
import type {
  MoveBudget,
  MoveBudgetSettings,
  MoveCause,
} from "./move_budget.ts";
import type { KeyLoad, Renewal, RenewalAnswer } from "./renewal.ts";
import type { IsolatedKey } from "./table.ts";
import type { FencingToken } from "./token.ts";

/** When a key is busy enough to get a slice of its own. */
export interface IsolationSettings {
  /** Minimum share of its server's load, from 0 to 1. */
  readonly minLoadShare: number;
  readonly minRequestsPerSecond: number;
  /** An isolated key below this rate may lose its slice to a busier key. */
  readonly coldBelowRequestsPerSecond: number;
}

/** Durations and limits of one group. */
export interface GrantorSettings {
  readonly leaseMilliseconds: number;
  /** Maximum time that a request may run after its admission. */
  readonly longestDeadlineMilliseconds: number;
  readonly hashedSlices: number;
  /** Adjacent slices that are assigned to one server when all are free. */
  readonly slicesPerStripe: number;
  /** Maximum number of slices that are being moved at the same time. */
  readonly maxConcurrentMoves: number;
  /** Load differences up to this share of the mean cause no moves. */
  readonly imbalanceTolerance: number;
  /** Maximum number of keys with a slice of their own. */
  readonly isolatedKeys: number;
  readonly isolation: IsolationSettings;
  /** Time that a new grantor waits for servers before it assigns slices. */
  readonly initialAssignmentDelayMilliseconds: number;
  /** Duration of the delegation after each successful store write. */
  readonly delegationMilliseconds: number;
  /** Left out where load above capacity is treated like any other. */
  readonly unevenDemand?: MoveBudgetSettings | undefined;
}

/** The grantor's record of a holder. */
export interface Holder {
  readonly id: AgentId;
  readonly peerAddress: Address;
  /** Requests that the server can run in a second. */
  readonly weight: number;
  /** The most that it takes at this moment; left out without a limit. */
  readonly weightLimit?: number | undefined;
  /** Number of reports from which the weight was measured. */
  readonly samples: number;
  readonly checksFencing: boolean;
  readonly leaving: boolean;
  /** Whether its lease had expired when it last renewed; it served nothing. */
  readonly leaseHadExpired: boolean;
  /** On the grantor's monotonic clock, in milliseconds. */
  readonly leaseEndsAt: number;
  readonly tableVersion: FencingToken;
  /**
   * A table version that the holder has had for longer than any request may
   * run: every request that it runs now was admitted by that table or a newer
   * one.
   */
  readonly settledVersion: FencingToken;
  /** The next settled version, and when the holder first reported it. */
  readonly settling: {
    readonly version: FencingToken;
    readonly since: number;
  };
}

/**
 * When a holder's last request must have ended if its lease is not renewed, on
 * the grantor's monotonic clock. A target that checks fencing tokens stops with
 * the lease; others run admitted requests to the end.
 */
export function lastWorkEndsAt(
  holder: Pick<Holder, "checksFencing" | "leaseEndsAt">,
  settings: GrantorSettings,
): number {
  if (holder.checksFencing) return holder.leaseEndsAt;
  return holder.leaseEndsAt + settings.longestDeadlineMilliseconds;
}

/** The grantor's record of one slice. */
export type Slice =
  | {
    readonly kind: "free";
    readonly handover?: string | undefined;
    /** The server that it was released for; left out without a plan. */
    readonly destination?: AgentId | undefined;
  }
  | {
    readonly kind: "held";
    readonly owner: AgentId;
    readonly token: FencingToken;
    /** Opaque text that the former holder's target handed over. */
    readonly handover?: string | undefined;
  }
  | {
    readonly kind: "moving";
    readonly owner: AgentId;
    readonly token: FencingToken;
    readonly destination: AgentId;
  }
  | {
    /** May still be served under a grant that this grantor cannot renew. */
    readonly kind: "reserved";
    /** The server that may serve it; null if not known. */
    readonly owner: AgentId | null;
    readonly token: FencingToken;
    /** When the last work on it must have ended, on the monotonic clock. */
    readonly availableAt: number;
  };

/** The state of one grantor. */
export interface GrantorState {
  readonly group: string;
  readonly epoch: number;
  readonly settings: GrantorSettings;
  readonly delegationEndsAt: Clocks;
  readonly sequence: number;
  /** Free slices are not assigned before this time of the monotonic clock. */
  readonly assignmentStartsAt: number;
  /** Whether free slices are assigned. */
  readonly assignmentStarted: boolean;
  readonly roster: readonly RosterEntry[];
  /** Servers that wait to be added to the stored roster. */
  readonly applicants: readonly RosterEntry[];
  /** Since when the first of them waits; null for none. */
  readonly applicantsSince: number | null;
  readonly holders: ReadonlyMap<AgentId, Holder>;
  /** Servers of the roster that have not answered the takeover or renewed. */
  readonly unresponsive: ReadonlySet<AgentId>;
  /**
   * Until when servers outside the roster may have grants of an earlier era of
   * the store, on the monotonic clock; null if none may. Slices that no server
   * has reported are reserved until then.
   */
  readonly unlistedUntil: number | null;
  readonly slices: readonly Slice[];
  readonly isolatedKeys: readonly IsolatedKey[];
  /** Requests a second by slice; slices without a report are left out. */
  readonly loads: ReadonlyMap<number, number>;
  /** Used only where the settings have a budget. */
  readonly moveBudget: MoveBudget<AgentId>;
  /** The delegation's `earlierMayGrant`, as it was last written. */
  readonly earlierMayGrant: boolean;
  /** Busy keys that get slices of their own with the next store write. */
  readonly busyKeys: readonly KeyLoad[];
  /**
   * Whether a holder's lease has ended since the last store write. The holder
   * may have a newer grantor, which the next store write would reveal.
   */
  readonly mayBeSuperseded: boolean;
  /** Whether a server of the stored roster has departed. */
  readonly rosterChanged: boolean;
  /** The content of the store write in progress; null for none. */
  readonly unconfirmed: Checkpoint | null;
}

/** Share by which the grantor's clock may run slower than its successor's. */
const maxClockDriftShare = 0.01;

/**
 * When a delegation ends that was requested from the store at `askedAt`. Ends
 * early enough for a successor whose clock runs faster.
 */
export function delegationEnd(
  askedAt: Clocks,
  settings: GrantorSettings,
): Clocks {
  const length = settings.delegationMilliseconds * (1 - maxClockDriftShare);
  return addMilliseconds(askedAt, length);
}

/** An input of a grantor. */
export type GrantorEvent =
  | {
    readonly kind: "renewal";
    readonly renewal: Renewal;
    readonly now: Clocks;
  }
  | {
    readonly kind: "tick";
    readonly now: Clocks;
    /** How many servers of the group are known to run; 0 if left out. */
    readonly runningServers?: number;
  }
  /** All earlier grantors have stopped; none renews a lease any more. */
  | { readonly kind: "earlierEnded"; readonly now: Clocks }
  /** The former grantor stopped after the takeover and sent its handover. */
  | {
    readonly kind: "handover";
    readonly handover: Handover;
    readonly now: Clocks;
  }
  /** These agents have ended, and their targets hold nothing. */
  | { readonly kind: "departed"; readonly ids: readonly AgentId[] }
  | {
    /** A store write of this grantor's epoch, requested then, succeeded. */
    readonly kind: "confirmed";
    readonly askedAt: Clocks;
  };

/** Moves that were planned for one cause. */
export interface Rebalancing {
  readonly cause: MoveCause;
  /** The slices whose moves start. */
  readonly slices: readonly number[];
  /** How many further moves have begun to wait for the budget. */
  readonly deferred: number;
  /** The share of all keys that may still be moved for this cause. */
  readonly remainingKeyShare: number;
}

/** An action that the grantor's task carries out. */
export type GrantorEffect =
  | { readonly kind: "answer"; readonly answer: RenewalAnswer }
  | { readonly kind: "refuse" }
  | {
    readonly kind: "writeCheckpoint";
    readonly checkpoint: Checkpoint;
  }
  /** Asks these servers to renew at once. */
  | { readonly kind: "nudge"; readonly peerAddresses: readonly Address[] }
  /** A holder's lease ended, with this number of slices reserved for it. */
  | { readonly kind: "lapsed"; readonly id: AgentId; readonly slices: number }
  | {
    readonly kind: "granted";
    readonly slice: number;
    readonly owner: AgentId;
    readonly token: FencingToken;
  }
  | {
    readonly kind: "moveStarted";
    readonly slice: number;
    readonly owner: AgentId;
    readonly destination: AgentId;
  }
  | ({ readonly kind: "rebalanced" } & Rebalancing)
  | { readonly kind: "isolated"; readonly key: string; readonly slice: number };
