import assert from "node:assert/strict";
import { connect, type Socket } from "node:net";
import { after, before, describe, it } from "node:test";
import { Result } from "true-myth";
import { testConfiguration } from "../../../tests/test_configuration.ts";
import { openTestListener } from "../../../tests/test_listener.ts";
import type { ProxyRequest } from "../../ports/upstream.ts";
import type { Front } from "./http_front.ts";

const deadlineMilliseconds = 200;
const standstillMilliseconds = 600;

const configuration = testConfiguration({
  service: "media",
  defaultDeadlineMilliseconds: deadlineMilliseconds,
});

function rest(milliseconds: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, milliseconds));
}

/** Keeps this process from reading anything, as one without processor time. */
function standStill(milliseconds: number): void {
  const endAt = performance.now() + milliseconds;
  while (performance.now() < endAt) continue;
}

describe("a request that lies unread", () => {
  let front: Front;
  let caller: Socket;
  let begun: readonly ProxyRequest[] = [];

  before(async () => {
    front = await openTestListener({
      kind: "callers",
      configuration,
      longestHeaderBytes: 4_096,
      handle(request) {
        begun = [...begun, request];
        const body = { kind: "whole", bytes: new Uint8Array() } as const;
        return Promise.resolve(
          Result.ok({ status: 200, headers: {}, body, load: null }),
        );
      },
    });
    caller = connect(front.port, "127.0.0.1");
    caller.on("error", () => undefined);
    await new Promise((resolve) => caller.once("connect", resolve));
    await rest(50);
  });
  after(() => {
    caller.destroy();
    front.close();
  });

  function send(): void {
    caller.write("GET /media HTTP/1.1\r\nHost: studio.example\r\n\r\n");
  }

  describe("in a process that waits for it", () => {
    it("has all of its time", async () => {
      await rest(standstillMilliseconds);
      send();
      await rest(50);
      const left = (begun[0]?.deadlineAt ?? 0) - performance.now();
      assert.ok(left > deadlineMilliseconds - 100, `${left}`);
    });
  });

  describe("in a process that stands still for longer than its time", () => {
    // Guards against targets that are handed more time than is left (BUDGET),
    // and work for callers that have left (GONE): the deadline began anew when
    // a request was read.
    it("is not begun", async () => {
      begun = [];
      send();
      standStill(standstillMilliseconds);
      await rest(100);
      assert.deepEqual(begun, []);
    });
  });
});
