import assert from "node:assert/strict";
import { after, before, describe, it } from "node:test";
import {
  startUploads,
  type TestUploads,
  uploadBytes,
} from "../../../tests/test_uploads.ts";

const bytesPerSecond = 300_000;
/** Two seconds of the link, twenty times the silence. */
const burst = 10;
/** Heads and questions, beside bodies. */
const mostBytesBesideBodies = 0.05;

describe("a link to another agent that large bodies fill", () => {
  let uploads: TestUploads;

  before(async () => {
    uploads = await startUploads({
      settings: {
        connections: 2 * burst,
        connectTimeoutMilliseconds: 500,
        idleMilliseconds: 4_000,
        silenceMilliseconds: 100,
      },
      deadlineMilliseconds: 10_000,
    });
    uploads.relay.limitRequestRate(bytesPerSecond);
  });
  after(() => uploads.close());

  describe("for twenty times the usual silence", () => {
    // Guards against copies that feed the queue which causes them: bodies on a
    // full link are silent, and were sent twice for that alone.
    it("carries each body once", async () => {
      const ids = Array.from({ length: burst }, (_, index) => `up-${index}`);
      const results = await Promise.all(ids.map(uploads.upload));
      assert.deepEqual(results, ids.map(() => "answered"));
      assert.deepEqual([...uploads.runs()].sort(), ids);
      assert.equal(uploads.silences(), 0);
      const offered = burst * uploadBytes;
      const beside = uploads.relay.requestBytes() - offered;
      assert.ok(beside < offered * mostBytesBesideBodies, `${beside}`);
    });

    it("has nothing left that holds up the next one", async () => {
      const usual = uploadBytes / bytesPerSecond * 1_000;
      const queue = uploads.relay.queueMilliseconds();
      assert.ok(queue < usual * mostBytesBesideBodies, `${queue}`);
      const former = uploads.relay.requestBytes();
      assert.equal(await uploads.upload("later"), "answered");
      const beside = uploads.relay.requestBytes() - former - uploadBytes;
      assert.ok(beside < uploadBytes * mostBytesBesideBodies, `${beside}`);
      assert.equal(uploads.silences(), 0);
    });
  });
});
