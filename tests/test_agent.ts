/**
 * Agents for tests of where requests go.
 *
 * @module
 */
import type { Agent } from "../source/core/agent.ts";

/** An agent beside a serving target; `change` states what matters. */
export function testAgent(id: string, change: Partial<Agent> = {}): Agent {
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
    checksFencing: false,
    phase: "serving",
    ...change,
  };
}
