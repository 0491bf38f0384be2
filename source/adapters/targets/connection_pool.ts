/**
 * Connection pools to the next hop of requests: another agent or the target.
 *
 * @module
 */
import { Pool } from "undici";
import type { Address } from "../../core/agent.ts";
import { createConnector } from "./connector.ts";

/** Settings of the connections to one kind of next hop. */
export interface ConnectionSettings {
  /** Upper bound of the connections to one address. */
  readonly maxConnections: number;
  readonly connectTimeoutMilliseconds: number;
  /** Idle time after which a connection is closed, before the peer closes it. */
  readonly idleMilliseconds: number;
  /** Silence after which an agent is probed on a new connection. */
  readonly silenceMilliseconds?: number;
}

/** Creates a pool, which opens connections to an address on demand. */
export function openPool(address: Address, settings: ConnectionSettings): Pool {
  return new Pool(`http://${address}`, {
    connections: settings.maxConnections,
    pipelining: 1,
    connect: createConnector(settings.connectTimeoutMilliseconds),
    keepAliveTimeout: settings.idleMilliseconds,
    keepAliveMaxTimeout: settings.idleMilliseconds,
    headersTimeout: 0,
    bodyTimeout: 0,
  });
}
