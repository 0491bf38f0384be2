import assert from "node:assert/strict";
import { Buffer } from "node:buffer";
import { once } from "node:events";
import { connect, type Socket } from "node:net";
import { after, afterEach, before, beforeEach, describe, it } from "node:test";
import { Result } from "true-myth";
import { testConfiguration } from "../../../tests/test_configuration.ts";
import { openTestListener } from "../../../tests/test_listener.ts";
import { readWhole } from "../targets/exchange.ts";
import type { HttpListener } from "./http_listener.ts";

const answerBytes = 20_000_000;
const bodyBytes = 400_000;
const maxUnreadMilliseconds = 300;

function requestText(path: string, lines = ""): string {
  return `POST ${path} HTTP/1.1\r\nHost: studio.example\r\n${lines}\r\n`;
}

describe("a listener that bounds what it holds for callers", () => {
  let listener: HttpListener;
  let caller: Socket;
  let received = "";

  before(async () => {
    listener = await openTestListener({
      kind: "callers",
      configuration: testConfiguration({
        service: "media",
        defaultDeadlineMilliseconds: 5_000,
        longestBodyBytes: 2 * bodyBytes,
      }),
      maxHeaderBytes: 16_384,
      callerBounds: {
        totalBytes: 50_000_000,
        // Each request exceeds it, so that reading stops after each of them.
        connectionBytes: 1_000,
        maxConnections: 10,
        maxUnreadMilliseconds,
      },
      async handle({ path }, { body }) {
        const length = body.kind === "kept"
          ? body.bytes.length
          : (await readWhole(body.stream)).length;
        const bytes = path === "/media/long"
          ? Buffer.alloc(answerBytes)
          : Buffer.from(`read ${length}.`);
        return Result.ok({
          status: 200,
          headers: { "content-length": String(bytes.length) },
          body: { kind: "whole" as const, bytes },
          load: null,
        });
      },
    });
  });
  after(() => listener.close());

  beforeEach(async () => {
    received = "";
    caller = connect(listener.port, "127.0.0.1");
    caller.on("error", () => undefined);
    await once(caller, "connect");
  });
  afterEach(() => caller.destroy());

  /** Waits until the caller has received this many answers. */
  async function answers(count: number): Promise<readonly string[]> {
    caller.on("data", (data) => received += String(data));
    const end = performance.now() + 2_000;
    const found = () => received.match(/read -?\d+\./g) ?? [];
    while (found().length < count && performance.now() < end) {
      await new Promise((resolve) => setTimeout(resolve, 5));
    }
    return found();
  }

  describe("and doesn't read on from a connection", () => {
    // Guards against a connection that stays silent for ever: the body of a
    // request was not read, or no request after it.
    it("reads the rest of a body, and later the next requests", async () => {
      const length = `Content-Length: ${bodyBytes}\r\n`;
      for (let sent = 0; sent < 3; sent += 1) {
        caller.write(requestText("/media/body", length));
        for (let part = 0; part < 4; part += 1) {
          caller.write(Buffer.alloc(bodyBytes / 4));
          await new Promise((resolve) => setTimeout(resolve, 10));
        }
      }
      caller.write(requestText("/media/next", "Content-Length: 0\r\n"));
      const all = await answers(4);
      const whole = `read ${bodyBytes}.`;
      assert.deepEqual(all, [whole, whole, whole, "read 0."]);
    });
  });

  describe("whose caller reads no answer", () => {
    // Guards against answers that are held for as long as a caller likes.
    it("closes the connection after some time", async () => {
      caller.pause();
      caller.write(requestText("/media/long", "Content-Length: 0\r\n"));
      const end = performance.now() + 5_000;
      while (listener.unanswered() === 0 && performance.now() < end) {
        await new Promise((resolve) => setTimeout(resolve, 5));
      }
      while (listener.unanswered() > 0 && performance.now() < end) {
        await new Promise((resolve) => setTimeout(resolve, 20));
      }
      assert.equal(listener.unanswered(), 0);
      let bytes = 0;
      caller.on("data", (data) => bytes += data.length);
      caller.resume();
      await once(caller, "close");
      assert.ok(bytes < answerBytes, `${bytes}`);
    });
  });
});

describe("a listener whose callers send requests that take much memory", () => {
  const totalBytes = 20_000_000;
  /** What the estimate says of one request with the lines below, at least. */
  const minRequestBytes = 700_000;
  const lines = Array.from(
    { length: 2_000 },
    (_, index) => `z${index}:\r\n`,
  ).join("");
  const finish = new AbortController();
  let begun = 0;
  let listener: HttpListener;
  const callers: Socket[] = [];

  before(async () => {
    listener = await openTestListener({
      kind: "callers",
      configuration: testConfiguration({
        service: "media",
        defaultDeadlineMilliseconds: 20_000,
      }),
      maxHeaderBytes: 20_000,
      callerBounds: {
        totalBytes,
        connectionBytes: totalBytes / 10,
        maxConnections: 100,
        maxUnreadMilliseconds: 15_000,
      },
      async handle({ path }) {
        if (path === "/media/large") {
          begun += 1;
          await once(finish.signal, "abort");
        }
        return Result.ok({
          status: 200,
          headers: { "content-length": "0" },
          body: { kind: "whole" as const, bytes: Buffer.alloc(0) },
          load: null,
        });
      },
    });
  });
  after(() => {
    finish.abort();
    for (const caller of callers) caller.destroy();
    listener.close();
  });

  /** Sends a request on a new connection; resolves with its answer's head. */
  async function answerTo(text: string): Promise<string> {
    const caller = connect(listener.port, "127.0.0.1");
    callers.push(caller);
    caller.on("error", () => undefined);
    caller.write(text);
    const [answer] = await once(caller, "data");
    return String(answer);
  }

  // Guards against large requests that run as many as the memory holds: they
  // take all slots of the targets, and ordinary clients are refused there.
  it("runs some of them, refuses the others and runs ordinary ones", async () => {
    const length = "Content-Length: 0\r\n";
    const large = requestText("/media/large", length + lines);
    const sent = 16;
    const most = Math.floor(totalBytes / 4 / minRequestBytes);
    const refused: string[] = [];
    let timer: NodeJS.Timeout | undefined;
    await new Promise<void>((resolve) => {
      timer = setTimeout(resolve, 15_000);
      for (let count = 0; count < sent; count += 1) {
        void answerTo(large).then((answer) => {
          refused.push(answer);
          if (refused.length >= sent - most) resolve();
        });
      }
    });
    clearTimeout(timer);
    assert.ok(refused.length >= sent - most, `refused: ${refused.length}`);
    const ordinary = await answerTo(requestText("/media/next", length));
    assert.match(ordinary, /^HTTP\/1\.1 200 /);
    for (const answer of refused) {
      assert.match(answer, /^HTTP\/1\.1 503 /);
      assert.match(answer, /memory-full/);
    }
    assert.ok(begun >= 1 && begun <= most, `begun: ${begun}`);
    assert.ok(begun + refused.length <= sent);
  });

  // Guards against a client whose requests are read and refused for as long as
  // it sends any, which takes the time of the process.
  it("closes a connection on which many are sent ahead", async () => {
    const caller = connect(listener.port, "127.0.0.1");
    callers.push(caller);
    caller.on("error", () => undefined);
    caller.resume();
    const text = requestText("/media/large", "Content-Length: 0\r\n" + lines);
    for (let count = 0; count < 40; count += 1) caller.write(text);
    const timer = setTimeout(() => caller.destroy(), 15_000);
    let closedByListener = false;
    caller.once("end", () => closedByListener = true);
    caller.once("error", () => closedByListener = true);
    await new Promise((resolve) => caller.once("close", resolve));
    clearTimeout(timer);
    assert.ok(closedByListener);
  });
});
