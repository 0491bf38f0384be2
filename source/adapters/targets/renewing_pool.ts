/**
 * A pool of connections to one address, all of which are replaced once a call
 * has timed out: connections can go silent together, without a reset, while new
 * ones work.
 *
 * @module
 */
import { Pool } from "undici";
import type { Address } from "../../core/agent.ts";
import {
  exchangeWhole,
  type OutgoingRequest,
  type WholeAnswer,
} from "./whole_exchange.ts";

/** A pool whose connections are replaced when they seem to be silent. */
export interface RenewingPool {
  /**
   * Sends a request and reads its answer. Rejects with the error of undici, or
   * after the timeout; then later requests go on new connections.
   */
  exchange(
    request: Omit<OutgoingRequest, "signal">,
    timeoutMilliseconds: number,
  ): Promise<WholeAnswer>;
  /** How many of its connections have ended so far, whoever ended them. */
  endedConnections(): number;
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
  let endedConnections = 0;
  let current = open();

  function open(): Pool {
    const pool = new Pool(`http://${options.address}`, {
      connections: options.maxConnections,
      pipelining: 1,
      connect: { timeout: options.connectTimeoutMilliseconds },
      headersTimeout: 0,
      bodyTimeout: 0,
    });
    pool.on("disconnect", () => endedConnections += 1);
    pools.add(pool);
    return pool;
  }

  function replace(pool: Pool): void {
    if (pool !== current) return;
    current = open();
    // The requests that are under way on it may still be answered.
    void pool.close().then(() => pools.delete(pool), () => undefined);
  }

  return {
    async exchange(request, timeoutMilliseconds) {
      const pool = current;
      const signal = AbortSignal.timeout(timeoutMilliseconds);
      try {
        return await exchangeWhole(pool, { ...request, signal });
      } catch (error) {
        if (signal.aborted) replace(pool);
        throw error;
      }
    },
    endedConnections: () => endedConnections,
    async close() {
      await Promise.all([...pools].map((pool) => pool.destroy()));
    },
  };
}
