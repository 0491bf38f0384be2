import assert from "node:assert/strict";
import { createServer, type Server, type Socket } from "node:net";
import { after, afterEach, before, beforeEach, describe, it } from "node:test";
import { listen } from "../../../standins/http_server.ts";
import { testRequest } from "../../../tests/test_request.ts";
import type { Target } from "../../ports/upstream.ts";
import { openTestTarget } from "../../../tests/test_target.ts";

const refusal = refusalWith("Geraniumledge-Refused-Request: r-1\r\n");
/** Refusals after which the connections to a target are replaced. */
const refusalsUntilReplaced = 1_024;
const answer = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nwell";

describe("a target by the product's protocol that repeats an earlier refusal", () => {
  let server: Server;
  let target: Target;
  let runs = 0;

  function serve(socket: Socket): void {
    let refused = false;
    socket.on("error", () => undefined);
    socket.on("data", () => {
      if (refused) runs += 1;
      socket.write(refused ? refusal + answer : refusal);
      refused = true;
    });
  }

  before(async () => {
    server = createServer(serve);
    const port = await listen(server, 0);
    target = openTestTarget(`127.0.0.1:${port}`);
  });
  after(async () => {
    await target.close();
    server.close();
  });

  // Guards against requests that are reported as not run but have run.
  it("does not have the next request reported as not run", async () => {
    assert.equal(await sendTo(target, "r-1"), "not-run");
    const outcome = await sendTo(target, "r-2");
    assert.equal(runs, 1);
    assert.notEqual(outcome, "not-run");
  });
});

describe("a refusal by the product's protocol", () => {
  let server: Server;
  let port = 0;
  let target: Target;
  let idField = "";
  let connections = 0;
  const faults: string[] = [];

  before(async () => {
    server = createServer((socket) => {
      connections += 1;
      socket.on("error", () => undefined);
      socket.on("data", (data) => {
        const refused = String(data).includes("x-request-id: refused");
        socket.write(refused ? refusalWith(idField) : answer);
      });
    });
    port = await listen(server, 0);
  });
  after(() => server.close());
  beforeEach(async () => {
    target = openTestTarget(`127.0.0.1:${port}`, {
      onInvalidAnswer: (_request, fault) => faults.push(fault),
    });
    assert.equal(await sendTo(target, "before"), "answered");
    connections = 0;
    faults.length = 0;
  });
  afterEach(() => target.close());

  describe("with the id of its request", () => {
    // Guards against connections that are closed under overload.
    it("proves that it did not run and keeps the connection", async () => {
      idField = "Geraniumledge-Refused-Request: refused\r\n";
      assert.equal(await sendTo(target, "refused"), "not-run");
      assert.equal(await sendTo(target, "next"), "answered");
      assert.deepEqual({ connections, faults }, { connections: 0, faults: [] });
    });

    // Guards against a retry that is reported as not run, but has run, when the
    // target sends the earlier refusal again: both have the same id.
    it("has each retry of its request sent on a connection of its own", async () => {
      idField = "Geraniumledge-Refused-Request: refused\r\n";
      for (const opened of [0, 1, 2]) {
        assert.equal(await sendTo(target, "refused"), "not-run");
        assert.equal(connections, opened);
      }
      assert.equal(await sendTo(target, "next"), "answered");
      assert.equal(connections, 2);
    });

    // Guards against a retry on the connection of its refusal, once the bound
    // of the ids that are kept has been reached.
    it("is not forgotten before its connection is replaced", async () => {
      idField = "Geraniumledge-Refused-Request: refused\r\n";
      assert.equal(await sendTo(target, "refused"), "not-run");
      for (let index = 1; index < refusalsUntilReplaced; index += 1) {
        const id = `refused-${index}`;
        idField = `Geraniumledge-Refused-Request: ${id}\r\n`;
        assert.equal(await sendTo(target, id), "not-run");
      }
      assert.equal(connections, 0);
      assert.equal(await sendTo(target, "next"), "answered");
      assert.equal(connections, 1);
    });
  });

  const invalidFields: Readonly<Record<string, string>> = {
    "without an id": "",
    "with another id": "Geraniumledge-Refused-Request: before\r\n",
    "with several ids": "Geraniumledge-Refused-Request: refused\r\n" +
      "Geraniumledge-Refused-Request: before\r\n",
  };
  for (const [name, field] of Object.entries(invalidFields)) {
    describe(name, () => {
      // Guards against requests that are reported as not run but have run, and
      // against a late answer on that connection for the next request.
      it("leaves the outcome unknown and closes the connection", async () => {
        idField = field;
        assert.equal(await sendTo(target, "refused"), "unknown");
        assert.equal(await sendTo(target, "next"), "answered");
        assert.equal(connections, 1);
        assert.equal(faults.length, 1);
      });
    });
  }
});

function refusalWith(idField: string): string {
  return `HTTP/1.1 503 Full\r\nGeraniumledge-Outcome: not-run\r\n${idField}` +
    "Content-Length: 0\r\n\r\n";
}

async function sendTo(target: Target, id: string): Promise<string> {
  const result = await target.send({
    request: testRequest({
      id,
      deadlineAt: performance.now() + 2_000,
      signal: AbortSignal.timeout(2_000),
    }),
    body: { kind: "kept", bytes: new Uint8Array() },
    token: null,
    slice: null,
    leaseEndsAtWall: null,
  });
  return result.isErr ? result.error.outcome : "answered";
}
