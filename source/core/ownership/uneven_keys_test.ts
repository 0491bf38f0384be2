import assert from "node:assert/strict";
import { describe, it } from "node:test";
import {
  type KeyLoadSimulation,
  type SimulatedLoad,
  simulateKeyLoad,
} from "../../../tests/key_load_simulation.ts";
import { testGrantorSettings } from "../../../tests/test_grantor.ts";

/**
 * The keyed services of two deployments. The usual speed is such that the load
 * is 0.75 of the capacity.
 */
const deployments = [
  { count: 32, speeds: [0.6, 1, 1.6], requestsPerSecond: 649 + 340, seed: 3 },
  { count: 26, speeds: [0.7, 0.7, 1.6], requestsPerSecond: 769, seed: 17 },
];
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

/** The steady state is reached within this time. */
const startSeconds = 60;
/** Such demand lasts at least this long. */
const shortestSeconds = 5;

function keyMoves(simulation: KeyLoadSimulation, load: SimulatedLoad): number {
  const slice = simulation.sliceOfKey(load);
  return simulation.moves().filter((move) => move.slice === slice).length;
}

/** The most moves that the budget allows in so many seconds. */
function maxMoves(seconds: number): number {
  const intervals = Math.ceil(seconds * 1_000 / 10_000) + 1;
  return intervals * unevenDemand.maxKeyShare * hashedSlices;
}

deployments.forEach(defineTests);

function defineTests(
  { count, speeds, requestsPerSecond, seed }: typeof deployments[number],
): void {
  const all = Array.from({ length: count }, (_, index) => ({
    id: `host-${index}/1`,
    speed: speeds[index % speeds.length] ?? 1,
  }));
  const usual = requestsPerSecond / 0.75 /
    all.reduce((sum, { speed }) => sum + speed, 0);
  const servers = all.map(({ id, speed }) => ({ id, capacity: speed * usual }));
  const fastest = Math.max(...servers.map(({ capacity }) => capacity));
  const mean = requestsPerSecond / hashedSlices;
  const even = { slices: Array.from({ length: hashedSlices }, () => mean) };
  /** Load that isn't refused, in spite of noise in what is measured. */
  const tolerated = 0.02 * requestsPerSecond;

  function start(): KeyLoadSimulation {
    const simulation = simulateKeyLoad({ servers, settings, seed });
    simulation.run(startSeconds, even);
    return simulation;
  }

  /** A key of one of the slowest servers that is busy from now on. */
  function withBusyKey(simulation: KeyLoadSimulation, rate: number) {
    const base = simulation.state().slices.findIndex((slice) =>
      slice.kind === "held" && slice.owner === servers[0]?.id
    );
    return { ...even, busyKey: { base, rate } };
  }

  /** The server that holds the key. */
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

  describe(`${count} servers with speeds of ${speeds}`, () => {
    describe("with even load", () => {
      // Guards against moves that follow noise in the measured load.
      it("move few slices, and leave no server above its capacity", () => {
        const simulation = start();
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
        const simulation = start();
        const load = withBusyKey(simulation, 0.9 * fastest);
        const before = simulation.moves().length;
        simulation.run(shortestSeconds, load);
        assert.equal(ownerOfKey(simulation, load).capacity, fastest);
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
        const simulation = start();
        const rate = 0.3 * requestsPerSecond;
        const load = withBusyKey(simulation, rate);
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
        const simulation = start();
        const { base } = withBusyKey(simulation, 0).busyKey;
        // The platform's stripes have four slices: most of the run is together.
        const first = Math.min(hashedSlices - 8, base);
        const slices = even.slices.map((rate, slice) =>
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
        const simulation = start();
        const load = withBusyKey(simulation, 0.9 * fastest);
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
        const simulation = start();
        const limited = servers.filter((_, index) => index % 4 === 0);
        for (const { id } of limited) simulation.limit(id, 1_000);
        simulation.run(1, even);
        const before = simulation.moves().length;
        const load = withBusyKey(simulation, 0.9 * fastest);
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
