import assert from "node:assert/strict";
import { connect, type Socket } from "node:net";
import { after, before, beforeEach, describe, it } from "node:test";
import { Result } from "true-myth";
import { testConfiguration } from "../../../tests/test_configuration.ts";
import { openTestListener, testAgentId } from "../../../tests/test_listener.ts";
import { unknownOutcome } from "../../core/request/outcome.ts";
import { fields } from "../headers.ts";
import { formatHop } from "./hop_deduplication.ts";
import type { HttpListener } from "../callers/http_listener.ts";

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

describe("a request that another agent forwards", () => {
  let front: HttpListener;
  let cancelledAt: readonly number[] = [];
  let startedAt: readonly number[] = [];

  before(async () => {
    front = await openTestListener({
      kind: "agents",
      configuration,
      maxHeaderBytes: 16_384,
      handle(request) {
        startedAt = [...startedAt, performance.now()];
        return new Promise((resolve) => {
          request.signal.addEventListener("abort", () => {
            cancelledAt = [...cancelledAt, performance.now()];
            resolve(Result.err(unknownOutcome("caller-left")));
          });
        });
      },
    });
  });
  beforeEach(() => {
    cancelledAt = [];
    startedAt = [];
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
    // Guards against work that goes on for a caller who has left: only the
    // first copy could cancel the request, so the end of the second one did
    // not.
    it("is cancelled", async () => {
      const copy = { sequence: 1, statedBytes: 4, sentBytes: 4 };
      const first = send({ ...copy, copy: 1 });
      await pause(100);
      const second = send({ ...copy, copy: 2 });
      await pause(100);
      first.destroy();
      second.destroy();
      await pause(300);
      assert.equal(startedAt.length, 1);
      assert.equal(cancelledAt.length, 1);
    });
  });

  describe("whose body never arrives completely", () => {
    // Guards against a connection and part of a body that are kept for ever: on
    // a dead connection the rest of the body never arrives.
    it("is given up after its deadline", async () => {
      let closed = false;
      const socket = send({
        sequence: 2,
        copy: 1,
        statedBytes: 40_000,
        sentBytes: 10_000,
      });
      socket.on("close", () => closed = true);
      await pause(deadlineMilliseconds * 2);
      const closedInTime = closed;
      socket.destroy();
      assert.ok(closedInTime);
    });
  });
});
