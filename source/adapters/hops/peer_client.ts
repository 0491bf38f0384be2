/**
 * Calls to other agents: one tRPC connection for each peer. A call that times
 * out closes its connection, since that may have gone silent for good; the
 * next call opens a new one.
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
import { startPatientTimer } from "../patient_timer.ts";
import type { PeerRouter } from "./peer_server.ts";
import { peerSchemas } from "../schemas.ts";

interface Connection {
  readonly client: TRPCClient<PeerRouter>;
  /** Ends of the calls in progress, for when the connection fails. */
  readonly pending: Set<(fault: PeerFault) => void>;
  readonly close: () => void;
}

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
    const opened = open(address, drop);
    connections.set(address, opened);
    const [oldest] = connections.keys();
    if (connections.size > mostConnections && oldest !== undefined) {
      drop(oldest, { kind: "unreachable", detail: "closed for others" });
    }
    return opened;
  }

  function drop(address: Address, fault: PeerFault): void {
    const connection = connections.get(address);
    if (connection === undefined) return;
    connections.delete(address);
    for (const end of [...connection.pending]) end(fault);
    connection.close();
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
        if (result.error.kind === "timeout") {
          if (connections.get(address) === connection) {
            drop(address, result.error);
          }
        }
        return Result.err(result.error);
      }
      return readAnswer(method, { reply: result.value, clock: options.clock });
    },
    close() {
      for (const address of [...connections.keys()]) {
        drop(address, { kind: "unreachable", detail: "closing" });
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
  drop: (address: Address, fault: PeerFault) => void,
): Connection {
  const socket = createWSClient({
    url: `ws://${address}`,
    WebSocket: PeerSocket as unknown as typeof globalThis.WebSocket,
    retryDelayMs: () => 60_000,
    onError: () =>
      drop(address, { kind: "unreachable", detail: "connection failed" }),
    onClose: () =>
      drop(address, { kind: "unreachable", detail: "connection closed" }),
  });
  const client = createTRPCClient<PeerRouter>({
    links: [wsLink({ client: socket })],
  });
  return {
    client,
    pending: new Set(),
    close: () => void socket.close().catch(() => undefined),
  };
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
      connection.pending.delete(end);
      resolve(result);
    }
    function end(fault: PeerFault): void {
      settle(Result.err(fault));
      stop.abort();
    }
    const timer = startPatientTimer(
      () => end({ kind: "timeout", detail: call.method }),
      call.timeoutMilliseconds,
    );
    connection.pending.add(end);
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
