import assert from "node:assert/strict";
import { connect, type Socket } from "node:net";
import { Readable } from "node:stream";
import { afterEach, beforeEach, describe, it } from "node:test";
import { Result } from "true-myth";
import { testConfiguration } from "../../../tests/test_configuration.ts";
import { openTestListener } from "../../../tests/test_listener.ts";
import { notRun } from "../../core/request/outcome.ts";
import type { AnswerBody, ProxyRequest } from "../../ports/upstream.ts";
import type { HandleRequest, HttpListener } from "./http_listener.ts";

const configuration = testConfiguration({
  service: "media",
  defaultDeadlineMilliseconds: 5_000,
  longestBodyBytes: 10_000_000,
});

const largeAnswerBytes = 16_000_000;
const closeIdleMilliseconds = 20;
const closeTimeoutMilliseconds = 3_000;

function sleep(milliseconds: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, milliseconds));
}

function textBody(text: string): AnswerBody {
  return { kind: "whole", bytes: new TextEncoder().encode(text) };
}

function answered(body: AnswerBody) {
  return Result.ok({ status: 200, headers: {}, body, load: null });
}

/** Answers `/media?wait=N` after N milliseconds with its query. */
async function answerAfterWait(request: ProxyRequest) {
  const query = request.path.split("?")[1] ?? "";
  await sleep(Number(query.replace("wait=", "")));
  return answered(textBody(`<${query}>`));
}

function countAnswers(text: string): number {
  return text.split("HTTP/1.1 200").length - 1;
}

describe("a listener of callers that drains", () => {
  let front: HttpListener;
  let caller: Socket;
  let received = "";
  let closed: Promise<void>;
  let started: readonly ProxyRequest[] = [];
  let handle: HandleRequest;

  async function untilClosed(): Promise<void> {
    const outcome = await Promise.race([
      closed,
      sleep(closeTimeoutMilliseconds).then(() => "left open" as const),
    ]);
    assert.notEqual(outcome, "left open");
  }

  function send(path: string): void {
    caller.write(`GET ${path} HTTP/1.1\r\nHost: studio.example\r\n\r\n`);
  }

  beforeEach(async () => {
    started = [];
    received = "";
    handle = answerAfterWait;
    front = await openTestListener({
      kind: "callers",
      configuration,
      maxHeaderBytes: 4_096,
      handle(request, options) {
        started = [...started, request];
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
    // Guards against requests that are forwarded and cut off without an answer:
    // the first answer after the start of draining closed the connection.
    it("answers all requests that it has started", async () => {
      front.drain();
      send("/media?wait=30");
      send("/media?wait=60");
      send("/media?wait=1");
      await untilClosed();
      assert.equal(countAnswers(received), 3);
      assert.match(received, /<wait=30>[^]*<wait=60>[^]*<wait=1>/);
    });

    // Guards against the same when idle connections are closed: a connection
    // counted as idle while an answer was sent, even with further requests.
    it("answers pending requests while idle connections are closed", async () => {
      send("/media?wait=30");
      send("/media?wait=100");
      await sleep(10);
      front.drain();
      const closeTimer = setInterval(() => front.closeIdle(), 1);
      await untilClosed();
      clearInterval(closeTimer);
      assert.equal(countAnswers(received), 2);
    });

    // Guards against requests that run but cannot be answered: the answer
    // before them closes the connection.
    it("starts no request after the one whose answer closes the connection", async () => {
      const stream = new Readable({ read: () => undefined });
      stream.push("first half");
      handle = () => Promise.resolve(answered({ kind: "stream", stream }));
      front.drain();
      send("/media?wait=0");
      await sleep(50);
      send("/media?wait=1");
      await sleep(50);
      stream.push(null);
      await untilClosed();
      assert.equal(started.length, 1);
      assert.equal(countAnswers(received), 1);
    });
  });

  describe("while it answers", () => {
    // Guards against requests that are sent while their connection is closed:
    // the previous answer did not announce that to the caller.
    it("announces with that answer that it closes the connection", async () => {
      send("/media?wait=50");
      await sleep(10);
      front.drain();
      await untilClosed();
      assert.match(received, /connection: close/i);
    });

    // Guards against large answers that are cut off: data that was still being
    // sent to a slow caller counted as written.
    it("keeps connections open that slow callers still read from", async () => {
      const body: AnswerBody = {
        kind: "whole",
        bytes: new Uint8Array(largeAnswerBytes).fill(120),
      };
      handle = () => Promise.resolve(answered(body));
      caller.pause();
      send("/media?wait=0");
      await sleep(100);
      front.drain();
      const closeTimer = setInterval(
        () => front.closeIdle(),
        closeIdleMilliseconds,
      );
      await sleep(200);
      assert.equal(front.unanswered(), 1);
      caller.resume();
      await untilClosed();
      clearInterval(closeTimer);
      assert.ok(received.length > largeAnswerBytes, `${received.length}`);
      assert.equal(front.unanswered(), 0);
    });
  });

  describe("when it refuses a request during its upload", () => {
    // Guards against callers that don't learn that their upload has not run:
    // closing a connection with unread bytes discards the refusal.
    it("delivers the refusal", async () => {
      handle = () => Promise.resolve(Result.err(notRun("target-leaving")));
      front.drain();
      const length = 8_000_000;
      caller.pause();
      caller.write(
        "POST /media HTTP/1.1\r\nHost: studio.example\r\n" +
          `content-length: ${length}\r\n\r\n`,
      );
      caller.write(new Uint8Array(length));
      await sleep(300);
      caller.resume();
      const closeTimer = setInterval(
        () => front.closeIdle(),
        closeIdleMilliseconds,
      );
      await untilClosed();
      clearInterval(closeTimer);
      assert.match(received, /^HTTP\/1.1 503/);
    });
  });

  describe("with an idle caller", () => {
    it("closes its connection only when idle ones are to be closed", async () => {
      send("/media?wait=0");
      while (countAnswers(received) === 0) await sleep(5);
      front.drain();
      await sleep(20);
      assert.equal(caller.readableEnded, false);
      front.closeIdle();
      await untilClosed();
    });
  });
});
