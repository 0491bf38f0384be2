import assert from "node:assert/strict";
import { connect, type Socket } from "node:net";
import { afterEach, beforeEach, describe, it } from "node:test";
import { Result } from "true-myth";
import { testConfiguration } from "../../../tests/test_configuration.ts";
import { openTestListener } from "../../../tests/test_listener.ts";
import type { ProxyAnswer, ProxyRequest } from "../../ports/upstream.ts";
import type { HttpListener } from "./http_listener.ts";

const deadlineMilliseconds = 5_000;

const configuration = testConfiguration({
  service: "media",
  defaultDeadlineMilliseconds: deadlineMilliseconds,
});

const answerBytes = 5_000;
const pipelinedRequests = 45;
/** A process that is not busy reads pending input well within this time. */
const readMilliseconds = 100;

/** A process that has started no work for this long counts as delayed. */
const idleMilliseconds = 200;

type Disconnect = (socket: Socket) => unknown;

/** The ways in which a caller disconnects. */
const disconnects: Readonly<Record<string, Disconnect>> = {
  "ends its connection": (socket) => socket.end(),
  "closes its connection": (socket) => socket.destroy(),
  "resets its connection": (socket) => socket.resetAndDestroy(),
};

function sleep(milliseconds: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, milliseconds));
}

/** Blocks the event loop, so that this process reads no input. */
function blockEventLoop(milliseconds: number): void {
  const endAt = performance.now() + milliseconds;
  while (performance.now() < endAt) continue;
}

function requestText(path: string): string {
  return `GET ${path} HTTP/1.1\r\nHost: studio.example\r\n\r\n`;
}

const answer: ProxyAnswer = {
  status: 200,
  headers: { "content-length": String(answerBytes) },
  body: { kind: "whole", bytes: new Uint8Array(answerBytes) },
  load: null,
};

describe("a caller that pipelines", () => {
  let front: HttpListener;
  let started: readonly ProxyRequest[] = [];
  let caller: Socket;

  /** Called once, while the next request is handled. */
  let duringTurn: (() => void) | null = null;

  /** Answers the path `/media/long` only once its caller has left. */
  async function handle(request: ProxyRequest) {
    started = [...started, request];
    duringTurn?.();
    duringTurn = null;
    if (request.path !== "/media/long") return Result.ok(answer);
    await new Promise((resolve) =>
      request.signal.addEventListener("abort", resolve)
    );
    return Result.ok(answer);
  }

  beforeEach(async () => {
    started = [];
    front = await openTestListener({
      kind: "callers",
      configuration,
      maxHeaderBytes: 4_096,
      handle,
    });
    caller = connect(front.port, "127.0.0.1");
    caller.on("error", () => undefined);
    await new Promise((resolve) => caller.once("connect", resolve));
    // The listener has accepted the connection and is idle for a while.
    await sleep(idleMilliseconds);
  });
  afterEach(() => {
    caller.destroy();
    front.close();
  });

  for (const [name, leave] of Object.entries(disconnects)) {
    describe(`and ${name}`, () => {
      // Guards against work for callers that have left: a process that had not
      // run for a while started all requests that it read before it read the
      // end of the connection.
      it("before its requests are read has none of them started", async () => {
        caller.write(requestText("/media/short").repeat(pipelinedRequests));
        leave(caller);
        await sleep(readMilliseconds);
        assert.equal(started.length, 0);
      });

      // Guards against work for callers that have left: while answers waited
      // for that to a long request, no input was read, so the end of the
      // connection went unnoticed.
      it("while answers are pending has the running request aborted", async () => {
        caller.write(requestText("/media/long"));
        for (let count = 1; count < pipelinedRequests; count += 1) {
          caller.write(requestText("/media/short"));
          await sleep(2);
        }
        await sleep(readMilliseconds);
        assert.equal(started.length, pipelinedRequests);
        leave(caller);
        await sleep(readMilliseconds);
        assert.equal(started[0]?.signal.aborted, true);
      });
    });
  }

  describe("and leaves while another request blocks the event loop", () => {
    // Guards against work for callers that have left: after a long turn of the
    // event loop, the process was not treated as delayed.
    it("has no request started", async () => {
      const other = connect(front.port, "127.0.0.1");
      await new Promise((resolve) => other.once("connect", resolve));
      duringTurn = () => {
        blockEventLoop(idleMilliseconds);
        caller.write(requestText("/media/short").repeat(pipelinedRequests));
        caller.destroy();
      };
      other.write(requestText("/media/short"));
      await sleep(idleMilliseconds + readMilliseconds);
      assert.equal(started.length, 1);
      other.destroy();
    });
  });

  describe("and stays", () => {
    it("gets all answers in the order of its requests", async () => {
      let received = 0;
      caller.on("data", (data) => received += data.length);
      caller.write(requestText("/media/short").repeat(pipelinedRequests));
      await sleep(2 * readMilliseconds);
      assert.equal(started.length, pipelinedRequests);
      assert.ok(received > pipelinedRequests * answerBytes, `${received}`);
    });
  });

  describe("without end after a long request", () => {
    // Guards against unbounded memory use by callers: all answers wait for the
    // first one, including the refusals of excess requests.
    it("is not read any further at some point", async () => {
      const each = requestText("/media/short");
      caller.write(requestText("/media/long"));
      // Exceeds the socket buffers of both ends.
      caller.write(each.repeat(500_000));
      await sleep(5 * readMilliseconds);
      assert.ok(started.length < 1_000, `${started.length}`);
      assert.ok(caller.writableLength > 0);
    });
  });
});
