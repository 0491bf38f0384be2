import assert from "node:assert/strict";
import { connect, type Socket } from "node:net";
import { Readable } from "node:stream";
import { afterEach, beforeEach, describe, it } from "node:test";
import { Result } from "true-myth";
import { testConfiguration } from "../../../tests/test_configuration.ts";
import { openTestListener } from "../../../tests/test_listener.ts";
import { notRun } from "../../core/request/outcome.ts";
import type { AnswerBody, ProxyRequest } from "../../ports/upstream.ts";
import type { Front, HandleRequest } from "./http_front.ts";

const configuration = testConfiguration({
  service: "media",
  defaultDeadlineMilliseconds: 5_000,
  longestBodyBytes: 10_000_000,
});

const largeAnswerBytes = 16_000_000;
const closeIdleMilliseconds = 20;
const patienceMilliseconds = 3_000;

function rest(milliseconds: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, milliseconds));
}

function textBody(text: string): AnswerBody {
  return { kind: "whole", bytes: new TextEncoder().encode(text) };
}

function answered(body: AnswerBody) {
  return Result.ok({ status: 200, headers: {}, body, load: null });
}

/** Answers `/media?wait=N` after so many milliseconds, with its query. */
async function answerAfterWait(request: ProxyRequest) {
  const query = request.path.split("?")[1] ?? "";
  await rest(Number(query.replace("wait=", "")));
  return answered(textBody(`<${query}>`));
}

function heads(text: string): number {
  return text.split("HTTP/1.1 200").length - 1;
}

describe("a listener of callers that drains", () => {
  let front: Front;
  let caller: Socket;
  let received = "";
  let closed: Promise<void>;
  let begun: readonly ProxyRequest[] = [];
  let handle: HandleRequest;

  async function untilClosed(): Promise<void> {
    const left = await Promise.race([
      closed,
      rest(patienceMilliseconds).then(() => "left open" as const),
    ]);
    assert.notEqual(left, "left open");
  }

  function send(path: string): void {
    caller.write(`GET ${path} HTTP/1.1\r\nHost: studio.example\r\n\r\n`);
  }

  beforeEach(async () => {
    begun = [];
    received = "";
    handle = answerAfterWait;
    front = await openTestListener({
      kind: "callers",
      configuration,
      longestHeaderBytes: 4_096,
      handle(request, options) {
        begun = [...begun, request];
        return handle(request, options);
      },
    });
    caller = connect(front.port, "127.0.0.1");
    closed = new Promise((resolve) => caller.once("close", () => resolve()));
    caller.on("error", () => undefined);
    caller.on("data", (data) => received += data.toString("latin1"));
    await new Promise((resolve) => caller.once("connect", resolve));
  });
  afterEach(() => {
    caller.destroy();
    front.close();
  });

  describe("from a caller that pipelines", () => {
    // Guards against requests that are passed on and cut without an answer
    // (LOST): the first answer after the announcement closed the connection.
    it("answers each request that it has begun", async () => {
      front.drain();
      send("/media?wait=30");
      send("/media?wait=60");
      send("/media?wait=1");
      await untilClosed();
      assert.equal(heads(received), 3);
      assert.match(received, /<wait=30>[^]*<wait=60>[^]*<wait=1>/);
    });

    // Guards against the same by the closing of idle connections: one whose
    // answer was on its way counted as idle, whatever waited behind it.
    it("answers what waits while idle connections are closed", async () => {
      send("/media?wait=30");
      send("/media?wait=100");
      await rest(10);
      front.drain();
      const closing = setInterval(() => front.closeIdle(), 1);
      await untilClosed();
      clearInterval(closing);
      assert.equal(heads(received), 2);
    });

    // Guards against requests that run without an answer: the connection is
    // about to be closed by the answer before them.
    it("begins nothing behind the answer that closes", async () => {
      const stream = new Readable({ read: () => undefined });
      stream.push("first half");
      handle = () => Promise.resolve(answered({ kind: "stream", stream }));
      front.drain();
      send("/media?wait=0");
      await rest(50);
      send("/media?wait=1");
      await rest(50);
      stream.push(null);
      await untilClosed();
      assert.equal(begun.length, 1);
      assert.equal(heads(received), 1);
    });
  });

  describe("while it answers", () => {
    // Guards against requests that cross the closing of their connection: the
    // caller was not told of it by the answer before.
    it("tells the caller with that answer that it closes", async () => {
      send("/media?wait=50");
      await rest(10);
      front.drain();
      await untilClosed();
      assert.match(received, /connection: close/i);
    });

    // Guards against large answers that are broken off: what was still on its
    // way to a slow caller counted as written.
    it("leaves open what a slow caller still reads", async () => {
      const body: AnswerBody = {
        kind: "whole",
        bytes: new Uint8Array(largeAnswerBytes).fill(120),
      };
      handle = () => Promise.resolve(answered(body));
      caller.pause();
      send("/media?wait=0");
      await rest(100);
      front.drain();
      const closing = setInterval(
        () => front.closeIdle(),
        closeIdleMilliseconds,
      );
      await rest(200);
      assert.equal(front.unanswered(), 1);
      caller.resume();
      await untilClosed();
      clearInterval(closing);
      assert.ok(received.length > largeAnswerBytes, `${received.length}`);
      assert.equal(front.unanswered(), 0);
    });
  });

  describe("when it refuses a body that still comes", () => {
    // Guards against callers that don't learn that their upload has not run:
    // closing a connection with unread bytes drops the refusal on its way.
    it("lets the refusal arrive", async () => {
      handle = () => Promise.resolve(Result.err(notRun("target-leaving")));
      front.drain();
      const length = 8_000_000;
      caller.pause();
      caller.write(
        "POST /media HTTP/1.1\r\nHost: studio.example\r\n" +
          `content-length: ${length}\r\n\r\n`,
      );
      caller.write(new Uint8Array(length));
      await rest(300);
      caller.resume();
      const closing = setInterval(
        () => front.closeIdle(),
        closeIdleMilliseconds,
      );
      await untilClosed();
      clearInterval(closing);
      assert.match(received, /^HTTP\/1.1 503/);
    });
  });

  describe("with a caller that sends nothing more", () => {
    it("closes its connection when it is told to", async () => {
      send("/media?wait=0");
      while (heads(received) === 0) await rest(5);
      front.drain();
      await rest(20);
      assert.equal(caller.readableEnded, false);
      front.closeIdle();
      await untilClosed();
    });
  });
});
