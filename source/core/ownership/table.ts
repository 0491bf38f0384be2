/**
 * The ownership table of a group: which server owns which slice, according to
 * the group's grantor. A table is only used to route requests. The right to
 * serve comes from the holder's lease, so a stale table costs an extra forward
 * but never leads to two owners.
 *
 * @module
 */
import type { Address, AgentId } from "../agent.ts";
import { compareTokens, type FencingToken, noToken } from "./token.ts";

/** Hashes a key to a 32-bit unsigned integer; depends on its arguments only. */
export type KeyHash = (text: string, seed: number) => number;

/**
 * Maps a key to one of `slices` slices, with the same result on every agent.
 * Negative if the key belongs to none.
 */
export type PlaceKey = (key: string, slices: number) => number;

/** A server that may hold slices of the group. */
export interface TableHolder {
  readonly id: AgentId;
  readonly peerAddress: Address;
}

/** A key with a slice of its own, which can be moved independently. */
export interface IsolatedKey {
  readonly key: string;
  readonly slice: number;
  /** The slice that the key is hashed to. */
  readonly base: number;
}

/** The owners of a group's slices at one version. */
export interface OwnershipTable {
  readonly group: string;
  readonly version: FencingToken;
  readonly holders: readonly TableHolder[];
  /** For each slice, the index of its owner in `holders`, or -1 for none. */
  readonly owners: readonly number[];
  /** Number of slices that keys are hashed to; isolated keys' slices follow. */
  readonly hashedSlices: number;
  readonly isolatedKeys: readonly IsolatedKey[];
}

const groupSeed = 0x67726f75;
const sliceSeed = 0x736c6963;

/** An empty table, older than any table of a grantor. */
export function emptyTable(group: string): OwnershipTable {
  return {
    group,
    version: noToken,
    holders: [],
    owners: [],
    hashedSlices: 0,
    isolatedKeys: [],
  };
}

/** The name of the group, out of `groups`, that a service's key belongs to. */
export function groupOfKey(
  key: string,
  options: {
    readonly service: string;
    readonly groups: number;
    readonly hash: KeyHash;
  },
): string {
  const index = options.hash(key, groupSeed) % options.groups;
  return groupName(options.service, index);
}

/** The name of a service's group. */
export function groupName(service: string, index: number): string {
  return `${groupPrefix(service)}${index}`;
}

/** What the names of all groups of a service begin with. */
export function groupPrefix(service: string): string {
  return `${service}.`;
}

/** Distributes keys over slices by their hash. */
export function placeByHash(hash: KeyHash): PlaceKey {
  return (key, slices) => hash(key, sliceSeed) % slices;
}

/** The slice that a key belongs to; -1 if the table is empty. */
export function sliceOfKey(
  table: OwnershipTable,
  key: string,
  place: PlaceKey,
): number {
  const isolated = table.isolatedKeys.find((entry) => entry.key === key);
  if (isolated !== undefined) return isolated.slice;
  if (table.hashedSlices === 0) return -1;
  return place(key, table.hashedSlices);
}

/** The owner of a slice according to this table; null if it names none. */
export function ownerOfSlice(
  table: OwnershipTable,
  slice: number,
): TableHolder | null {
  const index = table.owners[slice] ?? -1;
  return table.holders[index] ?? null;
}

/** A slice's owner, with the version of the table that names it. */
export interface VersionedOwner {
  readonly holder: TableHolder;
  readonly version: FencingToken;
}

/** The owner of a slice, with the table's version; null if it names none. */
export function versionedOwnerOf(
  table: OwnershipTable,
  slice: number,
): VersionedOwner | null {
  const holder = ownerOfSlice(table, slice);
  return holder === null ? null : { holder, version: table.version };
}

/** Whether an owner comes from a table that is newer than `version`. */
export function isNewerOwner(
  offered: VersionedOwner | null,
  version: FencingToken,
): offered is VersionedOwner {
  return offered !== null && compareTokens(offered.version, version) > 0;
}

/**
 * The newer of two tables. Returns `current` if `offered` is null or of another
 * group, so that a replaced table is never older than the one before.
 */
export function newerTable(
  current: OwnershipTable,
  offered: OwnershipTable | null,
): OwnershipTable {
  if (offered === null || offered.group !== current.group) return current;
  const order = compareTokens(offered.version, current.version);
  return order > 0 ? offered : current;
}
