/**
 * The grantor and holder decisions together, under interleaved faults: lost,
 * late and crossed messages, freezes, suspended clocks, lost store replies,
 * and several grantors at once. After every step no two servers may run work
 * on one slice.
 */
import assert from "node:assert/strict";
import process from "node:process";
import { describe, it } from "node:test";
import fc from "fast-check";
import type { Clocks } from "../clocks.ts";
import { type Delegation, successorDelegation } from "./delegation.ts";
import { handoverOf } from "./handover.ts";
import type { Handover } from "./handover_message.ts";
import { delegationEnded, stepGrantor } from "./grantor.ts";
import type {
  GrantorEvent,
  GrantorSettings,
  GrantorState,
} from "./grantor_state.ts";
import {
  createHolder,
  decideHold,
  type HolderState,
  reportGrants,
  stepHolder,
} from "./holder.ts";
import type { Renewal, RenewalAnswer } from "./renewal.ts";
import { type PlaceKey, sliceOfKey } from "./table.ts";
import { createGrantor } from "./takeover.ts";

const settings: GrantorSettings = {
  leaseMilliseconds: 1_000,
  longestDeadlineMilliseconds: 400,
  hashedSlices: 6,
  stripeSlices: 1,
  movesAtOnce: 2,
  toleratedShare: 0.2,
  isolatedKeys: 2,
  isolation: {
    minLoadShare: 0.25,
    minRequestsPerSecond: 50,
    coldBelowRequestsPerSecond: 25,
  },
  gatherMilliseconds: 0,
  delegationMilliseconds: 8_000,
};
const marginMilliseconds = 50;
const holderCount = 3;
const grantorCount = 3;

type Fate = "arrives" | "request-lost" | "reply-lost" | "reply-late";

type Move =
  /** All that is not frozen does its periodic work, without a fault. */
  | { readonly kind: "round"; readonly milliseconds: number }
  /** A server admits work on all that it owns. */
  | {
    readonly kind: "admitAll";
    readonly holder: number;
    readonly milliseconds: number;
  }
  | { readonly kind: "advance"; readonly milliseconds: number }
  | {
    readonly kind: "renew";
    readonly holder: number;
    readonly fate: Fate;
    /** The number of a key that is busy just now; null for none. */
    readonly busy?: number | null;
  }
  | { readonly kind: "deliver"; readonly holder: number }
  | { readonly kind: "tick"; readonly grantor: number }
  | { readonly kind: "write"; readonly grantor: number; readonly fate: Fate }
  | {
    readonly kind: "takeOver";
    readonly grantor: number;
    readonly reached: readonly boolean[];
    readonly formerReached: boolean;
  }
  /** The former of a grantor stops late, and tells what it leaves. */
  | { readonly kind: "handOver"; readonly grantor: number }
  | { readonly kind: "freeze"; readonly holder: number; readonly on: boolean }
  | { readonly kind: "suspend"; readonly holder: number; readonly on: boolean }
  | { readonly kind: "leave"; readonly holder: number; readonly on: boolean }
  | {
    readonly kind: "admit";
    readonly holder: number;
    readonly slice: number;
    readonly milliseconds: number;
  };

interface Work {
  readonly holder: number;
  readonly key: string;
  readonly slice: number;
  readonly endsAt: number;
}

interface Server {
  state: HolderState;
  grantor: number | null;
  frozen: boolean;
  suspended: boolean;
  leaving: boolean;
  monotonic: number;
}

/** A key for each slice that keys are hashed to. */
function keyOf(number: number): string {
  return `k${number}`;
}

const place: PlaceKey = (text, slices) => Number(text.slice(1)) % slices;

/** Just enough of a world to carry the decisions' messages. */
class World {
  now = 1_000;
  stored: Delegation | null = null;
  marks = 0;
  readonly servers: Server[] = Array.from(
    { length: holderCount },
    (_, index) => ({
      state: createHolder({
        id: `s${index}`,
        group: "g",
        marginMilliseconds,
      }),
      grantor: null,
      frozen: false,
      suspended: false,
      leaving: false,
      monotonic: 1_000,
    }),
  );
  readonly grantors: (GrantorState | null)[] = Array.from(
    { length: grantorCount },
    () => null,
  );
  /** For each grantor the one that it followed, while that may still grant. */
  readonly formers = new Map<
    number,
    { readonly index: number; readonly epoch: number }
  >();
  works: Work[] = [];
  /** For each server the answer of its one call that is still under way. */
  readonly late = new Map<number, () => void>();

  clocks(server: Server): Clocks {
    return { monotonic: server.monotonic, wall: this.now };
  }

  grantorClocks(): Clocks {
    return { monotonic: this.now, wall: this.now };
  }

  run(move: Move): void {
    switch (move.kind) {
      case "advance":
        return this.advance(move.milliseconds);
      case "round":
        return this.round(move.milliseconds);
      case "admitAll":
        for (let slice = 0; slice < settings.hashedSlices; slice += 1) {
          this.admit({ ...move, kind: "admit", slice });
        }
        return;
      case "renew":
        return this.renew(move.holder, move.fate, move.busy ?? null);
      case "deliver":
        return this.deliver(move.holder);
      case "tick":
        this.feed(move.grantor, { kind: "tick", now: this.grantorClocks() });
        return;
      case "write":
        return this.write(move.grantor, move.fate);
      case "takeOver":
        return this.takeOver(move);
      case "handOver":
        return this.handOver(move.grantor);
      case "freeze":
        this.servers[move.holder]!.frozen = move.on;
        return;
      case "suspend":
        this.servers[move.holder]!.suspended = move.on;
        return;
      case "leave":
        this.servers[move.holder]!.leaving = move.on;
        return;
      case "admit":
        return this.admit(move);
    }
  }

  round(milliseconds: number): void {
    this.advance(milliseconds);
    for (let index = 0; index < grantorCount; index += 1) {
      this.run({ kind: "tick", grantor: index });
      this.write(index, "arrives");
    }
    for (let index = 0; index < holderCount; index += 1) {
      this.renew(index, "arrives");
    }
  }

  advance(milliseconds: number): void {
    this.now += milliseconds;
    for (const server of this.servers) {
      if (!server.suspended) server.monotonic += milliseconds;
    }
    const ended = this.works.filter((work) => work.endsAt <= this.now);
    this.works = this.works.filter((work) => work.endsAt > this.now);
    for (const work of ended) {
      const server = this.servers[work.holder]!;
      server.state = stepHolder(server.state, {
        kind: "finished",
        slice: work.slice,
      });
    }
  }

  feed(index: number, event: GrantorEvent): RenewalAnswer | null {
    const state = this.grantors[index];
    if (state === null || state === undefined) return null;
    if (delegationEnded(state, this.grantorClocks())) {
      this.grantors[index] = null;
      return null;
    }
    const next = stepGrantor(state, event);
    this.grantors[index] = next.state;
    let answer: RenewalAnswer | null = null;
    for (const effect of next.effects) {
      if (effect.kind === "answer") answer = effect.answer;
    }
    return answer;
  }

  renew(index: number, fate: Fate, busy: number | null = null): void {
    const server = this.servers[index]!;
    if (server.frozen || server.grantor === null) return;
    if (this.grantors[server.grantor] === null && this.stored !== null) {
      server.grantor = Number(this.stored.grantorAddress);
    }
    if (fate === "request-lost") return;
    const askedAt = this.clocks(server);
    const renewal: Renewal = {
      group: "g",
      epoch: server.state.epoch,
      id: server.state.id,
      peerAddress: "127.0.0.1:1",
      weight: 1,
      checksFencing: false,
      leaving: server.leaving,
      ...reportGrants(server.state, this.clocks(server)),
      released: server.state.released,
      emptied: false,
      tableVersion: server.state.table.version,
      sliceLoads: [],
      keyLoads: busy === null ? [] : [{
        key: keyOf(busy),
        slice: busy,
        requestsPerSecond: 1_000,
      }],
    };
    const answer = this.feed(server.grantor, {
      kind: "renewal",
      renewal,
      now: this.grantorClocks(),
    });
    // A holder gives up a call that is late before it starts another.
    this.late.delete(index);
    if (answer === null || fate === "reply-lost") return;
    this.late.set(index, () => {
      server.state = stepHolder(server.state, {
        kind: "answered",
        askedAt,
        answer,
        reported: renewal.released,
      });
    });
    if (fate === "arrives") this.deliver(index);
  }

  deliver(index: number): void {
    if (this.servers[index]!.frozen) return;
    this.late.get(index)?.();
    this.late.delete(index);
  }

  write(index: number, fate: Fate): void {
    const state = this.grantors[index];
    if (
      state === null || state === undefined || state.pendingCheckpoint === null
    ) return;
    if (fate === "request-lost" || this.stored === null) return;
    if (this.stored.epoch !== state.epoch) {
      this.grantors[index] = null;
      return;
    }
    this.stored = { ...this.stored, ...state.pendingCheckpoint };
    // A lost reply is settled by reading the mark back, later.
    if (fate === "reply-lost" || fate === "reply-late") return;
    this.feed(index, { kind: "confirmed", askedAt: this.grantorClocks() });
  }

  takeOver(move: Move & { readonly kind: "takeOver" }): void {
    const former = this.stored;
    this.marks += 1;
    this.stored = successorDelegation(former, {
      group: "g",
      grantor: `g${move.grantor}`,
      grantorAddress: `${move.grantor}`,
      durationMilliseconds: settings.delegationMilliseconds,
      hashedSlices: settings.hashedSlices,
      writerMark: `${this.marks}`,
    });
    const epoch = this.stored.epoch;
    const formerIndex = former === null ? null : Number(former.grantorAddress);
    const formerStopped = formerIndex === null ||
      formerIndex === move.grantor || move.formerReached;
    const handover = formerIndex !== null && formerStopped
      ? this.stopGrantor(formerIndex, former?.epoch)
      : undefined;
    const answers = this.stored.roster.flatMap((entry) => {
      const index = Number(entry.id.slice(1));
      const server = this.servers[index]!;
      if (server.frozen || move.reached[index] !== true) return [];
      server.state = stepHolder(server.state, { kind: "epochTaken", epoch });
      server.grantor = move.grantor;
      return [{
        id: entry.id,
        ...reportGrants(server.state, this.clocks(server)),
        weight: 1,
        checksFencing: false,
        leaving: server.leaving,
      }];
    });
    this.grantors[move.grantor] = createGrantor({
      group: "g",
      epoch,
      settings,
      roster: this.stored.roster,
      answers,
      earlierStopped: formerStopped && former?.earlierMayGrant !== true,
      hasEarlierGrantor: former !== null,
      formerDelegationMilliseconds: former?.durationMilliseconds ?? 0,
      askedAt: this.grantorClocks(),
      isolatedKeys: this.stored.isolatedKeys,
      handover,
      now: this.grantorClocks(),
    });
    for (const server of this.servers) server.grantor ??= move.grantor;
    this.formers.delete(move.grantor);
    if (formerIndex !== null && !formerStopped && former !== null) {
      this.formers.set(move.grantor, {
        index: formerIndex,
        epoch: former.epoch,
      });
    }
  }

  handOver(grantor: number): void {
    const former = this.formers.get(grantor);
    if (former === undefined) return;
    this.formers.delete(grantor);
    const { index, epoch } = former;
    if (this.grantors[index]?.epoch !== epoch) return;
    const handover = this.stopGrantor(index, epoch);
    if (handover === undefined) return;
    this.feed(grantor, {
      kind: "handover",
      handover,
      now: this.grantorClocks(),
    });
  }

  /** What the grantor here tells its successor, if it is the one meant. */
  stopGrantor(index: number, epoch?: number): Handover | undefined {
    const state = this.grantors[index] ?? null;
    this.grantors[index] = null;
    if (state === null || state.epoch !== epoch) return undefined;
    return handoverOf(state, this.now);
  }

  admit(move: Move & { readonly kind: "admit" }): void {
    const server = this.servers[move.holder]!;
    if (server.frozen) return;
    const key = keyOf(move.slice);
    const slice = sliceOfKey(server.state.table, key, place);
    const decision = decideHold(server.state, slice, this.clocks(server));
    if (decision.kind !== "owned") return;
    server.state = stepHolder(server.state, { kind: "admitted", slice });
    this.works.push({
      holder: move.holder,
      key,
      slice,
      endsAt: this.now + move.milliseconds,
    });
  }

  /** Who may admit, or still runs, work on a key now. */
  activeOn(number: number): ReadonlySet<number> {
    const key = keyOf(number);
    const active = new Set(
      this.works.filter((work) => work.key === key).map((work) => work.holder),
    );
    this.servers.forEach((server, index) => {
      const slice = sliceOfKey(server.state.table, key, place);
      const decision = decideHold(server.state, slice, this.clocks(server));
      if (decision.kind === "owned") active.add(index);
    });
    return active;
  }
}

const holder = fc.integer({ min: 0, max: holderCount - 1 });
const grantor = fc.integer({ min: 0, max: grantorCount - 1 });
const fate = fc.oneof(
  { weight: 6, arbitrary: fc.constant<Fate>("arrives") },
  {
    weight: 3,
    arbitrary: fc.constantFrom<Fate>(
      "request-lost",
      "reply-lost",
      "reply-late",
    ),
  },
);

const workMilliseconds = fc.integer({
  min: 1,
  max: settings.longestDeadlineMilliseconds,
});

const moves: fc.Arbitrary<Move> = fc.oneof(
  {
    weight: 14,
    arbitrary: fc.record({
      kind: fc.constant("round" as const),
      milliseconds: fc.integer({ min: 10, max: 300 }),
    }),
  },
  {
    weight: 8,
    arbitrary: fc.record({
      kind: fc.constant("admitAll" as const),
      holder,
      milliseconds: workMilliseconds,
    }),
  },
  {
    weight: 6,
    arbitrary: fc.record({
      kind: fc.constant("advance" as const),
      milliseconds: fc.integer({ min: 10, max: 700 }),
    }),
  },
  {
    weight: 6,
    arbitrary: fc.record({
      kind: fc.constant("renew" as const),
      holder,
      fate,
      busy: fc.option(fc.integer({ min: 0, max: settings.hashedSlices - 1 })),
    }),
  },
  {
    weight: 4,
    arbitrary: fc.record({ kind: fc.constant("deliver" as const), holder }),
  },
  {
    weight: 6,
    arbitrary: fc.record({ kind: fc.constant("tick" as const), grantor }),
  },
  {
    weight: 5,
    arbitrary: fc.record({
      kind: fc.constant("write" as const),
      grantor,
      fate,
    }),
  },
  {
    weight: 2,
    arbitrary: fc.record({
      kind: fc.constant("takeOver" as const),
      grantor,
      reached: fc.array(fc.boolean(), { minLength: 3, maxLength: 3 }),
      formerReached: fc.boolean(),
    }),
  },
  {
    weight: 3,
    arbitrary: fc.record({ kind: fc.constant("handOver" as const), grantor }),
  },
  {
    weight: 4,
    arbitrary: fc.record({
      kind: fc.constantFrom("freeze" as const, "suspend" as const),
      holder,
      on: fc.boolean(),
    }),
  },
  {
    weight: 2,
    arbitrary: fc.record({
      kind: fc.constant("leave" as const),
      holder,
      on: fc.boolean(),
    }),
  },
  {
    weight: 6,
    arbitrary: fc.record({
      kind: fc.constant("admit" as const),
      holder,
      slice: fc.integer({ min: 0, max: settings.hashedSlices - 1 }),
      milliseconds: workMilliseconds,
    }),
  },
);

/** Joins all servers, so that runs start from a mesh that serves. */
const opening: readonly Move[] = [
  {
    kind: "takeOver",
    grantor: 0,
    reached: [true, true, true],
    formerReached: true,
  },
  ...[0, 1, 2].map((holder): Move => ({
    kind: "renew",
    holder,
    fate: "arrives",
  })),
  { kind: "tick", grantor: 0 },
  { kind: "write", grantor: 0, fate: "arrives" },
  ...[0, 1, 2].map((holder): Move => ({
    kind: "renew",
    holder,
    fate: "arrives",
  })),
];

/** Two takeovers in a row, the first of which left a server unheard. */
const forgottenGrantor: readonly Move[] = [
  {
    kind: "takeOver",
    grantor: 1,
    reached: [true, false, false],
    formerReached: false,
  },
  ...[1, 2].map((): Move => ({
    kind: "takeOver",
    grantor: 0,
    reached: [false, false, false],
    formerReached: false,
  })),
  ...[10, 153, 126, 355, 129, 106, 262, 259, 300, 300, 300, 300].map((
    milliseconds,
  ): Move => ({ kind: "round", milliseconds })),
];

function renewBusy(busy: number): Move {
  return { kind: "renew", holder: 0, fate: "arrives", busy };
}

/** A key goes back to its base, which leaves while the key's work runs. */
const rejoinedKey: readonly Move[] = [
  renewBusy(0),
  renewBusy(2),
  { kind: "round", milliseconds: 10 },
  renewBusy(1),
  { kind: "admitAll", holder: 0, milliseconds: 100 },
  { kind: "leave", holder: 0, on: true },
  ...[10, 10, 10, 10].map((milliseconds): Move => ({
    kind: "round",
    milliseconds,
  })),
];

const runs = Number(process.env["FAST_CHECK_RUNS"] ?? 6_000);
const seed = Number(process.env["FAST_CHECK_SEED"] ?? 20_261_204);

describe("ownership", () => {
  describe("under interleaved faults", () => {
    it("never lets two servers work on one slice", () => {
      fc.assert(
        fc.property(
          fc.array(moves, { minLength: 20, maxLength: 120 }),
          (steps) => {
            const world = new World();
            for (const move of [...opening, ...steps]) {
              world.run(move);
              for (let slice = 0; slice < settings.hashedSlices; slice += 1) {
                const active = [...world.activeOn(slice)];
                assert.ok(
                  active.length <= 1,
                  `slice ${slice} has owners ${active}`,
                );
              }
            }
          },
        ),
        {
          numRuns: runs,
          seed,
          examples: [[[...forgottenGrantor]], [[...rejoinedKey]]],
        },
      );
    });
  });

  describe("of a hot key", () => {
    function isolated(): World {
      const world = new World();
      for (const move of opening) world.run(move);
      for (const holder of [0, 1, 2]) {
        world.run({ kind: "renew", holder, fate: "arrives", busy: 2 });
      }
      world.run({ kind: "tick", grantor: 0 });
      world.run({ kind: "write", grantor: 0, fate: "arrives" });
      return world;
    }

    it("stays where it is when it gets a slice of its own", () => {
      const world = isolated();
      assert.deepEqual(
        world.stored?.isolatedKeys.map((entry) => entry.key),
        ["k2"],
      );
      const before = [...world.activeOn(2)];
      for (const holder of [0, 1, 2]) {
        world.run({ kind: "renew", holder, fate: "arrives" });
      }
      assert.deepEqual([...world.activeOn(2)], before);
    });

    it("waits with its move for what ran on it before", () => {
      const world = isolated();
      const [owner = 0] = world.activeOn(2);
      world.run({ kind: "admit", holder: owner, slice: 2, milliseconds: 400 });
      world.run({ kind: "leave", holder: owner, on: true });
      for (let round = 0; round < 60; round += 1) {
        world.run({ kind: "round", milliseconds: 20 });
        assert.ok(world.activeOn(2).size <= 1, `round ${round}`);
      }
      assert.notEqual([...world.activeOn(2)][0], owner);
    });

    it("stays with a holder that had not heard of it at a takeover", () => {
      const world = isolated();
      const before = [...world.activeOn(2)];
      world.run({
        kind: "takeOver",
        grantor: 1,
        reached: [true, true, true],
        formerReached: false,
      });
      const slice = world.grantors[1]?.slices[settings.hashedSlices];
      assert.ok(slice?.kind === "held");
      assert.equal(slice.owner, `s${before[0]}`);
      world.run({ kind: "round", milliseconds: 10 });
      assert.deepEqual([...world.activeOn(2)], before);
    });
  });

  describe("without faults", () => {
    it("gives every slice an owner", () => {
      const world = new World();
      for (const move of opening) world.run(move);
      for (let slice = 0; slice < settings.hashedSlices; slice += 1) {
        assert.equal(world.activeOn(slice).size, 1, `slice ${slice}`);
      }
    });

    it("serves a lost server's slices again after lease and deadline", () => {
      const world = new World();
      for (const move of opening) world.run(move);
      world.servers[0]!.frozen = true;
      const lostAt = world.now;
      const whole = () =>
        [0, 1, 2, 3, 4, 5].every((slice) =>
          [...world.activeOn(slice)].some((index) => index !== 0)
        );
      while (!whole() && world.now < lostAt + 10_000) {
        world.advance(100);
        world.run({ kind: "tick", grantor: 0 });
        world.run({ kind: "write", grantor: 0, fate: "arrives" });
        world.run({ kind: "renew", holder: 1, fate: "arrives" });
        world.run({ kind: "renew", holder: 2, fate: "arrives" });
      }
      const took = world.now - lostAt;
      const bound = settings.leaseMilliseconds +
        settings.longestDeadlineMilliseconds + 200;
      assert.ok(took <= bound, `took ${took} ms`);
    });
  });
});
