import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { Result } from "true-myth";
import type { Peers } from "../ports/peers.ts";
import { startUnresponsiveCheck } from "./unresponsive_agents.ts";

const claim = { group: "timetable.0", epoch: 2, grantorAddress: "10.0.0.9:1" };
const unresponsive = { id: "host-1/a", peerAddress: "10.0.0.1:1" };

/** Checks one agent at whose address this process answers. */
async function check(answering: string) {
  const calls: string[] = [];
  const provedEmpty: string[] = [];
  const call = (_: string, method: string) => {
    calls.push(method);
    return Promise.resolve(Result.ok(method === "identify" ? answering : null));
  };
  startUnresponsiveCheck({
    peers: { call, close: () => Promise.resolve() } as unknown as Peers,
    events: { record: () => undefined },
    claim,
    callTimeoutMilliseconds: 100,
    hasDeparted: () => false,
    stopped: () => false,
    onProvedEmpty: (ids) => provedEmpty.push(...ids),
  })([unresponsive]);
  await new Promise((resolve) => setTimeout(resolve, 5));
  return { calls, provedEmpty };
}

describe("an agent that has not answered a new grantor", () => {
  describe("at whose address a later process of its host answers", () => {
    it("is not known to hold nothing, and that process is told of the claim", async () => {
      const { calls, provedEmpty } = await check("host-1/b");
      assert.deepEqual(calls, ["identify", "takeEpoch"]);
      assert.deepEqual(provedEmpty, []);
    });
  });

  describe("at whose address a process of another host answers", () => {
    it("is known to hold nothing", async () => {
      const { calls, provedEmpty } = await check("host-2/a");
      assert.deepEqual(calls, ["identify"]);
      assert.deepEqual(provedEmpty, ["host-1/a"]);
    });
  });
});
