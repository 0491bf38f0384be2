/**
 * What a holder and its grantor tell each other.
 *
 * @module
 */
import type { Address, AgentId } from "../agent.ts";
import type { OwnershipTable } from "./table.ts";
import type { FencingToken } from "./token.ts";

/** A grant as holder and grantor exchange it. */
export interface Grant {
  readonly slice: number;
  readonly token: FencingToken;
  /** What the slice's last holder handed over for the next one. */
  readonly handover?: string | undefined;
}

/** What a holder measured for one of its slices. */
export interface SliceLoad {
  readonly slice: number;
  readonly requestsPerSecond: number;
}

/** What a holder measured for one of its busiest keys. */
export interface KeyLoad {
  readonly key: string;
  readonly slice: number;
  readonly requestsPerSecond: number;
}

/** A holder's request to renew its lease. */
export interface Renewal {
  readonly group: string;
  readonly epoch: number;
  readonly id: AgentId;
  readonly peerAddress: Address;
  readonly weight: number;
  readonly checksFencing: boolean;
  readonly leaving: boolean;
  /** Grants under an unexpired lease, those being released included. */
  readonly held: readonly Grant[];
  /** Grants that it had when its lease ended; left out for none. */
  readonly lapsed?: readonly Grant[] | undefined;
  /** Grants that the holder has given up since its last answered renewal. */
  readonly released: readonly Grant[];
  /**
   * The target has given up all that former agents of its host let it hold,
   * and has been let hold nothing since.
   */
  readonly emptied: boolean;
  readonly tableVersion: FencingToken;
  readonly sliceLoads: readonly SliceLoad[];
  readonly keyLoads: readonly KeyLoad[];
}

/** The grantor's answer to a renewal. */
export interface RenewalAnswer {
  readonly epoch: number;
  readonly leaseMilliseconds: number;
  /** All that the holder may hold from now on. */
  readonly grants: readonly Grant[];
  /** Slices to finish and release. */
  readonly release: readonly number[];
  /** Present when the holder's table is older. */
  readonly table: OwnershipTable | null;
}

/** What one server said when a new grantor took its group over. */
export interface TakeoverAnswer {
  readonly id: AgentId;
  readonly held: readonly Grant[];
  /** Grants that it had when its lease ended; left out for none. */
  readonly lapsed?: readonly Grant[] | undefined;
  readonly weight: number;
  readonly checksFencing: boolean;
  readonly leaving: boolean;
}
