import assert from "node:assert/strict";
import { describe, it } from "node:test";
import {
  type Demand,
  planRelief,
  type ServerDemand,
  type SliceDemand,
} from "./uneven_demand.ts";

function server(
  capacity: number,
  overrides: Partial<ServerDemand> = {},
): ServerDemand {
  return { capacity, mayReceive: true, emptying: false, ...overrides };
}

function slices(
  loads: Readonly<Record<string, readonly number[]>>,
): readonly SliceDemand<string>[] {
  return Object.entries(loads)
    .flatMap(([owner, all]) => all.map((load) => ({ owner, load })))
    .map((entry, slice) => ({ ...entry, slice, movable: true }));
}

function plan(
  servers: Readonly<Record<string, ServerDemand>>,
  loads: Readonly<Record<string, readonly number[]>>,
  overrides: Partial<Demand<string>> = {},
) {
  return planRelief({
    servers: new Map(Object.entries(servers)),
    slices: slices(loads),
    maxMoves: 16,
    ...overrides,
  });
}

const speeds = { slow: server(20), fast: server(60), other: server(60) };
/** The first slice of the slow server needs more than that has. */
const loads = { slow: [50], fast: [10, 10, 10], other: [10, 10, 10, 10] };

describe("a slice that needs more than its server has", () => {
  it("waits until a fast server has been cleared for it", () => {
    const { moves, reserved } = plan(speeds, loads);
    assert.deepEqual(moves.map(({ owner }) => owner), ["fast", "fast"]);
    assert.deepEqual([...reserved], ["fast"]);
    const emptying = { ...speeds, fast: server(60, { emptying: true }) };
    const cleared = { slow: [50], fast: [10], other: [10, 10, 10, 10, 10] };
    assert.deepEqual(plan(emptying, cleared).moves, []);
    assert.deepEqual(plan(speeds, cleared).moves, [
      { slice: 0, owner: "slow", destination: "fast" },
    ]);
  });

  it("doesn't go to a server that may not receive", () => {
    const limited = { ...speeds, fast: server(60, { mayReceive: false }) };
    const { moves } = plan(limited, { slow: [50], fast: [], other: [] });
    assert.deepEqual(moves.map(({ destination }) => destination), ["other"]);
  });

  // Guards against a key that moves from one fast server to the next.
  it("stays where no server runs clearly more of it", () => {
    const equal = { slow: server(55), fast: server(60) };
    assert.deepEqual(plan(equal, { slow: [200], fast: [] }).moves, []);
  });

  // Guards against a server that is kept free for a slice that never comes.
  it("stays, and reserves nothing, where all servers are full", () => {
    const full = { slow: [50], fast: [30, 30], other: [30, 30] };
    const { moves, reserved } = plan(speeds, full);
    assert.deepEqual([moves, reserved.size], [[], 0]);
  });

  // Guards against a plan for all slices of a server that has just left.
  it("isn't one of a server that leaves", () => {
    const { moves } = plan({ fast: server(60) }, { gone: [20], fast: [] });
    assert.deepEqual(moves, []);
  });

  it("doesn't leave a server that another one leaves with it", () => {
    const { moves } = plan(speeds, { slow: [], fast: [50, 45], other: [] });
    assert.deepEqual(moves, [{
      slice: 1,
      owner: "fast",
      destination: "other",
    }]);
  });
});

describe("other load above capacity", () => {
  const pair = { full: server(20), idle: server(20) };

  it("leaves until its server is no longer above its capacity", () => {
    const { moves } = plan(pair, { full: [5, 5, 5, 5, 5, 5], idle: [] });
    assert.equal(moves.length, 2);
  });

  it("stays if moving it costs more than it relieves", () => {
    const { moves } = plan(pair, { full: [10, 10.5], idle: [] });
    assert.deepEqual(moves, []);
  });

  it("stays if its server keeps it, or nothing more may be moved", () => {
    const busy = { full: [5, 5, 5, 5, 5, 5], idle: [] };
    const kept = slices(busy).map((slice) => ({ ...slice, movable: false }));
    assert.deepEqual(plan(pair, busy, { slices: kept }).moves, []);
    assert.deepEqual(plan(pair, busy, { maxMoves: 0 }).moves, []);
  });
});
