import assert from "node:assert/strict";
import { connect, type Socket } from "node:net";
import { afterEach, beforeEach, describe, it } from "node:test";
import { Result } from "true-myth";
import { testConfiguration } from "../../../tests/test_configuration.ts";
import { openTestListener } from "../../../tests/test_listener.ts";
import type { ProxyAnswer, ProxyRequest } from "../../ports/upstream.ts";
import type { Front } from "./http_front.ts";

const deadlineMilliseconds = 5_000;

const configuration = testConfiguration({
  service: "media",
  defaultDeadlineMilliseconds: deadlineMilliseconds,
});

const answerBytes = 5_000;
const pipelined = 45;
/** A process that is not busy reads what has come well within this time. */
const readMilliseconds = 100;

/** A process that has begun nothing for so long may have stood still. */
const idleMilliseconds = 200;

type Leave = (socket: Socket) => unknown;

/** The ways in which a caller goes. */
const ways: Readonly<Record<string, Leave>> = {
  "ends its connection": (socket) => socket.end(),
  "closes its connection": (socket) => socket.destroy(),
  "resets its connection": (socket) => socket.resetAndDestroy(),
};

function rest(milliseconds: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, milliseconds));
}

/** Keeps this process from reading anything. */
function standStill(milliseconds: number): void {
  const endAt = performance.now() + milliseconds;
  while (performance.now() < endAt) continue;
}

function textOfRequest(path: string): string {
  return `GET ${path} HTTP/1.1\r\nHost: studio.example\r\n\r\n`;
}

const answer: ProxyAnswer = {
  status: 200,
  headers: { "content-length": String(answerBytes) },
  body: { kind: "whole", bytes: new Uint8Array(answerBytes) },
  load: null,
};

describe("a caller that pipelines", () => {
  let front: Front;
  let begun: readonly ProxyRequest[] = [];
  let caller: Socket;

  /** The path `/media/long` is answered only when its caller has left. */
  let duringTurn: (() => void) | null = null;

  async function handle(request: ProxyRequest) {
    begun = [...begun, request];
    duringTurn?.();
    duringTurn = null;
    if (request.path !== "/media/long") return Result.ok(answer);
    await new Promise((resolve) =>
      request.signal.addEventListener("abort", resolve)
    );
    return Result.ok(answer);
  }

  beforeEach(async () => {
    begun = [];
    front = await openTestListener({
      kind: "callers",
      configuration,
      longestHeaderBytes: 4_096,
      handle,
    });
    caller = connect(front.port, "127.0.0.1");
    caller.on("error", () => undefined);
    await new Promise((resolve) => caller.once("connect", resolve));
    // The listener has taken the connection, and has nothing to do for a while.
    await rest(idleMilliseconds);
  });
  afterEach(() => {
    caller.destroy();
    front.close();
  });

  for (const [way, leave] of Object.entries(ways)) {
    describe(`and ${way}`, () => {
      // Guards against work for callers that have left (GONE): a process that
      // had not run for a while began all that it read before it read the end.
      it("before any of it is read has none begun", async () => {
        caller.write(textOfRequest("/media/short").repeat(pipelined));
        leave(caller);
        await rest(readMilliseconds);
        assert.equal(begun.length, 0);
      });

      // Guards against work for callers that have left (GONE): while answers
      // waited behind a long request nothing was read, the end neither.
      it("while answers wait has what runs given up", async () => {
        caller.write(textOfRequest("/media/long"));
        for (let count = 1; count < pipelined; count += 1) {
          caller.write(textOfRequest("/media/short"));
          await rest(2);
        }
        await rest(readMilliseconds);
        assert.equal(begun.length, pipelined);
        leave(caller);
        await rest(readMilliseconds);
        assert.equal(begun[0]?.signal.aborted, true);
      });
    });
  }

  describe("and leaves while this process takes long over another's request", () => {
    // Guards against work for callers that have left (GONE): the turn after a
    // long one was taken for one that follows at once.
    it("has none begun", async () => {
      const other = connect(front.port, "127.0.0.1");
      await new Promise((resolve) => other.once("connect", resolve));
      duringTurn = () => {
        standStill(idleMilliseconds);
        caller.write(textOfRequest("/media/short").repeat(pipelined));
        caller.destroy();
      };
      other.write(textOfRequest("/media/short"));
      await rest(idleMilliseconds + readMilliseconds);
      assert.equal(begun.length, 1);
      other.destroy();
    });
  });

  describe("and stays", () => {
    it("gets all answers in the order of its requests", async () => {
      let received = 0;
      caller.on("data", (data) => received += data.length);
      caller.write(textOfRequest("/media/short").repeat(pipelined));
      await rest(2 * readMilliseconds);
      assert.equal(begun.length, pipelined);
      assert.ok(received > pipelined * answerBytes, `${received}`);
    });
  });

  describe("without end behind a request that runs", () => {
    // Guards against a memory that callers can fill: answers wait for the
    // first one, and so do the refusals of what is beyond them.
    it("is read no further at some point", async () => {
      const each = textOfRequest("/media/short");
      caller.write(textOfRequest("/media/long"));
      // More than the buffers of both ends hold.
      caller.write(each.repeat(500_000));
      await rest(5 * readMilliseconds);
      assert.ok(begun.length < 1_000, `${begun.length}`);
      assert.ok(caller.writableLength > 0);
    });
  });
});
