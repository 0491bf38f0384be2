import assert from "node:assert/strict";
import { describe, it } from "node:test";
import {
  clocksAt,
  testGrantorSettings,
  testRenewal,
  testTakeover,
} from "../../../tests/test_grantor.ts";
import { stepGrantor } from "./grantor.ts";
import type { GrantorState } from "./grantor_state.ts";
import { chooseMoves } from "./placement.ts";
import { createGrantor } from "./takeover.ts";
import type { SmoothedWeight } from "./load_smoothing.ts";
import { placementWeights } from "./unmeasured_weights.ts";

/** Servers that have run requests for this number of seconds. */
function servers(
  ...all: readonly (readonly [weight: number, samples: number])[]
): ReadonlyMap<number, SmoothedWeight> {
  return new Map(
    all.map(([weight, samples], index) => [index, { weight, samples }]),
  );
}

const typical = [16, 18, 19, 21, 24].map((weight) => [weight, 20] as const);

describe("the weights to place slices by", () => {
  // Guards against a server that is filled by moves of slices and refuses most
  // of their requests (SHORT): its weight was a hundred times the others',
  // measured over a few short requests that were not of its keys.
  describe("in a group where most servers have run requests", () => {
    it("are the median for a server that has run none", () => {
      const weights = placementWeights(
        servers(...typical, [2_170, 0], [60, 0]),
      );
      assert.deepEqual([weights.get(5), weights.get(6)], [19, 19]);
    });

    it("are not far above the median for one that has run few", () => {
      const weights = placementWeights(servers(...typical, [900, 3]));
      assert.equal(weights.get(5), 38);
    });

    // Guards against a slow server that each new grantor gives as much as the
    // others (SHORT).
    it("are as reported for a slow one, from the first report on", () => {
      const weights = placementWeights(servers(...typical, [8, 0], [2, 3]));
      assert.deepEqual([weights.get(5), weights.get(6)], [8, 2]);
    });

    it("are as measured for one that has run them for a while", () => {
      const weights = placementWeights(servers(...typical, [95, 10], [2, 12]));
      assert.deepEqual([weights.get(5), weights.get(6)], [95, 2]);
    });
  });

  describe("in a group that has run no requests", () => {
    it("are alike, whatever its servers report", () => {
      const weights = placementWeights(
        servers([60, 0], [60, 0], [60, 0], [2_170, 0], [1_400, 0]),
      );
      assert.deepEqual([...weights.values()], [60, 60, 60, 60, 60]);
    });
  });
});

const hashedSlices = 120;
const ids = Array.from({ length: 12 }, (_, index) => `host-${index}/1`);
const idle = ids.at(-1) ?? "";

/**
 * A group whose last server holds nothing, and reports this weight, with a limit
 * in its last renewal.
 */
function createState(
  idleWeight: number,
  weightLimit?: number,
): GrantorState {
  const settings = {
    ...testGrantorSettings,
    hashedSlices,
    leaseMilliseconds: 1_000_000,
    delegationMilliseconds: 1_000_000,
  };
  const roster = ids.map((id) => ({ id, peerAddress: "127.0.0.1:1" }));
  const created = createGrantor(testTakeover({ settings, roster }));
  const slices = Array.from({ length: hashedSlices }, (_, slice) => ({
    kind: "held" as const,
    owner: ids[slice % (ids.length - 1)] ?? "",
    token: { epoch: 1, sequence: 1 },
  }));
  let state: GrantorState = { ...created, slices };
  for (let second = 1; second <= 3; second += 1) {
    for (const id of ids) {
      const held = slices.flatMap(({ owner }, slice) =>
        owner === id ? [{ slice, requestsPerSecond: 1 }] : []
      );
      const renewal = testRenewal(id, {
        epoch: 1,
        checksFencing: true,
        weight: id === idle ? idleWeight : 19,
        ...(id === idle && second === 3 ? { weightLimit } : {}),
        sliceLoads: held,
      });
      state = stepGrantor(state, {
        kind: "renewal",
        renewal,
        now: clocksAt(second * 1_000),
      }).state;
    }
  }
  return { ...state, slices };
}

/** Carries out all moves, and returns the slices that the idle server gets. */
function slicesMovedToIdle(state: GrantorState): number {
  const moves = chooseMoves(state);
  const destinations = new Map(
    moves.map(({ slice, destination }) => [slice, destination]),
  );
  const slices = state.slices.map((slice, index) => {
    const owner = destinations.get(index);
    return slice.kind === "held" && owner !== undefined
      ? { ...slice, owner }
      : slice;
  });
  if (moves.length > 0) return slicesMovedToIdle({ ...state, slices });
  return slices.filter((slice) => slice.kind === "held" && slice.owner === idle)
    .length;
}

describe("moves to a server that has run no requests yet", () => {
  for (const weight of [60, 2_170]) {
    it(`give it a typical share when it reports ${weight} a second`, () => {
      const moved = slicesMovedToIdle(createState(weight));
      const share = hashedSlices / ids.length;
      assert.ok(moved >= share / 2 && moved <= share * 1.5, `${moved} slices`);
    });
  }

  // Guards against keys for a cold server as for a warm one: its weight was
  // smoothed for longer than it was cold.
  it("give it no more than it takes while it reports a limit", () => {
    const unlimited = slicesMovedToIdle(createState(19));
    const moved = slicesMovedToIdle(createState(19, 4));
    assert.ok(moved > 0 && moved <= unlimited / 2, `${moved} of ${unlimited}`);
  });
});
