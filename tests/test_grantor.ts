/**
 * Inputs for tests of a grantor.
 *
 * @module
 */
import { Result } from "true-myth";
import type { Clocks } from "../source/core/clocks.ts";
import type { GrantorSettings } from "../source/core/ownership/grantor_state.ts";
import type { Renewal } from "../source/core/ownership/renewal.ts";
import { unknownEra } from "../source/core/ownership/store_era.ts";
import type { Takeover } from "../source/core/ownership/takeover.ts";
import { noToken } from "../source/core/ownership/token.ts";
import type { GrantorOptions } from "../source/tasks/epoch_claim.ts";
import { testAgent } from "./test_agent.ts";

/** Settings of a small group whose grantor grants at once. */
export const testGrantorSettings: GrantorSettings = {
  leaseMilliseconds: 4_000,
  longestDeadlineMilliseconds: 1_000,
  hashedSlices: 8,
  slicesPerStripe: 1,
  maxConcurrentMoves: 8,
  imbalanceTolerance: 0.2,
  isolatedKeys: 2,
  isolation: {
    minLoadShare: 0.25,
    minRequestsPerSecond: 50,
    coldBelowRequestsPerSecond: 25,
  },
  initialAssignmentDelayMilliseconds: 0,
  delegationMilliseconds: 60_000,
};

/** Clock readings that both show this time. */
export function clocksAt(milliseconds: number): Clocks {
  return { monotonic: milliseconds, wall: milliseconds };
}

/** A renewal of a server that holds nothing; `overrides` replaces fields. */
export function testRenewal(
  id: string,
  overrides: Partial<Renewal> = {},
): Renewal {
  return {
    group: "timetable.0",
    epoch: 1,
    id,
    peerAddress: "127.0.0.1:1",
    weight: 8,
    checksFencing: true,
    leaving: false,
    held: [],
    released: [],
    emptied: false,
    tableVersion: noToken,
    sliceLoads: [],
    keyLoads: [],
    ...overrides,
  };
}

/** What the first grantor of a group knows; `overrides` replaces fields. */
export function testTakeover(overrides: Partial<Takeover> = {}): Takeover {
  return {
    group: "timetable.0",
    epoch: 1,
    settings: testGrantorSettings,
    roster: [],
    answers: [],
    earlierStopped: true,
    hasEarlierGrantor: false,
    formerDelegationMilliseconds: 0,
    askedAt: clocksAt(0),
    isolatedKeys: [],
    now: clocksAt(0),
    ...overrides,
  };
}

/** Options of a grantor that reaches nobody; `overrides` replaces some. */
export function testGrantorOptions(
  overrides:
    & Pick<GrantorOptions, "delegations" | "former">
    & Partial<GrantorOptions>,
): GrantorOptions {
  return {
    agent: testAgent("successor", { service: "none" }),
    group: "timetable.0",
    settings: testGrantorSettings,
    times: {
      tickMilliseconds: 100,
      callTimeoutMilliseconds: 100,
      storeRetryMilliseconds: 100,
    },
    peers: {
      call: () =>
        Promise.resolve(Result.err({ kind: "unreachable", detail: "" })),
      close: () => Promise.resolve(),
    },
    events: { record: () => undefined },
    newWriterMark: () => "mark-2",
    lost: null,
    storeEra: () => unknownEra,
    formerReachable: false,
    ownHandover: () => null,
    hasEnded: () => true,
    hasDeparted: () => false,
    isToldDeparted: () => false,
    runningServers: () => 0,
    onClaimed: () => undefined,
    ...overrides,
  };
}
