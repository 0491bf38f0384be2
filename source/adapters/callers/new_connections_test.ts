import assert from "node:assert/strict";
import { connect, type Socket } from "node:net";
import { after, before, describe, it } from "node:test";
import { Result } from "true-myth";
import { testConfiguration } from "../../../tests/test_configuration.ts";
import { openTestListener } from "../../../tests/test_listener.ts";
import type { HttpListener } from "./http_listener.ts";

/** The deadline of the most urgent rank in the examples. */
const deadlineMilliseconds = 500;
const newCallers = 60;
/** Other work of the process in each turn of the event loop. */
const turnMilliseconds = 15;

const configuration = testConfiguration({
  service: "media",
  defaultDeadlineMilliseconds: deadlineMilliseconds,
});

const request = "GET /media/1 HTTP/1.1\r\nHost: studio.example\r\n\r\n";

/** Blocks the event loop, so that this process reads no input. */
function blockEventLoop(milliseconds: number): void {
  const nothing = new Int32Array(new SharedArrayBuffer(4));
  Atomics.wait(nothing, 0, 0, milliseconds);
}

describe("callers on new connections", () => {
  describe("that come at one time to a process with long turns", () => {
    let front: HttpListener;
    let busy = true;
    const callers: Socket[] = [];

    before(async () => {
      front = await openTestListener({
        kind: "callers",
        configuration,
        maxHeaderBytes: 4_096,
        handle: () => {
          const body = { kind: "whole", bytes: new Uint8Array() } as const;
          return Promise.resolve(
            Result.ok({ status: 200, headers: {}, body, load: null }),
          );
        },
      });
      const turn = () => {
        blockEventLoop(turnMilliseconds);
        if (busy) setImmediate(turn);
      };
      setImmediate(turn);
    });
    after(() => {
      busy = false;
      for (const caller of callers) caller.destroy();
      front.close();
    });

    // Guards against callers that wait more than a second for an answer though
    // no process is stalled: a turn accepts one new connection at most.
    it("have an answer by their deadline", async () => {
      const startedAt = performance.now();
      const durations = await Promise.all(
        Array.from(
          { length: newCallers },
          () =>
            new Promise<number>((resolve) => {
              const caller = connect(front.port, "127.0.0.1");
              callers.push(caller);
              caller.on("error", () => undefined);
              caller.write(request);
              caller.once("data", () => resolve(performance.now() - startedAt));
            }),
        ),
      );
      const late = durations.filter((milliseconds) =>
        milliseconds > deadlineMilliseconds
      );
      assert.equal(late.length, 0, `${late.length} late of ${newCallers}`);
    });
  });
});
