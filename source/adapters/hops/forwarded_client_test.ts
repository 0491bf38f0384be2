import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { Result } from "true-myth";
import { testConfiguration } from "../../../tests/test_configuration.ts";
import { openTestListener } from "../../../tests/test_listener.ts";
import { notRun } from "../../core/request/outcome.ts";
import type { ProxyRequest } from "../../ports/upstream.ts";
import type { ListenerKind } from "../callers/http_listener.ts";
import { fields } from "../headers.ts";
import { formatHop } from "./hop_deduplication.ts";

/** Sends a request with an account to a listener; how it is handled. */
async function receive(kind: ListenerKind): Promise<ProxyRequest | undefined> {
  const received: ProxyRequest[] = [];
  const listener = await openTestListener({
    kind,
    configuration: testConfiguration({
      service: "booking",
      defaultDeadlineMilliseconds: 2_000,
    }),
    maxHeaderBytes: 16_384,
    handle(request) {
      received.push(request);
      return Promise.resolve(Result.err(notRun("queue-full")));
    },
  });
  const hop = { sequence: 1, copy: 1, settledBelow: 1, receiver: "host-1/a" };
  await fetch(`http://127.0.0.1:${listener.port}/booking`, {
    headers: {
      [fields.service]: "booking",
      [fields.account]: encodeURIComponent("line 1, orders"),
      [fields.hop]: formatHop({ ...hop, sender: "host-2/a" }),
    },
  });
  listener.close();
  return received[0];
}

describe("the client of a request", () => {
  it("is the agent that forwards it, and the account that it states", async () => {
    const request = await receive("agents");
    assert.equal(request?.entry, "host-2/a");
    assert.equal(request?.account, "line 1, orders");
  });

  // Guards against a caller that takes the share of another account.
  it("is not what a caller states itself", async () => {
    const request = await receive("callers");
    assert.ok(request !== undefined);
    assert.equal(request.entry, undefined);
    assert.equal(request.account, undefined);
    assert.equal(request.headers[fields.account], undefined);
  });
});
