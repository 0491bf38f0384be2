/**
 * The calls by which the gossip task exchanges records with another agent.
 *
 * @module
 */
import type { Address, Agent } from "../core/agent.ts";
import {
  compareVersions,
  type Replica,
  rootDigest,
  type SharedRecord,
} from "../core/dissemination/replica.ts";
import type { Exchange, Peers } from "../ports/peers.ts";

/** Durations of gossip, in milliseconds. */
export interface GossipTimes {
  readonly exchangeMilliseconds: number;
  readonly callTimeoutMilliseconds: number;
}

/** Reconciled: both have, as of the exchange, all that either of them knows. */
export type ExchangeOutcome = "failed" | "answered" | "reconciled";

/** Calls to other agents; what they reply is merged. */
export interface GossipCalls {
  /** Sends these records only. */
  sendRecords(
    address: Address,
    records: readonly SharedRecord[],
  ): Promise<void>;
  /** Sends the pending updates, and reconciles all other records. */
  exchangeWith(
    address: Address,
    timeoutMilliseconds?: number,
  ): Promise<ExchangeOutcome>;
}

/** Creates the calls of an agent whose state is read by functions. */
export function gossipCalls(options: {
  readonly self: () => Agent;
  readonly replica: () => Replica;
  readonly takePendingUpdates: () => readonly SharedRecord[];
  readonly merge: (records: readonly SharedRecord[]) => void;
  readonly times: GossipTimes;
  readonly peers: Peers;
  /** The revision of the configuration in force here. */
  readonly revision: () => number;
  /** Called with the configuration revision in force at another agent. */
  readonly onRevision: (revision: number) => void;
  /**
   * Called when an agent with a fresh configuration has answered an exchange.
   */
  readonly onConfirmed: () => void;
}): GossipCalls {
  const { peers, times, replica, merge } = options;

  function composeExchange(news: readonly SharedRecord[]): Exchange {
    return {
      from: options.self().id,
      news,
      root: rootDigest(replica()),
      revision: options.revision(),
    };
  }

  /** False if one of the calls has failed. */
  async function reconcile(address: Address): Promise<boolean> {
    const compared = await peers.call(address, "compare", {
      message: { digests: replica().digests },
      timeoutMilliseconds: times.callTimeoutMilliseconds,
    });
    if (compared.isErr) return false;
    const difference = compareVersions(replica(), compared.value);
    if (difference.offered.length + difference.wanted.length === 0) {
      return true;
    }
    const received = await peers.call(address, "transfer", {
      message: difference,
      timeoutMilliseconds: times.callTimeoutMilliseconds,
    });
    if (received.isErr) return false;
    merge(received.value);
    return true;
  }

  return {
    async sendRecords(address, records) {
      const result = await peers.call(address, "exchange", {
        message: composeExchange(records),
        timeoutMilliseconds: times.callTimeoutMilliseconds,
      });
      if (result.isErr) return;
      merge(result.value.news);
    },
    async exchangeWith(
      address,
      timeoutMilliseconds = times.callTimeoutMilliseconds,
    ) {
      const result = await peers.call(address, "exchange", {
        message: composeExchange(options.takePendingUpdates()),
        timeoutMilliseconds,
      });
      if (result.isErr) return "failed";
      const reply = result.value;
      merge(reply.news);
      const reconciled = reply.root === rootDigest(replica()) ||
        await reconcile(address);
      options.onRevision(reply.revision);
      if (reply.fresh) options.onConfirmed();
      return reconciled ? "reconciled" : "answered";
    },
  };
}
