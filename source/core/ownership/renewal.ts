/**
 * The messages between holders and their grantor.
 *
 * @module
 */
import type { Address, AgentId } from "../agent.ts";
import type { OwnershipTable } from "./table.ts";
import type { FencingToken } from "./token.ts";

/** Longest text that a target may hand over with a slice, in characters. */
export const maxHandoverCharacters = 1_024;

/** The right to serve one slice, under a fencing token. */
export interface Grant {
  readonly slice: number;
  readonly token: FencingToken;
  /** Opaque text that the target of the slice's last holder handed over. */
  readonly handover?: string | undefined;
}

/** The measured load of one of a holder's slices. */
export interface SliceLoad {
  readonly slice: number;
  readonly requestsPerSecond: number;
}

/** The measured load of one of a holder's busiest keys. */
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
  /** Requests that the server can run in a second, as far as measured. */
  readonly weight: number;
  /** The most that it takes at this moment; left out without a limit. */
  readonly weightLimit?: number | undefined;
  readonly checksFencing: boolean;
  readonly leaving: boolean;
  /** Grants under an unexpired lease, including those being released. */
  readonly held: readonly Grant[];
  /** Grants that it had when its lease ended; left out for none. */
  readonly lapsed?: readonly Grant[] | undefined;
  /** Grants that the holder has released since its last answered renewal. */
  readonly released: readonly Grant[];
  /**
   * Whether the target has given up everything that former agents of its host
   * let it hold, and has received no order to hold keys since.
   */
  readonly emptied: boolean;
  readonly tableVersion: FencingToken;
  readonly sliceLoads: readonly SliceLoad[];
  readonly keyLoads: readonly KeyLoad[];
}

/** The grantor's answer to a renewal. */
export interface RenewalAnswer {
  readonly epoch: number;
  /** 0 for a server that may not be granted slices. */
  readonly leaseMilliseconds: number;
  /** All grants that the holder has from now on. */
  readonly grants: readonly Grant[];
  /** Slices whose requests the holder shall finish, and then release. */
  readonly release: readonly number[];
  /** The grantor's table if the holder's is older, else null. */
  readonly table: OwnershipTable | null;
}

/** One server's answer to a new grantor that takes its group over. */
export interface TakeoverAnswer {
  readonly id: AgentId;
  readonly held: readonly Grant[];
  /** Grants that it had when its lease ended; left out for none. */
  readonly lapsed?: readonly Grant[] | undefined;
  readonly weight: number;
  /** The most that it takes at this moment; left out without a limit. */
  readonly weightLimit?: number | undefined;
  readonly checksFencing: boolean;
  readonly leaving: boolean;
}
