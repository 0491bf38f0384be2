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
import { formatHop } from "./hop_deduplication.ts";

const deadlineMilliseconds = 300;
const silenceMilliseconds = 100;
/** Longer than the deadline, and than any memory of the request after it. */
const transitDelayMilliseconds = 2_000;

describe("requests that are delayed in transit to another agent", () => {
  let uploads: TestUploads;

  beforeEach(async () => {
    uploads = await startUploads({
      settings: {
        maxConnections: 4,
        connectTimeoutMilliseconds: 500,
        idleMilliseconds: 1,
        silenceMilliseconds,
      },
      deadlineMilliseconds,
    });
  });
  afterEach(() => uploads.close());

  /** Sends a copy as an agent does that takes its first connection for lost. */
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

  function waitForArrivals(): Promise<void> {
    return new Promise((resolve) => {
      setTimeout(resolve, transitDelayMilliseconds + 500);
    });
  }

  describe("beyond their deadline", () => {
    // Guards against an upload that runs after its caller's deadline: the time
    // that it had left was counted from its arrival instead of its departure.
    it("don't start", async () => {
      assert.equal(await uploads.upload("quick"), "answered");
      uploads.relay.delayConnections([
        transitDelayMilliseconds,
        transitDelayMilliseconds,
      ]);
      assert.equal(await uploads.upload("held-up"), "unknown");
      await waitForArrivals();
      assert.deepEqual(uploads.runs(), ["quick"]);
    });
  });

  describe("as two copies, the later one beyond their deadline", () => {
    // Guards against an upload that runs twice: the second copy arrived when
    // the other agent no longer remembered the first.
    it("run once at most", async () => {
      uploads.relay.delayConnections([
        2 * silenceMilliseconds,
        transitDelayMilliseconds,
      ]);
      await Promise.all([sendCopy(1), sendCopy(2)]);
      await waitForArrivals();
      assert.deepEqual(uploads.runs(), ["two-copies"]);
    });
  });

  describe("for longer than the silence time-out", () => {
    it("run once and are answered", async () => {
      uploads.relay.delayConnections([
        2 * silenceMilliseconds,
        transitDelayMilliseconds,
      ]);
      assert.equal(await uploads.upload("slow"), "answered");
      await waitForArrivals();
      assert.deepEqual(uploads.runs(), ["slow"]);
    });
  });
});
