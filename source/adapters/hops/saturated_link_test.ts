import assert from "node:assert/strict";
import { after, before, describe, it } from "node:test";
import {
  startUploads,
  type TestUploads,
  uploadBytes,
} from "../../../tests/test_uploads.ts";

const bytesPerSecond = 300_000;
/**
 * Uploads that take the link two seconds, which is twenty times the silence
 * time-out.
 */
const uploadCount = 10;
/** Bytes of heads and probes, as a share of the bytes of bodies. */
const maxOverheadShare = 0.05;

describe("a network link to another agent that large bodies saturate", () => {
  let uploads: TestUploads;

  before(async () => {
    uploads = await startUploads({
      settings: {
        maxConnections: 2 * uploadCount,
        connectTimeoutMilliseconds: 500,
        idleMilliseconds: 4_000,
        silenceMilliseconds: 100,
      },
      deadlineMilliseconds: 10_000,
    });
    uploads.relay.limitRequestRate(bytesPerSecond);
  });
  after(() => uploads.close());

  describe("for twenty times the silence time-out", () => {
    // Guards against copies that lengthen the queue which causes them: nothing
    // is received for a body that waits on a saturated link, and each such body
    // was sent twice.
    it("carries each body once", async () => {
      const ids = Array.from(
        { length: uploadCount },
        (_, index) => `up-${index}`,
      );
      const results = await Promise.all(ids.map(uploads.upload));
      assert.deepEqual(results, ids.map(() => "answered"));
      assert.deepEqual([...uploads.runs()].sort(), ids);
      assert.equal(uploads.silences(), 0);
      const bodyBytes = uploadCount * uploadBytes;
      const overheadBytes = uploads.relay.requestBytes() - bodyBytes;
      assert.ok(
        overheadBytes < bodyBytes * maxOverheadShare,
        `${overheadBytes}`,
      );
    });

    it("has no bytes queued afterwards that delay the next body", async () => {
      const transferMilliseconds = uploadBytes / bytesPerSecond * 1_000;
      const queueMilliseconds = uploads.relay.queueMilliseconds();
      assert.ok(
        queueMilliseconds < transferMilliseconds * maxOverheadShare,
        `${queueMilliseconds}`,
      );
      const bytesBefore = uploads.relay.requestBytes();
      assert.equal(await uploads.upload("later"), "answered");
      const overheadBytes = uploads.relay.requestBytes() - bytesBefore -
        uploadBytes;
      assert.ok(
        overheadBytes < uploadBytes * maxOverheadShare,
        `${overheadBytes}`,
      );
      assert.equal(uploads.silences(), 0);
    });
  });
});
