/**
 * Placement of keys against a static hash: imbalance of load, keys moved when
 * hot keys change and when a server leaves, and time without an owner.
 *
 * @module
 */
import { readFileSync } from "node:fs";
import { hashText } from "../source/adapters/hashing.ts";
import { stepGrantor } from "../source/core/ownership/grantor.ts";
import { tableOf } from "../source/core/ownership/grantor_table.ts";
import type { GrantorState } from "../source/core/ownership/grantor_state.ts";
import type { Grant, Renewal } from "../source/core/ownership/renewal.ts";
import {
  ownerOfSlice,
  type OwnershipTable,
  placeByHash,
  sliceOfKey,
} from "../source/core/ownership/table.ts";
import { seededRandom } from "../standins/load.ts";
import { startFakeMesh } from "../tests/fake_mesh.ts";
import { checkBounds, round, show } from "./bench.ts";
import { beginBenchGrantor } from "./grantor.ts";

const servers = 8;
const keyCount = 5_000;
const requestsPerSecond = 4_000;
/** From the target: a key is served again within 5 s of a loss. */
const servedAgainSeconds = 5;

type Demand = ReadonlyMap<string, number>;

/** Demand by a power law over keys in an order of its own. */
function demand(seed: number): Demand {
  const random = seededRandom(seed);
  const order = Array.from({ length: keyCount }, (_, index) => index)
    .map((index) => ({ index, place: random() }))
    .sort((left, right) => left.place - right.place);
  const weights = order.map((_, place) => 1 / (place + 1) ** 0.9);
  const total = weights.reduce((sum, weight) => sum + weight, 0);
  return new Map(order.map(({ index }, place) => [
    `key-${index}`,
    requestsPerSecond * (weights[place] ?? 0) / total,
  ]));
}

/** The busiest server's load over the mean. */
function imbalance(loads: ReadonlyMap<string, number>): number {
  const sum = [...loads.values()].reduce((sum, load) => sum + load, 0);
  return Math.max(...loads.values()) / (sum / servers);
}

function loadsBy(
  keys: Demand,
  ownerOf: (key: string) => string,
): ReadonlyMap<string, number> {
  const loads = new Map<string, number>();
  for (const [key, rate] of keys) {
    const owner = ownerOf(key);
    loads.set(owner, (loads.get(owner) ?? 0) + rate);
  }
  return loads;
}

function staticOwner(key: string, count: number): string {
  return `server-${hashText(key, 1) % count}`;
}

function tableOwner(table: OwnershipTable, key: string): string {
  const slice = sliceOfKey(table, key, placeByHash(hashText));
  return ownerOfSlice(table, slice)?.id ?? "nobody";
}

/** Renews every server once a second for a while, under this demand. */
function run(
  from: GrantorState,
  options: {
    readonly keys: Demand;
    readonly fromSecond: number;
    readonly seconds: number;
    readonly leaving?: string;
  },
): GrantorState {
  let state = from;
  for (let second = 0; second < options.seconds; second += 1) {
    const monotonic = (options.fromSecond + second) * 1_000;
    const now = { monotonic, wall: monotonic };
    for (const entry of state.roster) {
      const renewal = renewalOf(state, { ...options, id: entry.id });
      state = stepGrantor(state, { kind: "renewal", renewal, now }).state;
    }
    state = stepGrantor(state, { kind: "tick", now }).state;
    if (state.unconfirmed === null) continue;
    state = stepGrantor(state, { kind: "confirmed", askedAt: now }).state;
  }
  return state;
}

function renewalOf(
  state: GrantorState,
  options: {
    readonly keys: Demand;
    readonly id: string;
    readonly leaving?: string;
  },
): Renewal {
  const table = tableOf(state);
  const loads = new Map<number, number>();
  const own: { key: string; slice: number; requestsPerSecond: number }[] = [];
  for (const [key, rate] of options.keys) {
    if (tableOwner(table, key) !== options.id) continue;
    const slice = sliceOfKey(table, key, placeByHash(hashText));
    loads.set(slice, (loads.get(slice) ?? 0) + rate);
    own.push({ key, slice, requestsPerSecond: rate });
  }
  const grants = grantsOf(state, options.id);
  const moving = grants.filter((grant) =>
    state.slices[grant.slice]?.kind === "moving"
  );
  own.sort((left, right) => right.requestsPerSecond - left.requestsPerSecond);
  return {
    group: state.group,
    epoch: state.epoch,
    id: options.id,
    peerAddress: "127.0.0.1:1",
    weight: 1,
    checksFencing: false,
    leaving: options.id === options.leaving,
    held: grants,
    released: moving,
    emptied: false,
    tableVersion: table.version,
    sliceLoads: grants.map(({ slice }) => ({
      slice,
      requestsPerSecond: loads.get(slice) ?? 0,
    })),
    keyLoads: own.slice(0, 8),
  };
}

function grantsOf(state: GrantorState, id: string): readonly Grant[] {
  return state.slices.flatMap((slice, index) =>
    (slice.kind === "held" || slice.kind === "moving") && slice.owner === id
      ? [{ slice: index, token: slice.token }]
      : []
  );
}

function movedShare(
  before: (key: string) => string,
  after: (key: string) => string,
): number {
  const keys = Array.from({ length: keyCount }, (_, index) => `key-${index}`);
  return keys.filter((key) => before(key) !== after(key)).length / keyCount;
}

/** Time without an owner after a loss and at a planned leave, in seconds. */
async function measureGaps(): Promise<{
  readonly loss: number;
  readonly leave: number;
}> {
  const document = readFileSync(
    new URL("../examples/studios.yaml", import.meta.url),
    "utf8",
  );
  const place = { dataCenter: "kolkata-1", region: "kolkata" };
  const mesh = startFakeMesh({
    document,
    nodes: [
      { host: "timetable-1", service: "timetable", ...place },
      { host: "timetable-2", service: "timetable", ...place },
      { host: "timetable-3", service: "timetable", ...place },
      { host: "booking-1", service: "booking", ...place },
    ],
  });
  await mesh.advance(20_000);
  const keys = Array.from({ length: 60 }, (_, index) => `class-${index}`);
  /** From now on, until all keys have an owner that is not `host`. */
  async function unavailable(host: string): Promise<number> {
    const startedAt = mesh.now();
    let endedAt = startedAt;
    await mesh.advance(8_000, () => {
      const served = keys.every((key) =>
        mesh.owners(key).some((owner) => owner !== host)
      );
      if (!served) endedAt = mesh.now();
    });
    return (endedAt - startedAt) / 1_000;
  }
  /** The longest time that a key has no owner at all. */
  async function longestGap(): Promise<number> {
    let longest = 0;
    const since = new Map<string, number>();
    await mesh.advance(8_000, () => {
      for (const key of keys) {
        if (mesh.owners(key).length > 0) since.delete(key);
        else since.set(key, since.get(key) ?? mesh.now());
        longest = Math.max(
          longest,
          mesh.now() - (since.get(key) ?? mesh.now()),
        );
      }
    });
    return longest / 1_000;
  }
  mesh.node("timetable-1").coordinator.setLeaving(true);
  const leave = await longestGap();
  mesh.setLinks((from, to) => from !== "timetable-2" && to !== "timetable-2");
  const loss = await unavailable("timetable-2");
  await mesh.stop();
  return { loss, leave };
}

/** Measures placement, and the time that a loss takes. */
export async function benchOwnership(): Promise<boolean> {
  const first = demand(61);
  const settled = run(beginBenchGrantor(servers), {
    keys: first,
    fromSecond: 0,
    seconds: 120,
  });
  const before = tableOf(settled);
  const placed = imbalance(loadsBy(first, (key) => tableOwner(before, key)));
  const hashed = imbalance(loadsBy(first, (key) => staticOwner(key, servers)));
  show(`${servers} servers, ${keyCount} keys by a power law`);
  show(
    `  imbalance (max over mean): ${round(placed)}, static hash ${
      round(hashed)
    }`,
  );
  show(`  keys with a slice of their own: ${before.isolatedKeys.length}`);

  const second = demand(62);
  const changed = run(settled, { keys: second, fromSecond: 120, seconds: 120 });
  const later = tableOf(changed);
  const moved = movedShare(
    (key) => tableOwner(before, key),
    (key) => tableOwner(later, key),
  );
  const replaced = imbalance(loadsBy(second, (key) => tableOwner(later, key)));
  show(
    `  other keys hot: imbalance ${round(replaced)} again after 120 s, ` +
      `${round(moved * 100)} % of the keys moved`,
  );

  const left = run(changed, {
    keys: second,
    fromSecond: 240,
    seconds: 30,
    leaving: "server-0",
  });
  const remaining = tableOf(left);
  const movedByLeave = movedShare(
    (key) => tableOwner(later, key),
    (key) => tableOwner(remaining, key),
  );
  const movedByHash = movedShare(
    (key) => staticOwner(key, servers),
    (key) => staticOwner(key, servers - 1),
  );
  show(
    `  a server leaves: ${round(movedByLeave * 100)} % of the keys moved, ` +
      `static hash ${round(movedByHash * 100)} %`,
  );
  const gaps = await measureGaps();
  show(
    `  time without an owner: planned leave ${round(gaps.leave)} s, ` +
      `loss ${round(gaps.loss)} s; static hash: until the server returns`,
  );
  return checkBounds([
    { name: "imbalance against static hash", value: placed / hashed, most: 1 },
    {
      name: "keys moved by a leave against static hash",
      value: movedByLeave / movedByHash,
      most: 0.5,
    },
    {
      name: "seconds without an owner after a loss",
      value: gaps.loss,
      most: servedAgainSeconds,
    },
  ]);
}
