/**
 * A grantor that has just begun, with so many servers to hear from.
 *
 * @module
 */
import type { GrantorState } from "../source/core/ownership/grantor_state.ts";
import { createGrantor } from "../source/core/ownership/takeover.ts";

/** The group that benches measure with. */
export const benchGroup = "timetable.0";

const dayMilliseconds = 86_400_000;

/** Starts with servers named `server-0` and so on, none of them heard yet. */
export function beginBenchGrantor(servers: number): GrantorState {
  const now = { monotonic: 0, wall: 0 };
  return createGrantor({
    group: benchGroup,
    epoch: 1,
    settings: {
      leaseMilliseconds: 3_000,
      longestDeadlineMilliseconds: 1_000,
      hashedSlices: 128,
      slicesPerStripe: 1,
      maxConcurrentMoves: 8,
      imbalanceTolerance: 0.2,
      isolatedKeys: 32,
      isolation: {
        minLoadShare: 0.25,
        minRequestsPerSecond: 50,
        coldBelowRequestsPerSecond: 25,
      },
      initialAssignmentDelayMilliseconds: 0,
      delegationMilliseconds: dayMilliseconds,
    },
    roster: Array.from({ length: servers }, (_, index) => ({
      id: `server-${index}`,
      peerAddress: "10.100.100.100:8081",
    })),
    answers: [],
    earlierStopped: true,
    hasEarlierGrantor: false,
    formerDelegationMilliseconds: 0,
    askedAt: now,
    isolatedKeys: [],
    now,
  });
}
