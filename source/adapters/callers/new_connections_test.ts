import assert from "node:assert/strict";
import { connect, type Socket } from "node:net";
import { after, before, describe, it } from "node:test";
import { Result } from "true-myth";
import { testConfiguration } from "../../../tests/test_configuration.ts";
import { openTestListener } from "../../../tests/test_listener.ts";
import type { Front } from "./http_front.ts";

/** As the examples state it for the most urgent rank. */
const deadlineMilliseconds = 500;
const newCallers = 60;
/** What the process does beside in each of its turns. */
const turnMilliseconds = 15;

const configuration = testConfiguration({
  service: "media",
  defaultDeadlineMilliseconds: deadlineMilliseconds,
});

const request = "GET /media/1 HTTP/1.1\r\nHost: studio.example\r\n\r\n";

/** Keeps this process from reading anything. */
function standStill(milliseconds: number): void {
  const nothing = new Int32Array(new SharedArrayBuffer(4));
  Atomics.wait(nothing, 0, 0, milliseconds);
}

describe("callers on new connections", () => {
  describe("that come at one time to a process with long turns", () => {
    let front: Front;
    let busy = true;
    const callers: Socket[] = [];

    before(async () => {
      front = await openTestListener({
        kind: "callers",
        configuration,
        longestHeaderBytes: 4_096,
        handle: () => {
          const body = { kind: "whole", bytes: new Uint8Array() } as const;
          return Promise.resolve(
            Result.ok({ status: 200, headers: {}, body, load: null }),
          );
        },
      });
      const turn = () => {
        standStill(turnMilliseconds);
        if (busy) setImmediate(turn);
      };
      setImmediate(turn);
    });
    after(() => {
      busy = false;
      for (const caller of callers) caller.destroy();
      front.close();
    });

    // Guards against callers that get no answer for a second and more, though
    // no process stands still: a turn takes in one new connection at most.
    it("have an answer by their deadline", async () => {
      const startedAt = performance.now();
      const took = await Promise.all(
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
      const late = took.filter((milliseconds) =>
        milliseconds > deadlineMilliseconds
      );
      assert.equal(late.length, 0, `${late.length} late of ${newCallers}`);
    });
  });
});
