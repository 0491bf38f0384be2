/**
 * The connections to a target that may send a refusal again. On a connection on
 * which a request was refused, the refusal of a retry can't be told from the
 * earlier one, since both have the id of that request. So a retry gets a
 * connection of its own.
 *
 * @module
 */
import type { Dispatcher, Pool } from "undici";
import type { Address } from "../../core/agent.ts";
import { type ConnectionSettings, openPool } from "./connection_pool.ts";

/** The connections to one target. */
export interface TargetConnections {
  /** Connections on which the request with this id was never refused. */
  select(request: string): Dispatcher;
  /** Records that the target has refused the request with this id. */
  recordRefusal(request: string): void;
  close(): Promise<void>;
}

/**
 * The shared connections are replaced after this many refusals, which bounds
 * the ids that are kept, of up to 128 characters each.
 */
const maxRefusals = 1_024;

/** Opens connections on demand. */
export function openTargetConnections(
  address: Address,
  settings: ConnectionSettings,
): TargetConnections {
  const retries = openPool(address, settings);
  const ownConnections = retries.compose(closeAfterAnswer);
  /** Pools with requests that have not ended; the last is for new ones. */
  const pools = new Set<Pool>();
  let shared = open();
  /** Ids of the requests refused on the shared connections. */
  const refused = new Set<string>();

  function open(): Pool {
    const pool = openPool(address, settings);
    pools.add(pool);
    return pool;
  }

  function replaceShared(): void {
    const former = shared;
    shared = open();
    refused.clear();
    // The requests that are under way on it may still be answered.
    void former.close().then(() => pools.delete(former), () => undefined);
  }

  return {
    select: (request) => refused.has(request) ? ownConnections : shared,
    recordRefusal(request) {
      refused.add(request);
      if (refused.size >= maxRefusals) replaceShared();
    },
    async close() {
      const open = [retries, ...pools];
      await Promise.all(open.map((pool) => pool.close()));
    },
  };
}

/** Has the connection closed once its request has been answered. */
const closeAfterAnswer: Dispatcher.DispatcherComposeInterceptor =
  (dispatch) => (request, handler) =>
    dispatch({ ...request, reset: true }, handler);
