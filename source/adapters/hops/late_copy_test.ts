import assert from "node:assert/strict";
import { afterEach, beforeEach, describe, it } from "node:test";
import { Client } from "undici";
import { testAgentId } from "../../../tests/test_listener.ts";
import {
  startUploads,
  type TestUploads,
  uploadBytes,
} from "../../../tests/test_uploads.ts";
import { fields } from "../headers.ts";
import { formatHop } from "./hop_ledger.ts";

const deadlineMilliseconds = 300;
const silenceMilliseconds = 100;
/** Longer than the deadline and all that is remembered beyond it. */
const lateMilliseconds = 2_000;

describe("requests that are long on their way to another agent", () => {
  let uploads: TestUploads;

  beforeEach(async () => {
    uploads = await startUploads({
      settings: {
        connections: 4,
        connectTimeoutMilliseconds: 500,
        idleMilliseconds: 1,
        silenceMilliseconds,
      },
      deadlineMilliseconds,
    });
  });
  afterEach(() => uploads.close());

  /** As an agent does that takes its first connection for lost. */
  async function sendCopy(copy: number): Promise<void> {
    const client = new Client(`http://127.0.0.1:${uploads.relay.port}`);
    const hop = { sequence: 1, copy, settledBelow: 1, receiver: testAgentId };
    await client.request({
      method: "POST",
      path: "/booking",
      headers: {
        [fields.requestId]: "two-copies",
        [fields.service]: "booking",
        [fields.idempotent]: "false",
        [fields.deadline]: String(deadlineMilliseconds),
        [fields.hop]: formatHop({ ...hop, sender: "host-3/a" }),
      },
      body: new Uint8Array(uploadBytes),
      signal: AbortSignal.timeout(deadlineMilliseconds),
    }).catch(() => undefined);
    await client.destroy();
  }

  function allHasArrived(): Promise<void> {
    return new Promise((resolve) => {
      setTimeout(resolve, lateMilliseconds + 500);
    });
  }

  describe("beyond the deadline", () => {
    // Guards against an upload that runs after its caller's time limit: what
    // was left of its time began anew on arrival.
    it("don't begin", async () => {
      assert.equal(await uploads.upload("quick"), "answered");
      uploads.relay.delayConnections([lateMilliseconds, lateMilliseconds]);
      assert.equal(await uploads.upload("held-up"), "unknown");
      await allHasArrived();
      assert.deepEqual(uploads.runs(), ["quick"]);
    });
  });

  describe("as two copies, the later one after the deadline", () => {
    // Guards against an upload that runs twice: the second copy came when the
    // agent beside the target had forgotten the first.
    it("run an upload once at most", async () => {
      uploads.relay.delayConnections([
        2 * silenceMilliseconds,
        lateMilliseconds,
      ]);
      await Promise.all([sendCopy(1), sendCopy(2)]);
      await allHasArrived();
      assert.deepEqual(uploads.runs(), ["two-copies"]);
    });
  });

  describe("longer than the usual silence", () => {
    it("run an upload once, which is answered", async () => {
      uploads.relay.delayConnections([
        2 * silenceMilliseconds,
        lateMilliseconds,
      ]);
      assert.equal(await uploads.upload("slow"), "answered");
      await allHasArrived();
      assert.deepEqual(uploads.runs(), ["slow"]);
    });
  });
});
