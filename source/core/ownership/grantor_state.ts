/**
 * The state of a grantor: its holders, its slices, and its own right to grant.
 *
 * @module
 */
import type { Address, AgentId } from "../agent.ts";
import { addMilliseconds, type Clocks } from "../clocks.ts";
import type { Checkpoint, RosterEntry } from "./delegation.ts";
import type { Handover } from "./handover_message.ts";
import type { KeyLoad, Renewal, RenewalAnswer } from "./renewal.ts";
import type { IsolatedKey } from "./table.ts";
import type { FencingToken } from "./token.ts";

/** When a key is busy enough for a slice of its own. */
export interface IsolationSettings {
  /** The part of its server's load, 0 to 1. */
  readonly share: number;
  readonly floorPerSecond: number;
  /** An isolated key below this load may give its slice up to a busier one. */
  readonly coldPerSecond: number;
}

/** Durations and sizes of one group. */
export interface GrantorSettings {
  readonly leaseMilliseconds: number;
  /** The longest that admitted work may go on after its admission. */
  readonly longestDeadlineMilliseconds: number;
  readonly hashedSlices: number;
  /** Neighbouring slices that are given to one server when all are free. */
  readonly stripeSlices: number;
  /** Most slices in a planned move at one time. */
  readonly movesAtOnce: number;
  /** A difference of load below this share of the mean is left alone. */
  readonly toleratedShare: number;
  /** Most keys with a slice of their own. */
  readonly isolatedKeys: number;
  readonly isolation: IsolationSettings;
  /** A new grantor waits so long for servers before it assigns slices. */
  readonly gatherMilliseconds: number;
  /** How long the delegation lasts after each successful store write. */
  readonly delegationMilliseconds: number;
}

/** The grantor's record of a holder. */
export interface Holder {
  readonly id: AgentId;
  readonly peerAddress: Address;
  readonly weight: number;
  /** Reports of requests by which the weight was measured. */
  readonly weighings: number;
  readonly checksFencing: boolean;
  readonly leaving: boolean;
  /** Whether it had lost its lease when it last asked: it served nothing. */
  readonly lapsed: boolean;
  /** On the grantor's monotonic clock. */
  readonly leaseEndsAt: number;
  readonly tableVersion: FencingToken;
  /**
   * A table that the holder has had for longer than any request runs: all
   * that it runs now was admitted by that table or a later one.
   */
  readonly settledVersion: FencingToken;
  /** The next settled version, and when it was first reported. */
  readonly settling: {
    readonly version: FencingToken;
    readonly since: number;
  };
}

/** A target that checks tokens stops with the lease; others run to the end. */
export function lastWorkEndsAt(
  holder: Pick<Holder, "checksFencing" | "leaseEndsAt">,
  settings: GrantorSettings,
): number {
  if (holder.checksFencing) return holder.leaseEndsAt;
  return holder.leaseEndsAt + settings.longestDeadlineMilliseconds;
}

/** What the grantor knows of one slice. */
export type Slice =
  | { readonly kind: "free"; readonly handover?: string | undefined }
  | {
    readonly kind: "held";
    readonly owner: AgentId;
    readonly token: FencingToken;
    /** What the former holder handed over for this grant. */
    readonly handover?: string | undefined;
  }
  | {
    readonly kind: "moving";
    readonly owner: AgentId;
    readonly token: FencingToken;
    readonly destination: AgentId;
  }
  | {
    /** May still be served under a grant that this grantor can't renew. */
    readonly kind: "reserved";
    readonly owner: AgentId | null;
    readonly token: FencingToken;
    readonly availableAt: number;
  };

/** The state of one grantor. */
export interface GrantorState {
  readonly group: string;
  readonly epoch: number;
  readonly settings: GrantorSettings;
  readonly delegationEndsAt: Clocks;
  readonly sequence: number;
  /** Free slices are assigned from then on, on the monotonic clock. */
  readonly assignsFrom: number;
  /** Whether that time has come. */
  readonly assigns: boolean;
  readonly roster: readonly RosterEntry[];
  /** Servers that asked to join and wait for the roster to be stored. */
  readonly applicants: readonly RosterEntry[];
  readonly holders: ReadonlyMap<AgentId, Holder>;
  /** Servers of the former grantor that this one has not heard from yet. */
  readonly unheard: ReadonlySet<AgentId>;
  readonly slices: readonly Slice[];
  readonly isolatedKeys: readonly IsolatedKey[];
  readonly loads: ReadonlyMap<number, number>;
  /** What the store says of earlier grantors, as this one last wrote it. */
  readonly earlierMayGrant: boolean;
  /** Busy keys that wait for a store write to get slices of their own. */
  readonly busyKeys: readonly KeyLoad[];
  /**
   * Whether a holder's lease has ended since the last store write: this
   * grantor may have been replaced, which the store would tell.
   */
  readonly doubted: boolean;
  /** What a store write not yet settled carries; null for none. */
  readonly writing: Checkpoint | null;
}

/** The grantor's clock may run slower than its successor's by this share. */
const clockDriftShare = 0.01;

/** When a delegation ends that was asked of the store at this instant. */
export function delegationEnd(
  askedAt: Clocks,
  settings: GrantorSettings,
): Clocks {
  const length = settings.delegationMilliseconds * (1 - clockDriftShare);
  return addMilliseconds(askedAt, length);
}

/** What happens to a grantor. */
export type GrantorEvent =
  | {
    readonly kind: "renewal";
    readonly renewal: Renewal;
    readonly now: Clocks;
  }
  | { readonly kind: "tick"; readonly now: Clocks }
  /** No earlier grantor can renew a lease any more, from now on. */
  | { readonly kind: "earlierEnded"; readonly now: Clocks }
  /** The former grantor has stopped late, and tells what it leaves. */
  | {
    readonly kind: "handover";
    readonly handover: Handover;
    readonly now: Clocks;
  }
  /** These agents have ended, with nothing in their targets' hands. */
  | { readonly kind: "departed"; readonly ids: readonly AgentId[] }
  | {
    /** A store write at this epoch took effect. */
    readonly kind: "confirmed";
    readonly askedAt: Clocks;
  };

/** What a grantor asks of its task. */
export type GrantorEffect =
  | { readonly kind: "answer"; readonly answer: RenewalAnswer }
  | { readonly kind: "refuse" }
  | {
    readonly kind: "writeCheckpoint";
    readonly checkpoint: Checkpoint;
  }
  | { readonly kind: "nudge"; readonly peerAddresses: readonly Address[] }
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
  | { readonly kind: "isolated"; readonly key: string; readonly slice: number };
