/**
 * A configuration source that follows the operators' document in the store. A
 * few agents watch the document, and the revisions that they accept reach all
 * others by gossip.
 *
 * @module
 */
import type { Address, Agent } from "../core/agent.ts";
import type { Replica } from "../core/dissemination/replica.ts";
import { isWatcher } from "../core/dissemination/watchers.ts";
import { assembleConfiguration } from "../core/document/assembly.ts";
import type { ParsedDocument } from "../core/document/document.ts";
import {
  confirmFreshness,
  createFreshness,
  isFresh,
} from "../core/document/freshness.ts";
import type { KeyHash } from "../core/ownership/table.ts";
import type { Events } from "../ports/events.ts";
import { mainObjectName, type Store } from "../ports/store.ts";
import type {
  ConfigurationSource,
  SourceContext,
  StartSource,
} from "./configuration_source.ts";
import { type DocumentTimes, startDocument } from "./document_task.ts";
import { readClocks } from "./time.ts";

/** What the configuration source needs. */
export interface DocumentSourceOptions {
  /** Peer addresses of some other agents; empty to read them from the store. */
  readonly seeds: readonly Address[];
  readonly store: Store;
  readonly times: DocumentTimes;
  /** For how long a confirmation keeps the configuration fresh. */
  readonly freshnessMilliseconds: number;
  readonly readDocument: (text: string) => ParsedDocument;
  readonly events: Events;
  readonly hash: KeyHash;
}

/** Returns a source that follows the operators' document. */
export function documentSource(options: DocumentSourceOptions): StartSource {
  return (context) => startSource(options, context);
}

function startSource(
  options: DocumentSourceOptions,
  context: SourceContext,
): ConfigurationSource {
  const { store, events, hash } = options;
  let freshness = createFreshness(options.freshnessMilliseconds);
  const fresh = () => isFresh(freshness, readClocks());

  function confirm(): void {
    if (!fresh()) events.record("configuration-fresh");
    freshness = confirmFreshness(freshness, readClocks());
  }

  function handleReplicaChange(replica: Replica): void {
    const next = assembleConfiguration(replica, context.current());
    if (next !== null) context.apply(next);
  }

  const document = startDocument({
    store,
    times: options.times,
    events,
    read: options.readDocument,
    watches: () => isWatcher(context.agent, context.agents(), hash),
    publish: (records) => context.publish(records),
    onConfirmed: confirm,
    census: () => context.census(),
    seeds: () => seedAddresses(context.agents(), hash),
  });

  return {
    async seeds() {
      if (options.seeds.length > 0) return options.seeds;
      const stored = await store.seeds.read(mainObjectName);
      return stored.isOk ? stored.value?.value.addresses ?? [] : [];
    },
    handleReplicaChange,
    // The records of a newer revision arrive by gossip.
    handlePeerRevision: () => undefined,
    handlePeerConfirmation: confirm,
    // The agents that watch the document report their access to nobody.
    handleWatchReport: () => undefined,
    fresh,
    stop: () => document.stop(),
  };
}

function seedAddresses(
  agents: readonly Agent[],
  hash: KeyHash,
): readonly Address[] {
  return agents
    .filter((agent) => agent.phase === "serving")
    .filter((agent) => isWatcher(agent, agents, hash))
    .map((agent) => agent.peerAddress)
    .sort();
}
