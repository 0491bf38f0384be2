/**
 * A pool of connections to one address, all of which are replaced once a call
 * has timed out: connections can go silent together, without a reset, while new
 * ones work.
 *
 * @module
 */
import { Readable } from "node:stream";
import { Pool } from "undici";
import type { Address } from "../../core/agent.ts";
import { createConnector } from "./connector.ts";
import {
  exchangeWhole,
  type OutgoingRequest,
  type WholeAnswer,
} from "./whole_exchange.ts";

/** A body that is composed only once its request has a connection. */
export interface LateBody {
  readonly byteLength: number;
  /** Called with how many connections of the pool have been opened by then. */
  readonly compose: (openedConnections: number) => Uint8Array;
}

/** A request to send on one of the connections of a pool. */
export interface PooledRequest extends Omit<OutgoingRequest, "signal"> {
  /** Sent in place of `body`. */
  readonly lateBody?: LateBody;
}

/** A pool whose connections are replaced when they seem to be silent. */
export interface RenewingPool {
  /**
   * Sends a request and reads its answer. Rejects with the error of undici, or
   * after the timeout; then later requests go on new connections.
   */
  exchange(
    request: PooledRequest,
    timeoutMilliseconds: number,
  ): Promise<WholeAnswer>;
  /** How many connections it has opened so far. */
  openedConnections(): number;
  close(): Promise<void>;
}

/** Opens a pool, which makes connections on demand. */
export function openRenewingPool(options: {
  readonly address: Address;
  readonly maxConnections: number;
  readonly connectTimeoutMilliseconds: number;
}): RenewingPool {
  /** Pools with requests that have not ended; the last is for new ones. */
  const pools = new Set<Pool>();
  let openedConnections = 0;
  let current = open();

  function open(): Pool {
    const pool = new Pool(`http://${options.address}`, {
      connections: options.maxConnections,
      pipelining: 1,
      connect: createConnector(options.connectTimeoutMilliseconds),
      headersTimeout: 0,
      bodyTimeout: 0,
    });
    // Told before anything is written on the new connection.
    pool.on("connect", () => openedConnections += 1);
    pools.add(pool);
    return pool;
  }

  function replace(pool: Pool): void {
    if (pool !== current) return;
    current = open();
    // The requests that are under way on it may still be answered.
    void pool.close().then(() => pools.delete(pool), () => undefined);
  }

  function withLateBody({ lateBody, ...request }: PooledRequest) {
    if (lateBody === undefined) return request;
    // A stream is first read once its request is written to a connection.
    const body = Readable.from((function* () {
      yield lateBody.compose(openedConnections);
    })());
    const length = { "content-length": String(lateBody.byteLength) };
    return { ...request, body, headers: { ...request.headers, ...length } };
  }

  return {
    async exchange(request, timeoutMilliseconds) {
      const pool = current;
      const signal = AbortSignal.timeout(timeoutMilliseconds);
      try {
        return await exchangeWhole(pool, { ...withLateBody(request), signal });
      } catch (error) {
        if (signal.aborted) replace(pool);
        throw error;
      }
    },
    openedConnections: () => openedConnections,
    async close() {
      await Promise.all([...pools].map((pool) => pool.destroy()));
    },
  };
}
