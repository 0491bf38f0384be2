/**
 * Property test of the grantor and holder decisions together, under interleaved
 * faults: lost, late and reordered messages, freezes, suspended clocks, lost
 * store replies, and several grantors at once. After every step, at most one
 * server may run work on a slice.
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
  slicesPerStripe: 1,
  maxConcurrentMoves: 2,
  imbalanceTolerance: 0.2,
  isolatedKeys: 2,
  isolation: {
    minLoadShare: 0.25,
    minRequestsPerSecond: 50,
    coldBelowRequestsPerSecond: 25,
  },
  initialAssignmentDelayMilliseconds: 0,
  delegationMilliseconds: 8_000,
};
const marginMilliseconds = 50;
const holderCount = 3;
const grantorCount = 3;

type Fate = "arrives" | "request-lost" | "reply-lost" | "reply-late";

type Action =
  /** All grantors, and servers that are not frozen, do their periodic work. */
  | { readonly kind: "round"; readonly milliseconds: number }
  /** A server admits work on every slice that it owns. */
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
    /** The number of a key that the server reports as busy; null for none. */
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
  /** The grantor before this one stops late, and sends its handover. */
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

/** Simulates servers, grantors, a store and the messages between them. */
class Simulation {
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
  /** For each grantor the one before it, while that one may still grant. */
  readonly previousGrantors = new Map<
    number,
    { readonly index: number; readonly epoch: number }
  >();
  runningWork: Work[] = [];
  /** For each server the delayed answer to its last renewal. */
  readonly lateAnswers = new Map<number, () => void>();

  clocks(server: Server): Clocks {
    return { monotonic: server.monotonic, wall: this.now };
  }

  grantorClocks(): Clocks {
    return { monotonic: this.now, wall: this.now };
  }

  run(action: Action): void {
    switch (action.kind) {
      case "advance":
        return this.advance(action.milliseconds);
      case "round":
        return this.round(action.milliseconds);
      case "admitAll":
        for (let slice = 0; slice < settings.hashedSlices; slice += 1) {
          this.admit({ ...action, kind: "admit", slice });
        }
        return;
      case "renew":
        return this.renew(action.holder, action.fate, action.busy ?? null);
      case "deliver":
        return this.deliver(action.holder);
      case "tick":
        this.feed(action.grantor, { kind: "tick", now: this.grantorClocks() });
        return;
      case "write":
        return this.write(action.grantor, action.fate);
      case "takeOver":
        return this.takeOver(action);
      case "handOver":
        return this.handOver(action.grantor);
      case "freeze":
        this.servers[action.holder]!.frozen = action.on;
        return;
      case "suspend":
        this.servers[action.holder]!.suspended = action.on;
        return;
      case "leave":
        this.servers[action.holder]!.leaving = action.on;
        return;
      case "admit":
        return this.admit(action);
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
    const ended = this.runningWork.filter((work) => work.endsAt <= this.now);
    this.runningWork = this.runningWork.filter((work) =>
      work.endsAt > this.now
    );
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
    // A holder cancels a late call before it starts another.
    this.lateAnswers.delete(index);
    if (answer === null || fate === "reply-lost") return;
    this.lateAnswers.set(index, () => {
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
    this.lateAnswers.get(index)?.();
    this.lateAnswers.delete(index);
  }

  write(index: number, fate: Fate): void {
    const state = this.grantors[index];
    if (
      state === null || state === undefined || state.unconfirmed === null
    ) return;
    if (fate === "request-lost" || this.stored === null) return;
    if (this.stored.epoch !== state.epoch) {
      this.grantors[index] = null;
      return;
    }
    this.stored = { ...this.stored, ...state.unconfirmed };
    // After a lost reply, a later read of the writer mark shows the outcome.
    if (fate === "reply-lost" || fate === "reply-late") return;
    this.feed(index, { kind: "confirmed", askedAt: this.grantorClocks() });
  }

  takeOver(action: Action & { readonly kind: "takeOver" }): void {
    const former = this.stored;
    this.marks += 1;
    this.stored = successorDelegation(former, {
      group: "g",
      grantor: `g${action.grantor}`,
      grantorAddress: `${action.grantor}`,
      durationMilliseconds: settings.delegationMilliseconds,
      hashedSlices: settings.hashedSlices,
      writerMark: `${this.marks}`,
    });
    const epoch = this.stored.epoch;
    const formerIndex = former === null ? null : Number(former.grantorAddress);
    const formerStopped = formerIndex === null ||
      formerIndex === action.grantor || action.formerReached;
    const handover = formerIndex !== null && formerStopped
      ? this.stopGrantor(formerIndex, former?.epoch)
      : undefined;
    const answers = this.stored.roster.flatMap((entry) => {
      const index = Number(entry.id.slice(1));
      const server = this.servers[index]!;
      if (server.frozen || action.reached[index] !== true) return [];
      server.state = stepHolder(server.state, { kind: "epochTaken", epoch });
      server.grantor = action.grantor;
      return [{
        id: entry.id,
        ...reportGrants(server.state, this.clocks(server)),
        weight: 1,
        checksFencing: false,
        leaving: server.leaving,
      }];
    });
    this.grantors[action.grantor] = createGrantor({
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
    for (const server of this.servers) server.grantor ??= action.grantor;
    this.previousGrantors.delete(action.grantor);
    if (formerIndex !== null && !formerStopped && former !== null) {
      this.previousGrantors.set(action.grantor, {
        index: formerIndex,
        epoch: former.epoch,
      });
    }
  }

  handOver(grantor: number): void {
    const former = this.previousGrantors.get(grantor);
    if (former === undefined) return;
    this.previousGrantors.delete(grantor);
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

  /** Stops a grantor; returns its handover if it has the expected epoch. */
  stopGrantor(index: number, epoch?: number): Handover | undefined {
    const state = this.grantors[index] ?? null;
    this.grantors[index] = null;
    if (state === null || state.epoch !== epoch) return undefined;
    return handoverOf(state, this.now);
  }

  admit(action: Action & { readonly kind: "admit" }): void {
    const server = this.servers[action.holder]!;
    if (server.frozen) return;
    const key = keyOf(action.slice);
    const slice = sliceOfKey(server.state.table, key, place);
    const decision = decideHold(server.state, slice, this.clocks(server));
    if (decision.kind !== "owned") return;
    server.state = stepHolder(server.state, { kind: "admitted", slice });
    this.runningWork.push({
      holder: action.holder,
      key,
      slice,
      endsAt: this.now + action.milliseconds,
    });
  }

  /** The servers that may admit, or still run, work on a key now. */
  activeOn(number: number): ReadonlySet<number> {
    const key = keyOf(number);
    const active = new Set(
      this.runningWork.filter((work) => work.key === key).map((work) =>
        work.holder
      ),
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

const actions: fc.Arbitrary<Action> = fc.oneof(
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

/** Lets all servers join, so that each run starts from a serving group. */
const joinAllServers: readonly Action[] = [
  {
    kind: "takeOver",
    grantor: 0,
    reached: [true, true, true],
    formerReached: true,
  },
  ...[0, 1, 2].map((holder): Action => ({
    kind: "renew",
    holder,
    fate: "arrives",
  })),
  { kind: "tick", grantor: 0 },
  { kind: "write", grantor: 0, fate: "arrives" },
  ...[0, 1, 2].map((holder): Action => ({
    kind: "renew",
    holder,
    fate: "arrives",
  })),
];

/** Takeovers in a row, the first of which gets no answer from two servers. */
const repeatedTakeovers: readonly Action[] = [
  {
    kind: "takeOver",
    grantor: 1,
    reached: [true, false, false],
    formerReached: false,
  },
  ...[1, 2].map((): Action => ({
    kind: "takeOver",
    grantor: 0,
    reached: [false, false, false],
    formerReached: false,
  })),
  ...[10, 153, 126, 355, 129, 106, 262, 259, 300, 300, 300, 300].map((
    milliseconds,
  ): Action => ({ kind: "round", milliseconds })),
];

function renewBusy(busy: number): Action {
  return { kind: "renew", holder: 0, fate: "arrives", busy };
}

/** A key rejoins its base slice, whose server leaves while work on it runs. */
const rejoinedKey: readonly Action[] = [
  renewBusy(0),
  renewBusy(2),
  { kind: "round", milliseconds: 10 },
  renewBusy(1),
  { kind: "admitAll", holder: 0, milliseconds: 100 },
  { kind: "leave", holder: 0, on: true },
  ...[10, 10, 10, 10].map((milliseconds): Action => ({
    kind: "round",
    milliseconds,
  })),
];

const runs = Number(process.env["FAST_CHECK_RUNS"] ?? 6_000);
const seed = Number(process.env["FAST_CHECK_SEED"] ?? 20_261_204);

describe("ownership", () => {
  describe("under interleaved faults", () => {
    it("never lets two servers run work on one slice", () => {
      fc.assert(
        fc.property(
          fc.array(actions, { minLength: 20, maxLength: 120 }),
          (steps) => {
            const simulation = new Simulation();
            for (const action of [...joinAllServers, ...steps]) {
              simulation.run(action);
              for (let slice = 0; slice < settings.hashedSlices; slice += 1) {
                const active = [...simulation.activeOn(slice)];
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
          examples: [[[...repeatedTakeovers]], [[...rejoinedKey]]],
        },
      );
    });
  });

  describe("of a hot key that gets a slice of its own", () => {
    function isolated(): Simulation {
      const simulation = new Simulation();
      for (const action of joinAllServers) simulation.run(action);
      for (const holder of [0, 1, 2]) {
        simulation.run({ kind: "renew", holder, fate: "arrives", busy: 2 });
      }
      simulation.run({ kind: "tick", grantor: 0 });
      simulation.run({ kind: "write", grantor: 0, fate: "arrives" });
      return simulation;
    }

    it("stays with the same server", () => {
      const simulation = isolated();
      assert.deepEqual(
        simulation.stored?.isolatedKeys.map((entry) => entry.key),
        ["k2"],
      );
      const before = [...simulation.activeOn(2)];
      for (const holder of [0, 1, 2]) {
        simulation.run({ kind: "renew", holder, fate: "arrives" });
      }
      assert.deepEqual([...simulation.activeOn(2)], before);
    });

    it("moves only after requests from before its isolation have ended", () => {
      const simulation = isolated();
      const [owner = 0] = simulation.activeOn(2);
      simulation.run({
        kind: "admit",
        holder: owner,
        slice: 2,
        milliseconds: 400,
      });
      simulation.run({ kind: "leave", holder: owner, on: true });
      for (let round = 0; round < 60; round += 1) {
        simulation.run({ kind: "round", milliseconds: 20 });
        assert.ok(simulation.activeOn(2).size <= 1, `round ${round}`);
      }
      assert.notEqual([...simulation.activeOn(2)][0], owner);
    });

    it("stays with a holder that does not know of it at a takeover", () => {
      const simulation = isolated();
      const before = [...simulation.activeOn(2)];
      simulation.run({
        kind: "takeOver",
        grantor: 1,
        reached: [true, true, true],
        formerReached: false,
      });
      const slice = simulation.grantors[1]?.slices[settings.hashedSlices];
      assert.ok(slice?.kind === "held");
      assert.equal(slice.owner, `s${before[0]}`);
      simulation.run({ kind: "round", milliseconds: 10 });
      assert.deepEqual([...simulation.activeOn(2)], before);
    });
  });

  describe("without faults", () => {
    it("gives every slice an owner", () => {
      const simulation = new Simulation();
      for (const action of joinAllServers) simulation.run(action);
      for (let slice = 0; slice < settings.hashedSlices; slice += 1) {
        assert.equal(simulation.activeOn(slice).size, 1, `slice ${slice}`);
      }
    });

    it("reassigns a lost server's slices soon after lease and deadline", () => {
      const simulation = new Simulation();
      for (const action of joinAllServers) simulation.run(action);
      simulation.servers[0]!.frozen = true;
      const lostAt = simulation.now;
      const allReassigned = () =>
        [0, 1, 2, 3, 4, 5].every((slice) =>
          [...simulation.activeOn(slice)].some((index) => index !== 0)
        );
      while (!allReassigned() && simulation.now < lostAt + 10_000) {
        simulation.advance(100);
        simulation.run({ kind: "tick", grantor: 0 });
        simulation.run({ kind: "write", grantor: 0, fate: "arrives" });
        simulation.run({ kind: "renew", holder: 1, fate: "arrives" });
        simulation.run({ kind: "renew", holder: 2, fate: "arrives" });
      }
      const took = simulation.now - lostAt;
      const bound = settings.leaseMilliseconds +
        settings.longestDeadlineMilliseconds + 200;
      assert.ok(took <= bound, `took ${took} ms`);
    });
  });
});
