import assert from "node:assert/strict";
import { createServer, type Server, type ServerResponse } from "node:http";
import { after, before, describe, it } from "node:test";
import { Client } from "undici";
import { listen } from "../../standins/http_server.ts";
import { startAnswersInProgress } from "./answers_in_progress.ts";
import { exchangeWhole } from "./targets/whole_exchange.ts";

const statedBytes = 1_000_000;

describe("answers that are being read", () => {
  const answers = startAnswersInProgress();
  const ended = new AbortController();
  let client: Client;
  let server: Server;
  let response: ServerResponse;

  before(async () => {
    server = createServer((_message, next) => {
      response = next;
      next.writeHead(200, { "content-length": statedBytes });
      next.write(Buffer.alloc(1_000));
    });
    client = new Client(`http://127.0.0.1:${await listen(server, 0)}`);
  });
  after(async () => {
    await client.destroy();
    server.close();
  });

  function request(signal: AbortSignal): Promise<unknown> {
    return exchangeWhole(answers.follow(client), {
      method: "GET",
      path: "/",
      headers: {},
      body: null,
      signal,
      maxAnswerBytes: 2 * statedBytes,
    });
  }

  async function untilCounted(): Promise<void> {
    const end = performance.now() + 5_000;
    while (answers.bytes() === 0 && performance.now() < end) {
      await new Promise((resolve) => setTimeout(resolve, 5));
    }
  }

  // Guards against answers that exceed the memory while they are read, and
  // against a count that stays and stops all requests.
  it("count with their stated length until their end", async () => {
    const answer = request(ended.signal);
    await untilCounted();
    assert.equal(answers.bytes(), statedBytes);
    response.end(Buffer.alloc(statedBytes - 1_000));
    await answer;
    assert.equal(answers.bytes(), 0);
  });

  it("count until their request is given up", async () => {
    const answer = request(ended.signal);
    await untilCounted();
    ended.abort();
    await assert.rejects(answer);
    await new Promise((resolve) => setImmediate(resolve));
    assert.equal(answers.bytes(), 0);
  });
});
