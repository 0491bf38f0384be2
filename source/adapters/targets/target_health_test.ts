import assert from "node:assert/strict";
import { after, before, describe, it } from "node:test";
import {
  startTargetStandIn,
  type TargetStandIn,
} from "../../../standins/target.ts";
import { testRequest } from "../../../tests/test_request.ts";
import type { Target } from "../../ports/upstream.ts";
import { openTarget } from "./http_target.ts";

const slots = 2;
const serviceMilliseconds = 600;
const healthTimeoutMilliseconds = 250;

describe("the health of a target", () => {
  let standIn: TargetStandIn;
  let target: Target;

  before(async () => {
    standIn = await startTargetStandIn({
      name: "target-1",
      port: 0,
      behaviour: { slots, serviceMilliseconds },
    });
    target = openTarget({
      address: standIn.address,
      settings: {
        maxConnections: slots,
        connectTimeoutMilliseconds: 300,
        idleMilliseconds: 4_000,
      },
      now: () => performance.now(),
      healthTimeoutMilliseconds,
    });
  });
  after(async () => {
    await target.close();
    await standIn.close();
  });

  function run() {
    return target.send({
      request: testRequest({
        deadlineAt: performance.now() + 2_000,
        signal: AbortSignal.timeout(2_000),
      }),
      body: { kind: "kept", bytes: new Uint8Array() },
      token: null,
      slice: null,
      leaseEndsAtWall: null,
    });
  }

  describe("all of whose slots run long requests", () => {
    // Guards against moving keys away from a target that is merely busy.
    it("is still reported", async () => {
      const running = Promise.all(Array.from({ length: slots }, run));
      const report = await target.health();
      assert.deepEqual(report, { phase: "serving" });
      const results = await running;
      assert.ok(results.every((result) => result.isOk));
    });
  });
});
