import assert from "node:assert/strict";
import { createServer } from "node:http";
import { after, before, describe, it } from "node:test";
import { setTimeout as pause } from "node:timers/promises";
import { listen } from "../../../standins/http_server.ts";
import { testRenewal } from "../../../tests/test_grantor.ts";
import type { RenewalAnswer } from "../../core/ownership/renewal.ts";
import type { PeerMethods, Peers } from "../../ports/peers.ts";
import { startLogicalClock } from "../logs/logical_clock.ts";
import { connectPeers } from "./peer_client.ts";
import { servePeers } from "./peer_server.ts";

const answer: RenewalAnswer = {
  epoch: 5,
  leaseMilliseconds: 4_000,
  grants: [],
  release: [],
  table: null,
};

/** How long the other agent takes for each answer. */
const answerMilliseconds = 400;
/** Renewals of this holder are never answered. */
const unansweredHolder = "host-0/a";
const shortTimeoutMilliseconds = 100;
const longTimeoutMilliseconds = 3_000;

function never(): Promise<null> {
  return new Promise(() => undefined);
}

// Guards against answers that are lost because another call to the same agent
// has a shorter time-out: renewals failed when a call for the table timed out.
describe("calls to an agent that answers late", () => {
  const server = createServer();
  let serving: ReturnType<typeof servePeers>;
  let peers: Peers;
  let address = "";

  before(async () => {
    address = `127.0.0.1:${await listen(server, 0)}`;
    const methods: Pick<PeerMethods, "renew" | "table" | "identify"> = {
      renew: ({ id }) =>
        id === unansweredHolder ? never() : pause(answerMilliseconds, answer),
      table: () => never(),
      identify: () => Promise.resolve("host-1/a"),
    };
    serving = servePeers({
      server,
      // Only these methods are called in this test.
      methods: methods as PeerMethods,
      clock: startLogicalClock(),
    });
    peers = connectPeers({
      clock: startLogicalClock(),
      metrics: { count: () => undefined, time: () => undefined },
    });
    await peers.call(address, "identify", {
      message: {},
      timeoutMilliseconds: longTimeoutMilliseconds,
    });
  });
  after(async () => {
    await peers.close();
    serving.close();
    server.close();
  });

  describe("one of which times out before its answer", () => {
    it("leave the other its own time-out and its answer", async () => {
      const renewed = peers.call(address, "renew", {
        message: testRenewal("host-1/a", {}),
        timeoutMilliseconds: longTimeoutMilliseconds,
      });
      const table = await peers.call(address, "table", {
        message: { group: "timetable.0" },
        timeoutMilliseconds: shortTimeoutMilliseconds,
      });
      assert.ok(table.isErr);
      const result = await renewed;
      const fault = result.isErr ? result.error : null;
      assert.equal(
        fault,
        null,
        `ended by the time-out of another call: ${fault?.detail}`,
      );
    });
  });

  // Guards against a second attempt that fails with the connection of the
  // first: holders lost their grantor after one call with too short a time-out.
  describe("after one that timed out", () => {
    it("have their own connection, which outlasts the old one", async () => {
      const first = await peers.call(address, "renew", {
        message: testRenewal(unansweredHolder, {}),
        timeoutMilliseconds: shortTimeoutMilliseconds,
      });
      assert.ok(first.isErr);
      const second = await peers.call(address, "renew", {
        message: testRenewal("host-1/a", {}),
        timeoutMilliseconds: longTimeoutMilliseconds,
      });
      const fault = second.isErr ? second.error : null;
      assert.equal(
        fault,
        null,
        `ended with the connection of the first call: ${fault?.detail}`,
      );
    });
  });
});
