import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { Result } from "true-myth";
import { testAgent } from "../../tests/test_agent.ts";
import { pauseClock } from "../../tests/test_clock.ts";
import type { Peers } from "../ports/peers.ts";
import { type RetryBudgets, startRetryBudgets } from "./retry_budgets.ts";

const maxSaved = 4;
const service = "orders";

const agents = ["one", "other"].map((host) =>
  testAgent(host, { peerAddress: host })
);

/** Budgets of two agents, which reach each other or not. */
function startBoth(reachable: boolean) {
  const events: string[] = [];
  const calledAt: number[] = [];
  const peers = {
    call: (address: string, _method: string, { message }: never) => {
      calledAt.push(performance.now());
      return Promise.resolve(
        reachable
          ? Result.ok(budgetsOf(address).lend(message))
          : Result.err({ kind: "unreachable", detail: "" }),
      );
    },
    close: () => Promise.resolve(),
  } as unknown as Peers;
  const both = new Map(agents.map((agent): [string, RetryBudgets] => [
    agent.host,
    startRetryBudgets({
      agent,
      agents: () => agents,
      peers,
      settings: () => ({
        earnedByRequest: 0.1,
        maxSaved,
        firstDelayMilliseconds: 10,
        maxDelayMilliseconds: 100,
        loanTimeoutMilliseconds: 100,
      }),
      random: () => 0.5,
      events: { record: (kind) => void events.push(kind) },
      metrics: { count: () => undefined, time: () => undefined },
    }),
  ]));
  function budgetsOf(host: string): RetryBudgets {
    const budgets = both.get(host);
    assert.ok(budgets !== undefined);
    return budgets;
  }
  return { one: budgetsOf("one"), other: budgetsOf("other"), events, calledAt };
}

describe("an agent that has used up its retries of a service", () => {
  it("borrows some of another agent, which has as many less", async () => {
    const { one, other, events } = startBoth(true);
    one.set(service, { saved: 0 });
    await new Promise(setImmediate);
    assert.equal(one.of(service).saved, maxSaved / 2);
    assert.equal(other.of(service).saved, maxSaved / 2);
    assert.deepEqual(events, ["retries-borrowed"]);
  });

  it("has none while it reaches no other agent", async () => {
    const { one, other } = startBoth(false);
    one.set(service, { saved: 0 });
    await new Promise(setImmediate);
    assert.equal(one.of(service).saved, 0);
    assert.equal(other.of(service).saved, maxSaved);
  });

  // Guards against thousands of calls a second in a fleet at the moment at
  // which its processors are full.
  it("asks less often while no other has any, until one lends", async (test) => {
    const clock = pauseClock();
    test.after(() => clock.uninstall());
    const { one, other, calledAt } = startBoth(true);
    const failFor = async (milliseconds: number) => {
      for (let passed = 0; passed < milliseconds; passed += 20) {
        one.set(service, { saved: 0 });
        await clock.tickAsync(20);
      }
    };
    other.set(service, { saved: maxSaved / 2 });
    await failFor(10_000);
    assert.ok(calledAt.length <= 10, `${calledAt.length} calls`);
    other.set(service, { saved: maxSaved });
    await failFor(5_000);
    const gaps = calledAt.slice(1).map((at, index) =>
      at - (calledAt[index] ?? 0)
    );
    assert.equal(Math.min(...gaps.slice(5)), 100);
  });
});
