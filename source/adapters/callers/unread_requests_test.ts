import assert from "node:assert/strict";
import { connect, type Socket } from "node:net";
import { after, before, describe, it } from "node:test";
import { Result } from "true-myth";
import { testConfiguration } from "../../../tests/test_configuration.ts";
import { openTestListener } from "../../../tests/test_listener.ts";
import type { ProxyRequest } from "../../ports/upstream.ts";
import type { HttpListener } from "./http_listener.ts";

const deadlineMilliseconds = 200;
const stallMilliseconds = 600;

const configuration = testConfiguration({
  service: "media",
  defaultDeadlineMilliseconds: deadlineMilliseconds,
});

function sleep(milliseconds: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, milliseconds));
}

/** Blocks the event loop, like a process that gets no processor time. */
function blockEventLoop(milliseconds: number): void {
  const endAt = performance.now() + milliseconds;
  while (performance.now() < endAt) continue;
}

describe("a request that is received", () => {
  let front: HttpListener;
  let caller: Socket;
  let started: readonly ProxyRequest[] = [];

  before(async () => {
    front = await openTestListener({
      kind: "callers",
      configuration,
      maxHeaderBytes: 4_096,
      handle(request) {
        started = [...started, request];
        const body = { kind: "whole", bytes: new Uint8Array() } as const;
        return Promise.resolve(
          Result.ok({ status: 200, headers: {}, body, load: null }),
        );
      },
    });
    caller = connect(front.port, "127.0.0.1");
    caller.on("error", () => undefined);
    await new Promise((resolve) => caller.once("connect", resolve));
    await sleep(50);
  });
  after(() => {
    caller.destroy();
    front.close();
  });

  function send(): void {
    caller.write("GET /media HTTP/1.1\r\nHost: studio.example\r\n\r\n");
  }

  describe("by an idle process", () => {
    it("has its whole deadline left", async () => {
      await sleep(stallMilliseconds);
      send();
      await sleep(50);
      const remaining = (started[0]?.deadlineAt ?? 0) - performance.now();
      assert.ok(remaining > deadlineMilliseconds - 100, `${remaining}`);
    });
  });

  describe("by a process that is stalled beyond its deadline", () => {
    // Guards against passing targets more time than is left and against work
    // for callers that have left: the deadline was counted from when a request
    // was read.
    it("is not started", async () => {
      started = [];
      send();
      blockEventLoop(stallMilliseconds);
      await sleep(100);
      assert.deepEqual(started, []);
    });
  });
});
