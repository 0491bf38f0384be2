import assert from "node:assert/strict";
import { beforeEach, describe, it } from "node:test";
import { Result } from "true-myth";
import type { Failure } from "../../core/request/outcome.ts";
import type { ProxyAnswer } from "../../ports/upstream.ts";
import {
  createHopDeduplicator,
  createHopSequence,
  formatHop,
  type HopCopy,
  type HopDeduplicator,
  parseHop,
} from "./hop_deduplication.ts";

const receiver = "host-1/a";

function hop(change: Partial<HopCopy> = {}): HopCopy {
  return {
    sender: "host-2/a",
    receiver,
    sequence: 5,
    copy: 1,
    settledBelow: 1,
    ...change,
  };
}

describe("deduplication of forwarded requests", () => {
  let deduplicator: HopDeduplicator;
  let runs = 0;

  beforeEach(() => {
    deduplicator = createHopDeduplicator(receiver);
    runs = 0;
  });

  function start(): Promise<Result<ProxyAnswer, Failure>> {
    runs += 1;
    const bytes = new Uint8Array();
    const body = { kind: "whole", bytes } as const;
    return Promise.resolve(
      Result.ok({ status: 200, headers: {}, body, load: null }),
    );
  }

  describe("when a later copy arrives", () => {
    it("answers only the later copy while the request runs", async () => {
      const first = deduplicator.run(hop(), start);
      const second = deduplicator.run(hop({ copy: 2 }), start);
      assert.equal(await first, null);
      assert.equal((await second)?.isOk, true);
      assert.equal(runs, 1);
    });

    // Guards against a second charge for one booking: requests were remembered
    // for a fixed time only, and the copy arrived after that.
    it("runs nothing more, however late the copy is", async (context) => {
      context.mock.timers.enable({ apis: ["setTimeout"] });
      await deduplicator.run(hop(), start);
      context.mock.timers.tick(3_600_000);
      assert.equal(await deduplicator.run(hop({ copy: 2 }), start), null);
      assert.equal(runs, 1);
    });

    it("runs nothing once its sender no longer waits for it", async () => {
      await deduplicator.run(hop(), start);
      await deduplicator.run(hop({ sequence: 6, settledBelow: 6 }), start);
      assert.equal(await deduplicator.run(hop({ copy: 2 }), start), null);
      assert.equal(runs, 2);
    });

    it("runs the request if the first copy never arrived", async () => {
      const result = await deduplicator.run(hop({ copy: 2 }), start);
      assert.equal(result?.isOk, true);
      assert.equal(runs, 1);
    });

    // Guards against a second run by an agent that was restarted: the process
    // before the restart may have run the first copy.
    it("leaves the outcome unknown if meant for another process", async () => {
      const late = hop({ copy: 2, receiver: "host-1/0" });
      const result = await deduplicator.run(late, start);
      assert.equal(result?.isErr && result.error.outcome, "unknown");
      assert.equal(runs, 0);
    });
  });

  describe("when the first copy reaches a process it is not meant for", () => {
    // Guards against two runs while two processes can be reached at one
    // address: the first copy arrived over an old connection to the former one.
    it("runs the request in one of the processes at most", async () => {
      const former = createHopDeduplicator("host-1/0");
      await former.run(hop(), start);
      await deduplicator.run(hop({ copy: 2 }), start);
      assert.equal(runs, 1);
    });

    // Guards against requests that end with an unknown outcome, or are taken
    // for answered, after an agent was restarted, though nothing has run.
    it("reports that the request has not run", async () => {
      const result = await deduplicator.run(
        hop({ receiver: "host-1/0" }),
        start,
      );
      assert.equal(result?.isErr && result.error.outcome, "not-run");
      assert.equal(runs, 0);
    });
  });

  describe("when the sender has given a request up", () => {
    it("does not run a copy that was still in transit", async () => {
      deduplicator.cancel(hop({ copy: 2 }));
      assert.equal(await deduplicator.run(hop(), start), null);
      assert.equal(runs, 0);
    });
  });

  describe("with several senders", () => {
    it("distinguishes their requests", async () => {
      await deduplicator.run(hop(), start);
      await deduplicator.run(
        hop({ sender: "host-3/a", settledBelow: 5 }),
        start,
      );
      assert.equal(runs, 2);
    });
  });

  describe("by sequence numbers", () => {
    it("settles them up to the first that is still awaited", () => {
      const sequence = createHopSequence();
      assert.equal(sequence.settledBelow(), 1);
      const [first, second] = [sequence.allocate(), sequence.allocate()];
      sequence.settle(second);
      assert.equal(sequence.settledBelow(), first);
      sequence.settle(first);
      assert.equal(sequence.settledBelow(), 3);
    });
  });

  describe("by the identity of a copy", () => {
    it("parses the identity as it was formatted", () => {
      const identity = hop({ sender: "Höst 2/a", copy: 2, settledBelow: 4 });
      assert.deepEqual(parseHop(formatHop(identity)), identity);
    });

    it("rejects other text", () => {
      assert.equal(parseHop("host-2/a.5/1"), null);
      assert.equal(parseHop(null), null);
    });
  });
});
