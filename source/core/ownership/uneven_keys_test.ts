import assert from "node:assert/strict";
import { describe, it } from "node:test";
import {
  type KeyLoadSimulation,
  type SimulatedLoad,
  simulateKeyLoad,
} from "../../../tests/key_load_simulation.ts";
import { testGrantorSettings } from "../../../tests/test_grantor.ts";

/**
 * The keyed service of deployment 1: 32 targets with speeds of 0.6, 1.0 and 1.6
 * times the usual, and two classes with 649 and 340 requests a second. The
 * usual speed is such that this is 0.75 of the capacity.
 */
const requestsPerSecond = 649 + 340;
const speeds = [0.6, 1, 1.6];
const speedOf = (index: number) => speeds[index % speeds.length] ?? 1;
const speedSum = Array.from({ length: 32 }, (_, index) => speedOf(index))
  .reduce((sum, speed) => sum + speed, 0);
const servers = Array.from({ length: 32 }, (_, index) => ({
  id: `host-${index}/1`,
  capacity: speedOf(index) * requestsPerSecond / 0.75 / speedSum,
}));
const fastest = Math.max(...servers.map(({ capacity }) => capacity));
const hashedSlices = 512;
const unevenDemand = {
  intervalMilliseconds: 10_000,
  maxKeyShare: 0.08,
  evenOutPart: 0.25,
  minStayMilliseconds: 10_000,
};
const settings = {
  ...testGrantorSettings,
  hashedSlices,
  slicesPerStripe: 4,
  maxConcurrentMoves: 16,
  imbalanceTolerance: 0.5,
  isolatedKeys: 16,
  isolation: {
    minLoadShare: 0.08,
    minRequestsPerSecond: 4,
    coldBelowRequestsPerSecond: 0,
  },
  initialAssignmentDelayMilliseconds: 1_500,
  delegationMilliseconds: 1_000_000,
  unevenDemand,
};

const evenSlices = Array.from(
  { length: hashedSlices },
  () => requestsPerSecond / hashedSlices,
);
const even: SimulatedLoad = { slices: evenSlices };
/** The steady state is reached within this time. */
const startSeconds = 60;
/** Such demand lasts at least this long. */
const shortestSeconds = 5;

function start(seed: number): KeyLoadSimulation {
  const simulation = simulateKeyLoad({ servers, settings, seed });
  simulation.run(startSeconds, even);
  return simulation;
}

/** A server of this speed that holds slices, and one of its slices. */
function serverOfSpeed(simulation: KeyLoadSimulation, speed: number) {
  const index = servers.findIndex((_, index) => speedOf(index) === speed);
  const server = servers[index] ?? assert.fail();
  const base = simulation.state().slices.findIndex((slice) =>
    slice.kind === "held" && slice.owner === server.id
  );
  return { server, base };
}

function ownerOfKey(simulation: KeyLoadSimulation, load: SimulatedLoad) {
  const slice = simulation.state().slices[simulation.sliceOfKey(load)];
  if (slice?.kind !== "held") return assert.fail(`${slice?.kind}`);
  return servers.find(({ id }) => id === slice.owner) ?? assert.fail();
}

/** Requests a second above the capacity of their servers. */
function excess(
  simulation: KeyLoadSimulation,
  load: SimulatedLoad,
  without = "",
): number {
  return servers.filter(({ id }) => id !== without)
    .map(({ id, capacity }) => simulation.demandOf(id, load) - capacity)
    .reduce((sum, above) => sum + Math.max(0, above), 0);
}

function keyMoves(simulation: KeyLoadSimulation, load: SimulatedLoad): number {
  const slice = simulation.sliceOfKey(load);
  return simulation.moves().filter((move) => move.slice === slice).length;
}

/** The most moves that the budget allows in so many seconds. */
function maxMoves(seconds: number): number {
  const intervals = Math.ceil(seconds * 1_000 / 10_000) + 1;
  return intervals * unevenDemand.maxKeyShare * hashedSlices;
}

/** Load that isn't refused, in spite of noise in what is measured. */
const tolerated = 0.02 * requestsPerSecond;

for (const seed of [3, 17]) {
  describe(`32 servers of unequal speed (seed ${seed})`, () => {
    describe("with even load", () => {
      // Guards against moves that follow noise: all keys moved 2.67 times a day.
      it("move few slices, and leave no server above its capacity", () => {
        const simulation = start(seed);
        const before = simulation.moves().length;
        simulation.run(60, even);
        const moves = simulation.moves().length - before;
        assert.ok(moves <= 0.1 * hashedSlices, `${moves} moves`);
        const above = excess(simulation, even);
        assert.ok(above <= tolerated, `${above} above capacity`);
      });
    });

    describe("with a busy key that a fast server can run", () => {
      // Guards against refusals at a slow server beside idle capacity.
      it("give it to a fast server and move its other slices away", () => {
        const simulation = start(seed);
        const { base, server } = serverOfSpeed(simulation, 0.6);
        const rate = 0.9 * fastest;
        const load = { ...even, busyKey: { base, rate } };
        const before = simulation.moves().length;
        simulation.run(shortestSeconds, load);
        const owner = ownerOfKey(simulation, load);
        assert.ok(server.capacity < rate && owner.capacity >= rate);
        const above = excess(simulation, load);
        assert.ok(above <= tolerated, `${above} above capacity`);
        simulation.run(15, load);
        assert.equal(keyMoves(simulation, load), 1);
        const moves = simulation.moves().length - before;
        assert.ok(moves <= maxMoves(20), `${moves} moves`);
      });
    });

    describe("with a key that no server can run alone", () => {
      it("serve it where most can be served, and move it once", () => {
        const simulation = start(seed);
        const { base } = serverOfSpeed(simulation, 1);
        const rate = 0.3 * requestsPerSecond;
        const load = { ...even, busyKey: { base, rate } };
        simulation.run(20, load);
        const owner = ownerOfKey(simulation, load);
        assert.equal(owner.capacity, fastest);
        assert.equal(keyMoves(simulation, load), 1);
        const others = excess(simulation, load, owner.id);
        assert.ok(others <= tolerated, `${others} above capacity`);
        const beside = simulation.demandOf(owner.id, load) - rate;
        assert.ok(beside <= tolerated, `${beside} beside the key`);
      });
    });

    describe("with a run of busy neighbouring slices", () => {
      it("divide the run within the shortest time that it lasts", () => {
        const simulation = start(seed);
        const { base } = serverOfSpeed(simulation, 0.6);
        // The platform's stripes have four slices: most of the run is together.
        const first = Math.min(hashedSlices - 8, base);
        const slices = evenSlices.map((rate, slice) =>
          slice >= first && slice < first + 8 ? rate * 10 : rate
        );
        const before = simulation.moves().length;
        simulation.run(shortestSeconds, { slices });
        const above = excess(simulation, { slices });
        assert.ok(above <= tolerated, `${above} above capacity`);
        const moves = simulation.moves().length - before;
        assert.ok(moves <= maxMoves(shortestSeconds), `${moves} moves`);
      });
    });

    describe("whose destination is lost halfway", () => {
      // Guards against a key that waits for a server that is gone.
      it("give the busy key to another fast server, under newer tokens", () => {
        const simulation = start(seed);
        const { base } = serverOfSpeed(simulation, 0.6);
        const load = { ...even, busyKey: { base, rate: 0.9 * fastest } };
        const inMove = () => {
          const slice = simulation.state().slices[simulation.sliceOfKey(load)];
          return slice?.kind === "moving" ? slice : null;
        };
        for (let tick = 0; tick < 50 && inMove() === null; tick += 1) {
          simulation.run(0.1, load);
        }
        const { token, destination } = inMove() ?? assert.fail("not moved");
        simulation.lose(destination);
        const used = simulation.state().moveBudget.started.length;
        simulation.run(settings.leaseMilliseconds / 1_000 + 15, load);
        const owner = ownerOfKey(simulation, load);
        assert.notEqual(owner.id, destination);
        assert.equal(owner.capacity, fastest);
        const slice = simulation.state().slices[simulation.sliceOfKey(load)];
        assert.ok(slice?.kind === "held");
        assert.ok(slice.token.sequence > token.sequence);
        assert.ok(used > 0, "the move counts against the budget");
      });
    });

    describe("of which some are limited at this moment", () => {
      it("move nothing to these", () => {
        const simulation = start(seed);
        const { base } = serverOfSpeed(simulation, 0.6);
        const limited = servers.filter((_, index) => index % 4 === 0);
        for (const { id } of limited) simulation.limit(id, 1_000);
        simulation.run(1, even);
        const before = simulation.moves().length;
        const load = { ...even, busyKey: { base, rate: 0.9 * fastest } };
        simulation.run(shortestSeconds, load);
        const moves = simulation.moves().slice(before);
        assert.ok(moves.length > 0);
        for (const { destination } of moves) {
          assert.ok(!limited.some(({ id }) => id === destination));
        }
      });
    });
  });
}
