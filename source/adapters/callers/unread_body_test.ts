import assert from "node:assert/strict";
import { Buffer } from "node:buffer";
import { connect, type Socket } from "node:net";
import { once } from "node:events";
import { after, before, describe, it } from "node:test";
import { Result } from "true-myth";
import { testConfiguration } from "../../../tests/test_configuration.ts";
import { openTestListener } from "../../../tests/test_listener.ts";
import { notRun } from "../../core/request/outcome.ts";
import type { HttpListener } from "./http_listener.ts";

const bodyBytes = 1_000_000;
const bodyOf = (path: string, length: number) =>
  `POST ${path} HTTP/1.1\r\nHost: x\r\nContent-Length: ${length}\r\n\r\n`;

describe("a listener whose handler answers before a long body is in", () => {
  let listener: HttpListener;
  before(async () => {
    listener = await openTestListener({
      kind: "callers",
      configuration: testConfiguration({
        service: "media",
        defaultDeadlineMilliseconds: 2_000,
        longestBodyBytes: 2 * bodyBytes,
      }),
      maxHeaderBytes: 16_384,
      async handle({ path }, { body }) {
        if (path === "/media/next") return Result.err(notRun("queue-full"));
        // As a target does that rejects a request after its first bytes.
        if (body.kind === "stream") {
          const chunks = body.stream.iterator({ destroyOnReturn: false });
          if (path === "/media/begun") await chunks.next();
          if (path === "/media/left") {
            for await (const _chunk of chunks) break;
          }
        }
        return Result.err(notRun("target-refused"));
      },
    });
  });
  after(() => listener.close());

  /** Reads answers until so many have begun, or the time is over. */
  async function answersOn(socket: Socket, count: number): Promise<number> {
    let text = "";
    socket.on("data", (chunk) => text += String(chunk));
    const begun = () => text.split("HTTP/1.1 503").length - 1;
    const end = performance.now() + 1_000;
    while (begun() < count && performance.now() < end) {
      await new Promise((resolve) => setTimeout(resolve, 5));
    }
    return begun();
  }

  // Guards against requests that are never answered (CONFIG): the rest of the
  // body stayed on the connection, in front of the next request.
  for (const path of ["/media/unread", "/media/begun", "/media/left"]) {
    it(`answers the next request on the connection, after ${path}`, async () => {
      const socket = connect(listener.port, "127.0.0.1");
      await once(socket, "connect");
      socket.write(bodyOf(path, bodyBytes));
      socket.write(Buffer.alloc(100_000));
      assert.equal(await answersOn(socket, 1), 1);
      socket.write(Buffer.alloc(bodyBytes - 100_000));
      socket.write(bodyOf("/media/next", 0));
      assert.equal(await answersOn(socket, 1), 1);
      socket.destroy();
    });
  }
});
