/**
 * A grantor with servers of unequal speed, without a network. Servers renew
 * once a second, report noisy loads and weights, and release slices 0.3 s after
 * they were asked to.
 *
 * @module
 */
import { seededRandom } from "../standins/load.ts";
import { stepGrantor } from "../source/core/ownership/grantor.ts";
import type {
  GrantorEffect,
  GrantorEvent,
  GrantorSettings,
  GrantorState,
} from "../source/core/ownership/grantor_state.ts";
import type { Grant } from "../source/core/ownership/renewal.ts";
import { createGrantor } from "../source/core/ownership/takeover.ts";
import {
  compareTokens,
  type FencingToken,
  noToken,
} from "../source/core/ownership/token.ts";
import { clocksAt, testRenewal, testTakeover } from "./test_grantor.ts";

/** A server; it runs so many requests a second. */
export interface SimulatedServer {
  readonly id: string;
  readonly capacity: number;
}

/** Requests a second by slice, and those of one busy key. */
export interface SimulatedLoad {
  readonly slices: readonly number[];
  readonly busyKey?: { readonly base: number; readonly rate: number };
}

/** A move that the grantor has started. */
export type StartedMove = GrantorEffect & { readonly kind: "moveStarted" };

/** A running simulation. */
export interface KeyLoadSimulation {
  /** Advances by so many seconds. */
  run(seconds: number, load: SimulatedLoad): void;
  state(): GrantorState;
  /** All moves since the start. */
  moves(): readonly StartedMove[];
  /** The slice that the busy key belongs to now. */
  sliceOfKey(load: SimulatedLoad): number;
  /** Requests a second that a server gets. */
  demandOf(id: string, load: SimulatedLoad): number;
  /** Ends a server: it renews no more and has no lease any more. */
  lose(id: string): void;
  /** What a server's renewals say of its limit from now on. */
  limit(id: string, requestsPerSecond: number | undefined): void;
}

const tickMilliseconds = 100;
const releaseMilliseconds = 300;
const renewalMilliseconds = 1_000;
/** Standard deviation of a weight that is measured over twenty requests. */
const weightNoise = 0.12;
const busyKey = "busy";

/** Starts a group in which all slices are free. */
export function simulateKeyLoad(options: {
  readonly servers: readonly SimulatedServer[];
  readonly settings: GrantorSettings;
  readonly seed: number;
}): KeyLoadSimulation {
  const random = seededRandom(options.seed);
  const roster = options.servers
    .map(({ id }) => ({ id, peerAddress: id }));
  let state = createGrantor(testTakeover({
    settings: options.settings,
    roster,
  }));
  let now = 0;
  /** The table version that first names the busy key. */
  let isolatedAt: FencingToken | null = null;
  const moves: StartedMove[] = [];
  const lost = new Set<string>();
  const limits = new Map<string, number | undefined>();
  const nudged = new Set<string>();
  /** The newest table of each server. */
  const versions = new Map<string, FencingToken>();
  const askedAt = new Map<number, number>();

  function noise(): number {
    return Math.sqrt(-2 * Math.log(1 - random())) *
      Math.cos(2 * Math.PI * random());
  }

  function feed(event: GrantorEvent): void {
    const next = stepGrantor(state, event);
    state = next.state;
    for (const effect of next.effects) {
      if (effect.kind === "moveStarted") moves.push(effect);
      if (effect.kind === "answer" && event.kind === "renewal") {
        const version = effect.answer.table?.version;
        if (version !== undefined) versions.set(event.renewal.id, version);
      }
      if (effect.kind === "isolated") {
        isolatedAt = { epoch: state.epoch, sequence: state.sequence };
      }
      if (effect.kind === "nudge") {
        for (const address of effect.peerAddresses) nudged.add(address);
      }
      if (effect.kind === "writeCheckpoint") {
        feed({ kind: "confirmed", askedAt: clocksAt(now) });
      }
    }
  }

  function sliceOfKey({ busyKey: key }: SimulatedLoad): number {
    const isolated = state.isolatedKeys.find((entry) => entry.key === busyKey);
    return isolated?.slice ?? key?.base ?? -1;
  }

  function rateOf(slice: number, load: SimulatedLoad): number {
    const rate = load.slices[slice] ?? 0;
    const busy = slice === sliceOfKey(load) ? load.busyKey?.rate ?? 0 : 0;
    return rate + busy;
  }

  /** A server counts by the table that it has. */
  function countedRate(id: string, slice: number, load: SimulatedLoad): number {
    const base = load.busyKey?.base;
    const own = sliceOfKey(load);
    const version = versions.get(id) ?? noToken;
    const knows = isolatedAt !== null &&
      compareTokens(version, isolatedAt) >= 0;
    if (own === base || knows) return rateOf(slice, load);
    if (slice === own) return 0;
    const moved = slice === base ? load.busyKey?.rate ?? 0 : 0;
    return rateOf(slice, load) + moved;
  }

  function heldBy(id: string): readonly number[] {
    return state.slices.flatMap((slice, index) =>
      (slice.kind === "held" || slice.kind === "moving") && slice.owner === id
        ? [index]
        : []
    );
  }

  function measured(rate: number): number {
    return Math.max(0, Math.round(rate + Math.sqrt(rate) * noise()));
  }

  function releasedBy(id: string): readonly Grant[] {
    return heldBy(id).flatMap((index) => {
      const slice = state.slices[index];
      if (slice?.kind !== "moving") return [];
      const since = askedAt.get(index) ?? now;
      askedAt.set(index, since);
      if (now - since < releaseMilliseconds) return [];
      askedAt.delete(index);
      return [{ slice: index, token: slice.token }];
    });
  }

  function renew(
    { id, capacity }: SimulatedServer,
    load: SimulatedLoad,
    reports: boolean,
  ): void {
    const held = heldBy(id);
    const keySlice = sliceOfKey(load);
    const rate = load.busyKey?.rate ?? 0;
    const isBusy = reports && rate > 0 && held.includes(keySlice);
    const renewal = testRenewal(id, {
      peerAddress: id,
      weight: Math.max(1, Math.round(capacity * (1 + weightNoise * noise()))),
      weightLimit: limits.get(id),
      tableVersion: versions.get(id) ?? noToken,
      released: releasedBy(id),
      sliceLoads: reports
        ? held.map((slice) => ({
          slice,
          requestsPerSecond: measured(countedRate(id, slice, load)),
        }))
        : [],
      keyLoads: isBusy
        ? [{ key: busyKey, slice: keySlice, requestsPerSecond: measured(rate) }]
        : [],
    });
    feed({ kind: "renewal", renewal, now: clocksAt(now) });
  }

  function tick(load: SimulatedLoad): void {
    now += tickMilliseconds;
    options.servers.forEach((server, index) => {
      if (lost.has(server.id)) return;
      const phase = index * tickMilliseconds;
      const regular = (now + phase) % renewalMilliseconds === 0;
      const releases = heldBy(server.id).some((slice) => askedAt.has(slice));
      if (regular || releases || nudged.delete(server.id)) {
        renew(server, load, regular);
      }
    });
    feed({ kind: "tick", now: clocksAt(now) });
  }

  return {
    run(seconds, load) {
      const ticks = seconds * 1_000 / tickMilliseconds;
      for (let count = 0; count < ticks; count += 1) tick(load);
    },
    state: () => state,
    moves: () => moves,
    sliceOfKey,
    demandOf: (id, load) =>
      heldBy(id).reduce((sum, slice) => sum + rateOf(slice, load), 0),
    lose: (id) => void lost.add(id),
    limit: (id, requestsPerSecond) => void limits.set(id, requestsPerSecond),
  };
}
