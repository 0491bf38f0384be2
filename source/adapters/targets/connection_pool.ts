/**
 * Connections to one next hop of requests: another agent, or the target.
 *
 * @module
 */
import { Pool } from "undici";
import type { Address } from "../../core/agent.ts";

/** Settings of the connections to one kind of hop. */
export interface ConnectionSettings {
  /** Most connections to one address. */
  readonly maxConnections: number;
  readonly connectTimeoutMilliseconds: number;
  /** An idle connection is closed before the other end closes it. */
  readonly idleMilliseconds: number;
  /** An agent that says nothing for so long is asked on a new connection. */
  readonly silenceMilliseconds?: number;
}

/** Opens connections to an address as they are needed. */
export function openPool(address: Address, settings: ConnectionSettings): Pool {
  return new Pool(`http://${address}`, {
    connections: settings.maxConnections,
    pipelining: 1,
    connect: { timeout: settings.connectTimeoutMilliseconds },
    keepAliveTimeout: settings.idleMilliseconds,
    keepAliveMaxTimeout: settings.idleMilliseconds,
    headersTimeout: 0,
    bodyTimeout: 0,
  });
}
