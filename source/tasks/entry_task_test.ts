import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { Result } from "true-myth";
import { emptyConfiguration } from "../core/document/document.ts";
import { notRun } from "../core/request/outcome.ts";
import { testAgent } from "../../tests/test_agent.ts";
import { testRequest } from "../../tests/test_request.ts";
import type { ReadPendingInput } from "../ports/input.ts";
import type { Forwarder } from "../ports/upstream.ts";
import { startEntry } from "./entry_task.ts";
import { pause } from "./time.ts";

const mostSaved = 3;

type Forward = Forwarder["forward"];

/** An entry whose requests fare with other agents as stated. */
function startTestEntry(
  forward: Forward,
  readPendingInput: ReadPendingInput = () => Promise.resolve(),
) {
  const entry = startEntry({
    agent: testAgent("entry", { service: "none" }),
    agents: () =>
      ["booking-1", "booking-2", "media-1", "media-2"].map((id) =>
        testAgent(id, { service: id.split("-")[0] ?? "", peerAddress: id })
      ),
    configuration: () => emptyConfiguration,
    localTable: () => null,
    serve: {
      serve: () => Promise.resolve(Result.err(notRun("not-owner"))),
      running: () => 0,
    },
    forwarder: { forward, close: () => Promise.resolve() },
    peers: {
      call: () =>
        Promise.resolve(Result.err({ kind: "unreachable", detail: "" })),
      close: () => Promise.resolve(),
    },
    events: { record: () => undefined },
    metrics: { count: () => undefined, time: () => undefined },
    hash: () => 0,
    place: () => -1,
    random: () => 0.5,
    readPendingInput,
    retries: () => ({
      earnedByRequest: 0.1,
      mostSaved,
      firstDelayMilliseconds: 0,
      longestDelayMilliseconds: 0,
    }),
    shortestTableAgeMilliseconds: 0,
  });
  return async function send(
    service: string,
    signal = AbortSignal.timeout(10_000),
  ): Promise<void> {
    const request = testRequest({
      service,
      mostAttempts: 3,
      deadlineAt: performance.now() + 10_000,
      signal,
    });
    await entry.handle(request, {
      body: { kind: "kept", bytes: new Uint8Array() },
    });
  };
}

/** An entry all of whose requests are refused by the targets. */
function startRefusedEntry() {
  const sent: string[] = [];
  const sendOne = startTestEntry((_address, request) => {
    sent.push(request.service);
    return Promise.resolve(Result.err(notRun("target-refused")));
  });
  async function send(service: string, count: number): Promise<number> {
    const before = sent.length;
    for (let index = 0; index < count; index += 1) await sendOne(service);
    return sent.length - before;
  }
  return { send };
}

describe("an entry whose requests are refused", () => {
  describe("for one service in a flood", () => {
    it("repeats no more than that service's budget allows", async () => {
      const { send } = startRefusedEntry();
      const attempts = await send("booking", 100);
      assert.ok(attempts <= 100 + mostSaved + 100 * 0.1, `${attempts}`);
    });

    it("leaves the budget of another service alone", async () => {
      const { send } = startRefusedEntry();
      await send("booking", 100);
      assert.ok(await send("media", 1) > 1);
    });

    it("saves up no repeats for it by work for others", async () => {
      const { send } = startRefusedEntry();
      await send("booking", 50);
      await send("media", 1_000);
      const attempts = await send("booking", 10);
      assert.ok(attempts <= 10 + 10 * 0.1 + 1, `${attempts}`);
    });
  });
});

describe("an entry whose caller leaves while a repeat is due", () => {
  // Guards against work for callers that have left (GONE): the pause before the
  // repeat ended before the word of the caller was read.
  it("sends the request no more", async () => {
    const caller = new AbortController();
    let sent = 0;
    const send = startTestEntry(() => {
      sent += 1;
      return Promise.resolve(Result.err(notRun("target-refused")));
    }, () => Promise.resolve(caller.abort()));
    await send("booking", caller.signal);
    assert.equal(sent, 1);
  });
});

/** Each entry lost three requests to a machine that was cut off, or more. */
describe("an entry one of whose targets can't be reached", () => {
  const sent: string[] = [];
  const send = startTestEntry(async (address) => {
    sent.push(address);
    if (address === "media-1") return Result.err(notRun("target-unreachable"));
    await pause(60);
    return Result.ok({
      status: 200,
      headers: {},
      body: { kind: "whole", bytes: new Uint8Array() },
      load: 0,
    });
  });

  it("sends the next request to another one", async () => {
    for (let index = 0; index < 5; index += 1) await send("media");
    const vain = sent.filter((address) => address === "media-1");
    assert.ok(vain.length <= 1, `${sent}`);
    assert.equal(sent.length - vain.length, 5);
  });
});
