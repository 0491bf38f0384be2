import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { testAgent } from "../../tests/test_agent.ts";
import { agentIdOf, departedAgent, hasDeparted, hasEnded } from "./agent.ts";

function process(host: string, incarnation: number) {
  const id = agentIdOf(host, incarnation);
  return testAgent(id, { host, incarnation });
}

describe("an agent that has stopped as planned", () => {
  const stopped = process("host-1", 1_000);
  const entry = departedAgent(stopped);

  it("counts as departed, and its process as ended", () => {
    assert.ok(hasDeparted(stopped.id, [entry]));
    assert.ok(hasEnded(stopped.id, [entry]));
  });

  it("does not make a later process count as departed or ended", () => {
    const later = process("host-1", 2_000);
    assert.ok(!hasDeparted(later.id, [entry]));
    assert.ok(!hasEnded(later.id, [entry]));
  });

  it("does not make an agent of another host count as departed", () => {
    assert.ok(!hasDeparted(process("host-2", 1_000).id, [entry]));
  });
});

describe("an agent that is lost without a planned stop", () => {
  it("does not count as departed", () => {
    const lost = { ...process("host-1", 1_000), phase: "lost" as const };
    assert.ok(!hasDeparted(lost.id, [lost]));
  });

  it("does not count as departed after its host has started another", () => {
    const lost = process("host-1", 1_000);
    const next = process("host-1", 1_001);
    assert.ok(!hasDeparted(lost.id, [next]));
  });
});
