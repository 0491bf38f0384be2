/**
 * The ownership table of a group: which server owns which slice, as its
 * grantor last said. A table only guides requests. The right to serve is the
 * holder's lease, so an old table costs a forward and never a second owner.
 *
 * @module
 */
import type { Address, AgentId } from "../agent.ts";
import { compareTokens, type FencingToken, noToken } from "./token.ts";

/** A key hash: a 32-bit unsigned number that depends on text and seed only. */
export type KeyHash = (text: string, seed: number) => number;

/** The slice, of so many, that a key belongs to; the same on every agent. */
export type PlaceKey = (key: string, slices: number) => number;

/** A server that may hold slices of the group. */
export interface TableHolder {
  readonly id: AgentId;
  readonly peerAddress: Address;
}

/** A key that has a slice of its own, so that it can be moved alone. */
export interface IsolatedKey {
  readonly key: string;
  readonly slice: number;
  /** The slice that the key is hashed to. */
  readonly base: number;
}

/** Who owns what in one group, at one version. */
export interface OwnershipTable {
  readonly group: string;
  readonly version: FencingToken;
  readonly holders: readonly TableHolder[];
  /** For each slice the index of its owner in `holders`; -1 for none. */
  readonly owners: readonly number[];
  /** Slices that keys are hashed to; those above belong to isolated keys. */
  readonly hashedSlices: number;
  readonly isolatedKeys: readonly IsolatedKey[];
}

const groupSeed = 0x67726f75;
const sliceSeed = 0x736c6963;

/** An empty table that any real one replaces. */
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

/** The group, of `groups`, that a key of a service belongs to. */
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

/** The name of the group with this index. */
export function groupName(service: string, index: number): string {
  return `${service}.${index}`;
}

/** Spreads keys over slices by their hash. */
export function placeByHash(hash: KeyHash): PlaceKey {
  return (key, slices) => hash(key, sliceSeed) % slices;
}

/** The slice that a key belongs to; -1 while the table is empty. */
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

/** The owner of a slice as this table has it; null when it names none. */
export function ownerOfSlice(
  table: OwnershipTable,
  slice: number,
): TableHolder | null {
  const index = table.owners[slice] ?? -1;
  return table.holders[index] ?? null;
}

/** A slice's owner as a table of some version names it. */
export interface VersionedOwner {
  readonly holder: TableHolder;
  readonly version: FencingToken;
}

/** The owner of a slice by this table; null when it names none. */
export function versionedOwnerOf(
  table: OwnershipTable,
  slice: number,
): VersionedOwner | null {
  const holder = ownerOfSlice(table, slice);
  return holder === null ? null : { holder, version: table.version };
}

/** Whether somebody knows of a later owner than this version does. */
export function isNewerOwner(
  offered: VersionedOwner | null,
  version: FencingToken,
): offered is VersionedOwner {
  return offered !== null && compareTokens(offered.version, version) > 0;
}

/** The newer of two tables of one group, so that a table never goes back. */
export function newerTable(
  current: OwnershipTable,
  offered: OwnershipTable | null,
): OwnershipTable {
  if (offered === null || offered.group !== current.group) return current;
  const order = compareTokens(offered.version, current.version);
  return order > 0 ? offered : current;
}
