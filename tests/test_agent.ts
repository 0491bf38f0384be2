/**
 * Builds agents for tests of routing.
 *
 * @module
 */
import type { Agent } from "../source/core/agent.ts";

/** An agent whose local target serves; `overrides` replaces fields. */
export function testAgent(id: string, overrides: Partial<Agent> = {}): Agent {
  return {
    id,
    host: id,
    incarnation: 1,
    callerAddress: "127.0.0.1:1",
    peerAddress: "127.0.0.1:2",
    place: { dataCenter: "kolkata-1", region: "kolkata" },
    service: "booking",
    group: null,
    slots: 10,
    processors: 1,
    checksFencing: false,
    phase: "serving",
    ...overrides,
  };
}
