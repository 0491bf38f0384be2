import assert from "node:assert/strict";
import { connect, type Socket } from "node:net";
import { after, before, beforeEach, describe, it } from "node:test";
import { Result } from "true-myth";
import { testConfiguration } from "../../../tests/test_configuration.ts";
import { openTestListener, testAgentId } from "../../../tests/test_listener.ts";
import { unknownOutcome } from "../../core/request/outcome.ts";
import { fields } from "../headers.ts";
import { formatHop } from "./hop_ledger.ts";
import type { Front } from "../callers/http_front.ts";

const deadlineMilliseconds = 1_000;

const configuration = testConfiguration({
  service: "booking",
  defaultDeadlineMilliseconds: 2_000,
  longestDeadlineMilliseconds: 5_000,
  longestBodyBytes: 100_000,
});

function pause(milliseconds: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, milliseconds));
}

describe("a request that another agent sends on", () => {
  let front: Front;
  let aborted: readonly number[] = [];
  let begunAt: readonly number[] = [];

  before(async () => {
    front = await openTestListener({
      kind: "agents",
      configuration,
      longestHeaderBytes: 16_384,
      handle(request) {
        begunAt = [...begunAt, performance.now()];
        return new Promise((resolve) => {
          request.signal.addEventListener("abort", () => {
            aborted = [...aborted, performance.now()];
            resolve(Result.err(unknownOutcome("caller-left")));
          });
        });
      },
    });
  });
  beforeEach(() => {
    aborted = [];
    begunAt = [];
  });
  after(() => front.close());

  function send(options: {
    readonly sequence: number;
    readonly copy: number;
    readonly statedBytes: number;
    readonly sentBytes: number;
  }): Socket {
    const { sequence, copy } = options;
    const hop = { sequence, copy, settledBelow: 1, receiver: testAgentId };
    const socket = connect(front.port, "127.0.0.1");
    socket.on("error", () => undefined);
    socket.resume();
    socket.write([
      "POST /booking HTTP/1.1",
      "host: studio.example",
      `${fields.requestId}: r-${sequence}`,
      `${fields.service}: booking`,
      `${fields.idempotent}: true`,
      `${fields.deadline}: ${deadlineMilliseconds}`,
      `${fields.hop}: ${formatHop({ ...hop, sender: "host-2/a" })}`,
      `content-length: ${options.statedBytes}`,
      "",
      "x".repeat(options.sentBytes),
    ].join("\r\n"));
    return socket;
  }

  describe("in two copies, both of which are given up", () => {
    // Guards against work that goes on for a caller who has left: the second
    // copy's end ended nothing, since the run listened to the first only.
    it("is ended", async () => {
      const copy = { sequence: 1, statedBytes: 4, sentBytes: 4 };
      const first = send({ ...copy, copy: 1 });
      await pause(100);
      const second = send({ ...copy, copy: 2 });
      await pause(100);
      first.destroy();
      second.destroy();
      await pause(300);
      assert.equal(begunAt.length, 1);
      assert.equal(aborted.length, 1);
    });
  });

  describe("of whose body the rest never comes, on a dead connection", () => {
    // Guards against a connection and half a body that are kept for ever.
    it("is given up when its time is over", async () => {
      let closed = false;
      const socket = send({
        sequence: 2,
        copy: 1,
        statedBytes: 40_000,
        sentBytes: 10_000,
      });
      socket.on("close", () => closed = true);
      await pause(deadlineMilliseconds * 2);
      const ended = closed;
      socket.destroy();
      assert.ok(ended);
    });
  });
});
