/**
 * A target that speaks the platform's protocol, whose handling of each
 * connection a test supplies, with a client for it.
 *
 * @module
 */
import { createServer, type Socket } from "node:net";
import type { Result } from "true-myth";
import { openPlatformTarget } from "../platform/target.ts";
import type { Failure } from "../source/core/request/outcome.ts";
import type { ProxyAnswer, ProxyRequest } from "../source/ports/upstream.ts";
import { listen } from "../standins/http_server.ts";
import { testRequest } from "./test_request.ts";

const deadlineMilliseconds = 2_000;

/** The target, with a client for it. */
export interface TestPlatformTarget {
  /** Sends a request that has no body and isn't idempotent. */
  send(
    overrides?: Partial<ProxyRequest>,
  ): Promise<Result<ProxyAnswer, Failure>>;
  close(): Promise<void>;
}

/** Starts a target that handles each connection with `serve`. */
export async function startTestPlatformTarget(
  serve: (socket: Socket) => void,
  { onInvalidLoad = () => undefined }: {
    readonly onInvalidLoad?: () => void;
  } = {},
): Promise<TestPlatformTarget> {
  const server = createServer((socket) => {
    socket.on("error", () => undefined);
    serve(socket);
  });
  const port = await listen(server, 0);
  const target = openPlatformTarget({
    address: `127.0.0.1:${port}`,
    identity: () => "i-1",
    now: () => performance.now(),
    onConnectionRefused: () => undefined,
    onInvalidAnswer: () => undefined,
    onInvalidLoad,
  });
  return {
    send: (overrides = {}) =>
      target.send({
        request: testRequest({
          method: "POST",
          deadlineAt: performance.now() + deadlineMilliseconds,
          signal: AbortSignal.timeout(deadlineMilliseconds),
          ...overrides,
        }),
        body: { kind: "kept", bytes: new Uint8Array() },
        token: null,
        slice: null,
        leaseEndsAtWall: null,
      }),
    async close() {
      await target.close();
      server.close();
    },
  };
}
