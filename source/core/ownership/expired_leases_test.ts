import assert from "node:assert/strict";
import { describe, it } from "node:test";
import {
  clocksAt,
  testGrantorSettings,
  testRenewal,
  testTakeover,
} from "../../../tests/test_grantor.ts";
import type { GrantorState } from "./grantor_state.ts";
import { stepGrantor } from "./grantor.ts";
import { chooseMoves } from "./placement.ts";
import type { Renewal } from "./renewal.ts";
import { createGrantor } from "./takeover.ts";

const serving = "host-a/1";
const expired = "host-b/1";
const token = { epoch: 1, sequence: 1 };
const slices = Array.from(
  { length: testGrantorSettings.hashedSlices },
  (_, slice) => slice,
);

/** One server holds all slices, the other none. */
function createState(): GrantorState {
  const servers = [serving, expired];
  return createGrantor(testTakeover({
    epoch: 2,
    roster: servers.map((id) => ({ id, peerAddress: "127.0.0.1:1" })),
    answers: servers.map((id) => ({
      id,
      held: id === serving ? slices.map((slice) => ({ slice, token })) : [],
      weight: 100,
      checksFencing: true,
      leaving: false,
    })),
    hasEarlierGrantor: true,
  }));
}

function renew(
  state: GrantorState,
  id: string,
  change: Partial<Renewal>,
): GrantorState {
  const renewal = testRenewal(id, { epoch: 2, ...change });
  return stepGrantor(state, { kind: "renewal", renewal, now: clocksAt(1_000) })
    .state;
}

function movesTo(report: Partial<Renewal>): readonly string[] {
  const held = slices.map((slice) => ({ slice, token }));
  const sliceLoads = slices.map((slice) => ({ slice, requestsPerSecond: 40 }));
  const reported = renew(createState(), serving, { held, sliceLoads });
  return chooseMoves(renew(reported, expired, report)).map(({ destination }) =>
    destination
  );
}

// Guards against SHORT: 82 of 127 moves in 4 s went to servers without a lease.
// These refused all requests, so reported no load and seemed idle.
describe("a server whose lease had expired at its last renewal", () => {
  it("is the destination of no move", () => {
    assert.deepEqual(movesTo({ lapsed: [{ slice: 1, token }] }), []);
  });

  it("is the destination of moves again once it renews a valid lease", () => {
    assert.ok(movesTo({}).includes(expired));
  });
});
