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

const maxSaved = 3;

type Forward = Forwarder["forward"];

/** Starts an entry whose forwarded requests end as `forward` says. */
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
      maxSaved,
      firstDelayMilliseconds: 0,
      maxDelayMilliseconds: 0,
    }),
    minTableAgeMilliseconds: 0,
  });
  return async function send(
    service: string,
    signal = AbortSignal.timeout(10_000),
  ): Promise<void> {
    const request = testRequest({
      service,
      maxAttempts: 3,
      deadlineAt: performance.now() + 10_000,
      signal,
    });
    await entry.handle(request, {
      body: { kind: "kept", bytes: new Uint8Array() },
    });
  };
}

/** Starts an entry whose requests are all refused by the targets. */
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
  describe("in large numbers for one service", () => {
    it("retries no more than that service's budget allows", async () => {
      const { send } = startRefusedEntry();
      const attempts = await send("booking", 100);
      assert.ok(attempts <= 100 + maxSaved + 100 * 0.1, `${attempts}`);
    });

    it("leaves the budget of another service untouched", async () => {
      const { send } = startRefusedEntry();
      await send("booking", 100);
      assert.ok(await send("media", 1) > 1);
    });

    it("earns no retries for it by requests for others", async () => {
      const { send } = startRefusedEntry();
      await send("booking", 50);
      await send("media", 1_000);
      const attempts = await send("booking", 10);
      assert.ok(attempts <= 10 + 10 * 0.1 + 1, `${attempts}`);
    });
  });
});

describe("an entry whose caller leaves before a retry", () => {
  // Guards against work for callers that have left (GONE): the pause before the
  // retry ended before the caller's cancellation had been read.
  it("does not send the request again", async () => {
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

/**
 * Guards against each entry losing three or more requests to an unreachable
 * host.
 */
describe("an entry with one unreachable target", () => {
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

  it("sends further requests to another target", async () => {
    for (let index = 0; index < 5; index += 1) await send("media");
    const failed = sent.filter((address) => address === "media-1");
    assert.ok(failed.length <= 1, `${sent}`);
    assert.equal(sent.length - failed.length, 5);
  });
});
