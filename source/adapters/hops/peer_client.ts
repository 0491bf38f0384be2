/**
 * Calls to other agents over tRPC, with one connection for each peer. When a
 * call times out on a connection that has answered no call for long, the
 * connection may be lost: the next call opens a new one, and the calls that
 * wait on the old one keep their own time-outs.
 *
 * @module
 */
import {
  createTRPCClient,
  createWSClient,
  type TRPCClient,
  wsLink,
} from "@trpc/client";
import { Result } from "true-myth";
import { WebSocket } from "ws";
import { z } from "zod";
import { type Address, isAddress } from "../../core/agent.ts";
import type {
  PeerAnswer,
  PeerFault,
  PeerMethod,
  Peers,
} from "../../ports/peers.ts";
import type { Metrics } from "../../ports/metrics.ts";
import { compression } from "./compression.ts";
import type { LogicalClock } from "../logs/logical_clock.ts";
import { useEntry } from "../recently_used.ts";
import { startStallTolerantTimer } from "../stall_tolerant_timer.ts";
import type { PeerRouter } from "./peer_server.ts";
import { peerSchemas } from "../schemas.ts";

/** Ends a call with a fault. */
type FailCall = (fault: PeerFault) => void;

/** A connection to one agent, and the calls that wait on it. */
interface PeerConnection {
  readonly client: TRPCClient<PeerRouter>;
  /** Adds a call, which is failed if the connection fails. */
  readonly addCall: (failCall: FailCall) => void;
  readonly removeCall: (failCall: FailCall) => void;
  /** Fails all calls that wait on the connection. */
  readonly failAll: (fault: PeerFault) => void;
  /** The peer has answered a call. */
  readonly recordAnswer: () => void;
  /** Since the last answer, or since the connection was opened. */
  readonly silentMilliseconds: () => number;
  /** Closes once no call waits on it; no call may be added afterwards. */
  readonly retire: () => void;
}

/** A live agent answers some call within this time, however busy it is. */
const silenceMilliseconds = 1_200;

/** Beyond this number the least recently used connection is retired. */
const maxConnections = 96;

/**
 * Creates the client for calls to other agents. Connections are opened as calls
 * need them. Calls never reject: time-outs, lost connections and rejections by
 * the other agent are returned as faults.
 */
export function connectPeers(options: {
  readonly clock: LogicalClock;
  readonly metrics: Metrics;
}): Peers {
  const connections = new Map<Address, PeerConnection>();

  function connectionTo(address: Address): PeerConnection {
    return useEntry(connections, address, {
      max: maxConnections,
      create: () => openConnection(address, failConnection),
      evict: (connection) => connection.retire(),
    });
  }

  /** Takes a connection out of use; the calls that wait on it go on. */
  function retire(address: Address, connection: PeerConnection): void {
    if (connections.get(address) === connection) connections.delete(address);
    connection.retire();
  }

  function failConnection(
    address: Address,
    connection: PeerConnection,
    fault: PeerFault,
  ): void {
    connection.failAll(fault);
    retire(address, connection);
  }

  return {
    async call(address, method, { message, timeoutMilliseconds }) {
      options.metrics.count("peer_calls", { method });
      if (!isAddress(address)) {
        options.metrics.count("peer_call_faults", { method });
        return Result.err({ kind: "unreachable", detail: "invalid address" });
      }
      const connection = connectionTo(address);
      const input = { clock: options.clock.next(), message };
      const result = await callWithTimeout(connection, {
        method,
        input,
        timeoutMilliseconds,
      });
      if (result.isErr) {
        options.metrics.count("peer_call_faults", { method });
        const silent = connection.silentMilliseconds() >= silenceMilliseconds;
        if (silent && result.error.kind === "timeout") {
          retire(address, connection);
        }
        return Result.err(result.error);
      }
      connection.recordAnswer();
      return readAnswer(method, { reply: result.value, clock: options.clock });
    },
    close() {
      for (const [address, connection] of [...connections]) {
        failConnection(address, connection, {
          kind: "unreachable",
          detail: "client is closing",
        });
      }
      return Promise.resolve();
    },
  };
}

/** tRPC creates the WebSocket, and can't pass options to it. */
class PeerSocket extends WebSocket {
  constructor(address: string) {
    super(address, { perMessageDeflate: compression });
  }
}

function openConnection(
  address: Address,
  failConnection: (
    address: Address,
    connection: PeerConnection,
    fault: PeerFault,
  ) => void,
): PeerConnection {
  function fail(detail: string): void {
    failConnection(address, connection, { kind: "unreachable", detail });
  }
  const socket = createWSClient({
    url: `ws://${address}`,
    WebSocket: PeerSocket as unknown as typeof globalThis.WebSocket,
    // A closed connection is retired long before tRPC would reconnect it.
    retryDelayMs: () => 60_000,
    onError: () => fail("connection failed"),
    onClose: () => fail("connection closed"),
  });
  const client = createTRPCClient<PeerRouter>({
    links: [wsLink({ client: socket })],
  });
  const pending = new Set<FailCall>();
  let lastAnswerAt = performance.now();
  let retired = false;
  let closed = false;
  function closeUnused(): void {
    if (closed || !retired || pending.size > 0) return;
    closed = true;
    void socket.close().catch(() => undefined);
  }
  const connection: PeerConnection = {
    client,
    addCall: (failCall) => void pending.add(failCall),
    removeCall(failCall) {
      pending.delete(failCall);
      closeUnused();
    },
    failAll(fault) {
      for (const failCall of [...pending]) failCall(fault);
    },
    recordAnswer() {
      lastAnswerAt = performance.now();
    },
    silentMilliseconds: () => performance.now() - lastAnswerAt,
    retire() {
      retired = true;
      closeUnused();
    },
  };
  return connection;
}

function callWithTimeout(
  connection: PeerConnection,
  call: {
    readonly method: PeerMethod;
    readonly input: { readonly clock: number; readonly message: unknown };
    readonly timeoutMilliseconds: number;
  },
): Promise<Result<unknown, PeerFault>> {
  const cancel = new AbortController();
  return new Promise((resolve) => {
    function settle(result: Result<unknown, PeerFault>): void {
      timer.stop();
      connection.removeCall(failCall);
      resolve(result);
    }
    function failCall(fault: PeerFault): void {
      settle(Result.err(fault));
      cancel.abort();
    }
    const timer = startStallTolerantTimer(
      () => failCall({ kind: "timeout", detail: call.method }),
      call.timeoutMilliseconds,
    );
    connection.addCall(failCall);
    void invoke(connection, { ...call, signal: cancel.signal }).then(settle);
  });
}

async function invoke(
  connection: PeerConnection,
  call: {
    readonly method: PeerMethod;
    readonly input: { readonly clock: number; readonly message: unknown };
    readonly signal: AbortSignal;
  },
): Promise<Result<unknown, PeerFault>> {
  const procedures = connection.client as unknown as Record<
    PeerMethod,
    {
      mutate(
        input: unknown,
        options: { readonly signal: AbortSignal },
      ): Promise<unknown>;
    }
  >;
  try {
    const reply = await procedures[call.method].mutate(call.input, {
      signal: call.signal,
    });
    return Result.ok(reply);
  } catch (error) {
    const detail = error instanceof Error ? error.message : String(error);
    return Result.err({ kind: "rejected", detail });
  }
}

const envelope = z.strictObject({
  clock: z.number().int().min(0),
  answer: z.unknown(),
});

function readAnswer<Method extends PeerMethod>(
  method: Method,
  options: { readonly reply: unknown; readonly clock: LogicalClock },
): Result<PeerAnswer<Method>, PeerFault> {
  const parsed = envelope.safeParse(options.reply);
  if (parsed.success) {
    options.clock.observe(parsed.data.clock);
    const schema: z.ZodType = peerSchemas[method].answer;
    const answer = schema.safeParse(parsed.data.answer);
    if (answer.success) return Result.ok(answer.data as PeerAnswer<Method>);
  }
  const detail = `malformed answer to ${method}`;
  return Result.err({ kind: "rejected", detail });
}
