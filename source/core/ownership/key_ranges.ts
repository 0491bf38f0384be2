/**
 * Converts slices of a numbered key space to ranges of keys, for targets that
 * receive orders to hold keys.
 *
 * Invariant: the ranges of one holder cover exactly the keys whose slices it
 * holds, and no isolated key of another holder.
 *
 * @module
 */
import type { Grant } from "./renewal.ts";
import type { OwnershipTable, PlaceKey } from "./table.ts";
import { compareTokens, type FencingToken } from "./token.ts";

/** Keys from `first` to `last`, both inclusive, under one fencing token. */
export interface KeyRange {
  readonly first: number;
  readonly last: number;
  readonly token: FencingToken;
}

/** A range of keys with the slices that it covers wholly or in part. */
export interface KeyRangeWithSlices extends KeyRange {
  readonly slices: readonly number[];
}

/** A key space whose keys are the integers from 0 to `count - 1`. */
export interface NumberedKeys {
  readonly count: number;
}

/** Maps a numbered key to one of equal, ordered slices; -1 if out of range. */
export function placeByNumber(keys: NumberedKeys): PlaceKey {
  return (key, slices) => {
    const number = Number(key);
    if (!Number.isInteger(number) || number < 0 || number >= keys.count) {
      return -1;
    }
    return Math.floor(number * slices / keys.count);
  };
}

/** The key space, and the table that says which keys are isolated. */
export interface KeyPartitioning {
  readonly table: OwnershipTable;
  readonly keys: NumberedKeys;
}

/** The ranges that the grants cover, ascending, with adjacent ones merged. */
export function rangesOfGrants(
  grants: readonly Grant[],
  partitioning: KeyPartitioning,
): readonly KeyRangeWithSlices[] {
  const numbers = isolatedNumbers(partitioning.table);
  const pieces = grants.flatMap((grant) =>
    piecesOfGrant(grant, { ...partitioning, numbers })
  );
  return joinRanges(pieces.toSorted((left, right) => left.first - right.first));
}

/** The ranges of one grant: its slice without the keys isolated from it. */
export function rangesOfGrant(
  grant: Grant,
  partitioning: KeyPartitioning,
): readonly KeyRangeWithSlices[] {
  const numbers = isolatedNumbers(partitioning.table);
  return piecesOfGrant(grant, { ...partitioning, numbers });
}

function piecesOfGrant(
  grant: Grant,
  partitioning: KeyPartitioning & { readonly numbers: readonly number[] },
): readonly KeyRangeWithSlices[] {
  const { table, keys, numbers } = partitioning;
  const { token } = grant;
  const slices = [grant.slice];
  if (grant.slice < table.hashedSlices) {
    const bounds = boundsOfSlice(grant.slice, table.hashedSlices, keys);
    return withoutKeys({ ...bounds, token }, numbers)
      .map((range) => ({ ...range, slices }));
  }
  const isolated = table.isolatedKeys.find((entry) =>
    entry.slice === grant.slice
  );
  if (isolated === undefined) return [];
  const number = Number(isolated.key);
  return [{ first: number, last: number, token, slices }];
}

function boundsOfSlice(
  slice: number,
  slices: number,
  keys: NumberedKeys,
): { readonly first: number; readonly last: number } {
  return {
    first: Math.ceil(slice * keys.count / slices),
    last: Math.ceil((slice + 1) * keys.count / slices) - 1,
  };
}

function isolatedNumbers(table: OwnershipTable): readonly number[] {
  return table.isolatedKeys
    .map((entry) => Number(entry.key))
    .sort((left, right) => left - right);
}

function withoutKeys(
  range: KeyRange,
  numbers: readonly number[],
): readonly KeyRange[] {
  const ranges: KeyRange[] = [];
  let { first } = range;
  for (const number of numbers) {
    if (number < first || number > range.last) continue;
    if (number > first) ranges.push({ ...range, first, last: number - 1 });
    first = number + 1;
  }
  if (first <= range.last) ranges.push({ ...range, first });
  return ranges;
}

/** Merges adjacent ranges under the newest of their tokens. */
function joinRanges(
  ranges: readonly KeyRangeWithSlices[],
): readonly KeyRangeWithSlices[] {
  const joined: KeyRangeWithSlices[] = [];
  for (const range of ranges) {
    const previous = joined.at(-1);
    if (previous === undefined || previous.last + 1 !== range.first) {
      joined.push(range);
      continue;
    }
    const newer = compareTokens(previous.token, range.token) > 0;
    joined[joined.length - 1] = {
      first: previous.first,
      last: range.last,
      token: newer ? previous.token : range.token,
      slices: [...previous.slices, ...range.slices],
    };
  }
  return joined;
}
