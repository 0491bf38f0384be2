/**
 * Probes other agents: asks how far a copy of a request has come for which
 * nothing is received. Probes have connections of their own, since the silent
 * connection may be lost, and these are closed after use, so that a later probe
 * uses one that is younger than the silence.
 *
 * @module
 */
import { Client } from "undici";
import type { Address } from "../../core/agent.ts";
import type { ProbeResult } from "../../core/request/silence.ts";
import { wasUnreachable } from "../targets/connection_errors.ts";
import { fields } from "../headers.ts";
import { parseProgress, progressPath } from "./hop_progress.ts";
import { formatHop, type HopCopy } from "./hop_deduplication.ts";

/** Probes of other agents. */
export interface HopProbes {
  /**
   * Asks an agent for the progress of a copy. Never rejects: the result is
   * `unreachable` when no connection can be opened, and `unclear` when there is
   * no valid answer in time or the signal is aborted.
   */
  probe(
    address: Address,
    copy: { readonly hop: HopCopy; readonly signal: AbortSignal },
  ): Promise<ProbeResult>;
}

/** One connection, shared by the probes that one agent has at a time. */
interface ProbeConnection {
  readonly client: Client;
  /** Probes that have not ended. */
  open: number;
}

/** Opens no connection before the first probe of an agent. */
export function openHopProbes(options: {
  /** For opening the connection, and once more for the answer. */
  readonly timeoutMilliseconds: number;
}): HopProbes {
  const { timeoutMilliseconds } = options;
  const connections = new Map<Address, ProbeConnection>();

  function acquire(address: Address): ProbeConnection {
    const shared = connections.get(address) ?? {
      client: new Client(`http://${address}`, {
        connect: { timeout: timeoutMilliseconds },
      }),
      open: 0,
    };
    connections.set(address, shared);
    shared.open += 1;
    return shared;
  }

  /**
   * Closes a connection after its last probe: later probes need a connection
   * that was opened after the silence that they ask about.
   */
  function release(address: Address, shared: ProbeConnection): void {
    shared.open -= 1;
    if (shared.open > 0) return;
    if (connections.get(address) === shared) connections.delete(address);
    void shared.client.destroy().catch(() => undefined);
  }

  return {
    async probe(address, { hop, signal }) {
      const shared = acquire(address);
      const timeout = AbortSignal.timeout(2 * timeoutMilliseconds);
      try {
        const response = await shared.client.request({
          method: "GET",
          path: progressPath,
          headers: { [fields.hop]: formatHop(hop) },
          signal: AbortSignal.any([signal, timeout]),
        });
        return parseProgress(await response.body.text()) ?? unclear;
      } catch (error) {
        // The connection itself may be lost; no other probe may use it.
        if (connections.get(address) === shared) connections.delete(address);
        return wasUnreachable(error) ? { kind: "unreachable" } : unclear;
      } finally {
        release(address, shared);
      }
    },
  };
}

const unclear: ProbeResult = { kind: "unclear" };
