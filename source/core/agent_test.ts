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

  it("has departed, and its process has ended", () => {
    assert.ok(hasDeparted(stopped.id, [entry]));
    assert.ok(hasEnded(stopped.id, [entry]));
  });

  it("is not waited for any more, but a later process is", () => {
    const later = process("host-1", 2_000);
    assert.ok(!hasDeparted(later.id, [entry]));
    assert.ok(!hasEnded(later.id, [entry]));
  });

  it("says nothing of another host", () => {
    assert.ok(!hasDeparted(process("host-2", 1_000).id, [entry]));
  });
});

describe("an agent that is only lost", () => {
  it("has not departed", () => {
    const lost = { ...process("host-1", 1_000), phase: "lost" as const };
    assert.ok(!hasDeparted(lost.id, [lost]));
  });

  it("has not departed when its host has started another", () => {
    const lost = process("host-1", 1_000);
    const next = process("host-1", 1_001);
    assert.ok(!hasDeparted(lost.id, [next]));
  });
});
