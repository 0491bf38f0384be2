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

/** The other agent lives, and takes this long for each answer. */
const answerMilliseconds = 400;
/** Renewals of this one get no answer at all. */
const unanswered = "host-0/a";
const impatientMilliseconds = 100;
const patientMilliseconds = 3_000;

function never(): Promise<null> {
  return new Promise(() => undefined);
}

// Guards against answers that are lost since another call to the same agent
// had less time (SHORT: renewals that a late answer to a table ended).
describe("calls to an agent that answers late", () => {
  const server = createServer();
  let serving: ReturnType<typeof servePeers>;
  let peers: Peers;
  let address = "";

  before(async () => {
    address = `127.0.0.1:${await listen(server, 0)}`;
    const methods: Pick<PeerMethods, "renew" | "table" | "identify"> = {
      renew: ({ id }) =>
        id === unanswered ? never() : pause(answerMilliseconds, answer),
      table: () => never(),
      identify: () => Promise.resolve("host-1/a"),
    };
    serving = servePeers({
      server,
      // Only these are called here.
      methods: methods as PeerMethods,
      clock: startLogicalClock(),
    });
    peers = connectPeers({
      clock: startLogicalClock(),
      metrics: { count: () => undefined, time: () => undefined },
    });
    await peers.call(address, "identify", {
      message: {},
      timeoutMilliseconds: patientMilliseconds,
    });
  });
  after(async () => {
    await peers.close();
    serving.close();
    server.close();
  });

  describe("of which one gives up before the answer", () => {
    it("leave the other its own time, and its answer", async () => {
      const renewed = peers.call(address, "renew", {
        message: testRenewal("host-1/a", {}),
        timeoutMilliseconds: patientMilliseconds,
      });
      const table = await peers.call(address, "table", {
        message: { group: "timetable.0" },
        timeoutMilliseconds: impatientMilliseconds,
      });
      assert.ok(table.isErr);
      const result = await renewed;
      const fault = result.isErr ? result.error : null;
      assert.equal(fault, null, `ended by another's time: ${fault?.detail}`);
    });
  });

  // Guards against a second try that ends with the connection of the first
  // (SHORT: every holder that waited once too short lost its grantor).
  describe("after one that gave up", () => {
    it("have a connection of their own, which the old one's end leaves open", async () => {
      const first = await peers.call(address, "renew", {
        message: testRenewal(unanswered, {}),
        timeoutMilliseconds: impatientMilliseconds,
      });
      assert.ok(first.isErr);
      const second = await peers.call(address, "renew", {
        message: testRenewal("host-1/a", {}),
        timeoutMilliseconds: patientMilliseconds,
      });
      const fault = second.isErr ? second.error : null;
      assert.equal(fault, null, `ended with the first: ${fault?.detail}`);
    });
  });
});
