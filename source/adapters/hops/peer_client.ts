/**
 * Calls to other agents: one tRPC connection for each peer. A connection that
 * has said nothing for long, though calls wait on it, may have gone silent for
 * good: the next call opens a new one, and those that wait keep their time.
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
import { startStallTolerantTimer } from "../stall_tolerant_timer.ts";
import type { PeerRouter } from "./peer_server.ts";
import { peerSchemas } from "../schemas.ts";

type EndCall = (fault: PeerFault) => void;

interface Connection {
  readonly client: TRPCClient<PeerRouter>;
  /** A call is in progress; its end is for when the connection fails. */
  readonly begin: (end: EndCall) => void;
  readonly finish: (end: EndCall) => void;
  readonly endAll: (fault: PeerFault) => void;
  /** It has answered a call. */
  readonly noteAnswer: () => void;
  /** Since it last answered, or was opened. */
  readonly silentMilliseconds: () => number;
  /** Closes once no call waits on it; no other call may begin. */
  readonly retire: () => void;
}

/** An agent that lives says something within this, however busy it is. */
const silenceMilliseconds = 1_200;

/** Connections kept; the least recently used one beyond is closed. */
const mostConnections = 96;

/** Opens connections as calls need them. */
export function connectPeers(options: {
  readonly clock: LogicalClock;
  readonly metrics: Metrics;
}): Peers {
  const connections = new Map<Address, Connection>();

  function connectionTo(address: Address): Connection {
    const existing = connections.get(address);
    if (existing !== undefined) {
      connections.delete(address);
      connections.set(address, existing);
      return existing;
    }
    const opened = open(address, end);
    connections.set(address, opened);
    const [oldest] = connections.keys();
    if (connections.size > mostConnections && oldest !== undefined) {
      retire(oldest, connections.get(oldest) ?? opened);
    }
    return opened;
  }

  /** Takes a connection out of use; what waits on it goes on. */
  function retire(address: Address, connection: Connection): void {
    if (connections.get(address) === connection) connections.delete(address);
    connection.retire();
  }

  function end(
    address: Address,
    connection: Connection,
    fault: PeerFault,
  ): void {
    connection.endAll(fault);
    retire(address, connection);
  }

  return {
    async call(address, method, { message, timeoutMilliseconds }) {
      options.metrics.count("peer_calls", { method });
      if (!isAddress(address)) {
        options.metrics.count("peer_call_faults", { method });
        return Result.err({ kind: "unreachable", detail: "no address" });
      }
      const connection = connectionTo(address);
      const input = { clock: options.clock.next(), message };
      const result = await raceCall(connection, {
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
      connection.noteAnswer();
      return readAnswer(method, { reply: result.value, clock: options.clock });
    },
    close() {
      for (const [address, connection] of [...connections]) {
        end(address, connection, { kind: "unreachable", detail: "closing" });
      }
      return Promise.resolve();
    },
  };
}

/** Made by tRPC, which passes no options on. */
class PeerSocket extends WebSocket {
  constructor(address: string) {
    super(address, { perMessageDeflate: compression });
  }
}

function open(
  address: Address,
  end: (address: Address, connection: Connection, fault: PeerFault) => void,
): Connection {
  function fail(detail: string): void {
    end(address, connection, { kind: "unreachable", detail });
  }
  const socket = createWSClient({
    url: `ws://${address}`,
    WebSocket: PeerSocket as unknown as typeof globalThis.WebSocket,
    retryDelayMs: () => 60_000,
    onError: () => fail("connection failed"),
    onClose: () => fail("connection closed"),
  });
  const client = createTRPCClient<PeerRouter>({
    links: [wsLink({ client: socket })],
  });
  const pending = new Set<EndCall>();
  let heardAt = performance.now();
  let retired = false;
  let closed = false;
  function closeUnused(): void {
    if (closed || !retired || pending.size > 0) return;
    closed = true;
    void socket.close().catch(() => undefined);
  }
  const connection: Connection = {
    client,
    begin: (end) => void pending.add(end),
    finish(end) {
      pending.delete(end);
      closeUnused();
    },
    endAll(fault) {
      for (const end of [...pending]) end(fault);
    },
    noteAnswer() {
      heardAt = performance.now();
    },
    silentMilliseconds: () => performance.now() - heardAt,
    retire() {
      retired = true;
      closeUnused();
    },
  };
  return connection;
}

function raceCall(
  connection: Connection,
  call: {
    readonly method: PeerMethod;
    readonly input: { readonly clock: number; readonly message: unknown };
    readonly timeoutMilliseconds: number;
  },
): Promise<Result<unknown, PeerFault>> {
  const stop = new AbortController();
  return new Promise((resolve) => {
    function settle(result: Result<unknown, PeerFault>): void {
      timer.stop();
      connection.finish(end);
      resolve(result);
    }
    function end(fault: PeerFault): void {
      settle(Result.err(fault));
      stop.abort();
    }
    const timer = startStallTolerantTimer(
      () => end({ kind: "timeout", detail: call.method }),
      call.timeoutMilliseconds,
    );
    connection.begin(end);
    void invoke(connection, { ...call, signal: stop.signal }).then(settle);
  });
}

async function invoke(
  connection: Connection,
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
  const opened = envelope.safeParse(options.reply);
  if (opened.success) {
    options.clock.observe(opened.data.clock);
    const schema: z.ZodType = peerSchemas[method].answer;
    const answer = schema.safeParse(opened.data.answer);
    if (answer.success) return Result.ok(answer.data as PeerAnswer<Method>);
  }
  const detail = `malformed answer to ${method}`;
  return Result.err({ kind: "rejected", detail });
}
