import assert from "node:assert/strict";
import { Readable } from "node:stream";
import { after, before, describe, it } from "node:test";
import { Result } from "true-myth";
import { testConfiguration } from "../../../tests/test_configuration.ts";
import type { HttpListener } from "./http_listener.ts";
import { openTestListener } from "../../../tests/test_listener.ts";

const configuration = testConfiguration({
  service: "media",
  defaultDeadlineMilliseconds: 200,
});

/** A body whose second half is sent 250 ms after the first. */
async function* halves(signal: AbortSignal): AsyncGenerator<string> {
  yield "first ";
  await new Promise((resolve) => setTimeout(resolve, 250));
  if (signal.aborted) throw new Error("aborted");
  yield "second";
}

describe("a request from an agent of an incompatible release", () => {
  let front: HttpListener;
  let runs = 0;

  before(async () => {
    front = await openTestListener({
      kind: "agents",
      configuration,
      maxHeaderBytes: 4_096,
      handle() {
        runs += 1;
        const body = { kind: "whole", bytes: new Uint8Array() } as const;
        return Promise.resolve(
          Result.ok({ status: 200, headers: {}, body, load: null }),
        );
      },
    });
  });
  after(() => front.close());

  // Guards against running a request twice while a fleet is upgraded: an
  // earlier release identifies the copies of a request in another format.
  it("is refused if its copies cannot be identified", async () => {
    const answer = await fetch(`http://127.0.0.1:${front.port}/media`, {
      headers: {
        "geraniumledge-service": "media",
        "geraniumledge-hop": "host-2/a.5/2",
      },
    });
    await answer.text();
    assert.equal(answer.status, 503);
    assert.equal(answer.headers.get("geraniumledge-outcome"), "not-run");
    assert.equal(runs, 0);
  });
});

describe("an answer that starts just before its deadline", () => {
  let front: HttpListener;

  before(async () => {
    front = await openTestListener({
      kind: "callers",
      configuration,
      maxHeaderBytes: 4_096,
      handle: (request) =>
        Promise.resolve(Result.ok({
          status: 200,
          headers: {},
          body: {
            kind: "stream",
            stream: Readable.from(halves(request.signal)),
          },
          load: null,
        })),
    });
  });
  after(() => front.close());

  it("arrives completely", async () => {
    const answer = await fetch(`http://127.0.0.1:${front.port}/media`);
    assert.equal(await answer.text(), "first second");
  });
});

describe("an answer that is available just after its deadline", () => {
  let front: HttpListener;

  before(async () => {
    front = await openTestListener({
      kind: "callers",
      configuration,
      maxHeaderBytes: 4_096,
      async handle(request) {
        await new Promise((resolve) =>
          request.signal.addEventListener("abort", resolve)
        );
        const bytes = new TextEncoder().encode("late");
        const body = { kind: "whole", bytes } as const;
        return Result.ok({ status: 200, headers: {}, body, load: null });
      },
    });
  });
  after(() => front.close());

  // Guards against closing the connections of callers that still wait: a
  // request past its deadline was treated as one whose caller had left.
  it("is still written", async () => {
    const answer = await fetch(`http://127.0.0.1:${front.port}/media`);
    assert.equal(await answer.text(), "late");
  });
});
