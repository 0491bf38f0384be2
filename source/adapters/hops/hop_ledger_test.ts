import assert from "node:assert/strict";
import { beforeEach, describe, it } from "node:test";
import { Result } from "true-myth";
import type { Failure } from "../../core/request/outcome.ts";
import type { ProxyAnswer } from "../../ports/upstream.ts";
import {
  formatHop,
  type HopCopy,
  type HopLedger,
  parseHop,
  startHopLedger,
  startHopNumbers,
} from "./hop_ledger.ts";

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

describe("a ledger of forwarded requests", () => {
  let ledger: HopLedger;
  let runs = 0;

  beforeEach(() => {
    ledger = startHopLedger(receiver);
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

  describe("when a later copy comes", () => {
    it("answers the later copy only, while the request runs", async () => {
      const first = ledger.run(hop(), start);
      const second = ledger.run(hop({ copy: 2 }), start);
      assert.equal(await first, null);
      assert.equal((await second)?.isOk, true);
      assert.equal(runs, 1);
    });

    // Guards against a second charge for one booking: the copy came after all
    // that was remembered for a stated time had been forgotten.
    it("runs nothing more, however late it is", async (context) => {
      context.mock.timers.enable({ apis: ["setTimeout"] });
      await ledger.run(hop(), start);
      context.mock.timers.tick(3_600_000);
      assert.equal(await ledger.run(hop({ copy: 2 }), start), null);
      assert.equal(runs, 1);
    });

    it("runs nothing once its sender waits for it no longer", async () => {
      await ledger.run(hop(), start);
      await ledger.run(hop({ sequence: 6, settledBelow: 6 }), start);
      assert.equal(await ledger.run(hop({ copy: 2 }), start), null);
      assert.equal(runs, 2);
    });

    it("runs it if the first copy never came", async () => {
      const result = await ledger.run(hop({ copy: 2 }), start);
      assert.equal(result?.isOk, true);
      assert.equal(runs, 1);
    });

    // Guards against a second run by an agent that was started again: the
    // process before it may have run the first copy.
    it("leaves it unknown if the first was meant for another process", async () => {
      const late = hop({ copy: 2, receiver: "host-1/0" });
      const result = await ledger.run(late, start);
      assert.equal(result?.isErr && result.error.outcome, "unknown");
      assert.equal(runs, 0);
    });
  });

  describe("when the first copy came to another process than was meant", () => {
    // Guards against two runs while two processes can be reached at one
    // address: the first copy came over an old connection to the former one.
    it("runs it in one of them at most", async () => {
      const former = startHopLedger("host-1/0");
      await former.run(hop(), start);
      await ledger.run(hop({ copy: 2 }), start);
      assert.equal(runs, 1);
    });

    // Guards against requests that end unknown, or are held for answered, after
    // an agent was started again, though nothing has run.
    it("says that it has not run", async () => {
      const result = await ledger.run(hop({ receiver: "host-1/0" }), start);
      assert.equal(result?.isErr && result.error.outcome, "not-run");
      assert.equal(runs, 0);
    });
  });

  describe("when the sender has given a request up", () => {
    it("does not begin a copy that was still on its way", async () => {
      ledger.cancel(hop({ copy: 2 }));
      assert.equal(await ledger.run(hop(), start), null);
      assert.equal(runs, 0);
    });
  });

  describe("with several senders", () => {
    it("tells their requests apart", async () => {
      await ledger.run(hop(), start);
      await ledger.run(hop({ sender: "host-3/a", settledBelow: 5 }), start);
      assert.equal(runs, 2);
    });
  });

  describe("the numbers of a sender", () => {
    it("are settled up to the first that is still awaited", () => {
      const numbers = startHopNumbers();
      assert.equal(numbers.settledBelow(), 1);
      const [first, second] = [numbers.begin(), numbers.begin()];
      numbers.end(second);
      assert.equal(numbers.settledBelow(), first);
      numbers.end(first);
      assert.equal(numbers.settledBelow(), 3);
    });
  });

  describe("the name of a copy", () => {
    it("reads as it was written", () => {
      const named = hop({ sender: "Höst 2/a", copy: 2, settledBelow: 4 });
      assert.deepEqual(parseHop(formatHop(named)), named);
    });

    it("is not read from other text", () => {
      assert.equal(parseHop("host-2/a.5/1"), null);
      assert.equal(parseHop(null), null);
    });
  });
});
