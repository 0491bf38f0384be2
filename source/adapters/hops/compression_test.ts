import assert from "node:assert/strict";
import { createServer } from "node:http";
import type { Socket } from "node:net";
import { after, before, describe, it } from "node:test";
import { listen } from "../../../standins/http_server.ts";
import { testRenewal } from "../../../tests/test_grantor.ts";
import type { Grant, RenewalAnswer } from "../../core/ownership/renewal.ts";
import type { PeerMethods, Peers } from "../../ports/peers.ts";
import { startLogicalClock } from "../logs/logical_clock.ts";
import { connectPeers } from "./peer_client.ts";
import { servePeers } from "./peer_server.ts";

/** The grants of one holder when six servers share 512 slices. */
const grants: readonly Grant[] = Array.from({ length: 85 }, (_, index) => ({
  slice: index * 6,
  token: { epoch: 5, sequence: 600 + index * 7 },
}));

const answer: RenewalAnswer = {
  epoch: 5,
  leaseMilliseconds: 4_000,
  grants,
  release: [],
  table: null,
};

const renewal = testRenewal("host-1/a", {
  held: grants,
  sliceLoads: grants.map(({ slice }, index) => ({
    slice,
    requestsPerSecond: (index * 37 % 91) / 10,
  })),
});

const renewalCount = 10;

describe("messages between agents", () => {
  const server = createServer();
  const sockets = new Set<Socket>();
  let serving: ReturnType<typeof servePeers>;
  let peers: Peers;
  let address = "";

  before(async () => {
    server.on("connection", (socket) => sockets.add(socket));
    address = `127.0.0.1:${await listen(server, 0)}`;
    const methods: Pick<PeerMethods, "renew"> = {
      renew: () => Promise.resolve(answer),
    };
    serving = servePeers({
      server,
      // Only renewals are sent in this test.
      methods: methods as PeerMethods,
      clock: startLogicalClock(),
    });
    peers = connectPeers({
      clock: startLogicalClock(),
      metrics: { count: () => undefined, time: () => undefined },
    });
  });
  after(async () => {
    await peers.close();
    serving.close();
    server.close();
  });

  describe("that repeat property names", () => {
    it("take at most a third of their length on the wire", async () => {
      for (let number = 0; number < renewalCount; number += 1) {
        const result = await peers.call(address, "renew", {
          message: renewal,
          timeoutMilliseconds: 5_000,
        });
        assert.deepEqual(result.unwrapOr(null), answer);
      }
      const sent = JSON.stringify(renewal).length * renewalCount;
      const received = JSON.stringify(answer).length * renewalCount;
      const [socket] = sockets;
      assert.ok(socket !== undefined);
      assert.ok(socket.bytesRead <= sent / 3, `${socket.bytesRead}/${sent}`);
      assert.ok(
        socket.bytesWritten <= received / 3,
        `${socket.bytesWritten}/${received}`,
      );
    });
  });
});
