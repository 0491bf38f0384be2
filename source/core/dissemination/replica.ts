/**
 * Gossip state: versioned records that are replicated to all agents by pairwise
 * exchanges, without a leader and without the store.
 *
 * Invariant: a record is only replaced by one of a higher version, so that an
 * agent never returns to an older record, in whatever order updates arrive.
 *
 * @module
 */
import type { Agent, AgentId } from "../agent.ts";
import type { AcceptedSection, DocumentIndex } from "../document/document.ts";
import type { KeyHash } from "../ownership/table.ts";
import type { DesiredState } from "../routes/desired_state.ts";
import {
  type EvacuationList,
  evacuationVersion,
} from "../routing/evacuations.ts";

/** The content of a record. */
export type RecordValue =
  | { readonly kind: "agent"; readonly agent: Agent }
  | { readonly kind: "section"; readonly section: AcceptedSection }
  | { readonly kind: "index"; readonly index: DocumentIndex }
  | { readonly kind: "desired"; readonly desired: DesiredState }
  | { readonly kind: "era"; readonly era: number }
  | { readonly kind: "evacuations"; readonly evacuations: EvacuationList };

/** One versioned record. */
export interface SharedRecord {
  readonly key: string;
  readonly version: number;
  readonly value: RecordValue;
}

/** The key and version of a record. */
export interface RecordVersion {
  readonly key: string;
  readonly version: number;
}

/** Records are divided by key, so that a change copies one bucket only. */
type Bucket = ReadonlyMap<string, SharedRecord>;

/** One agent's copy of all records. */
export interface Replica {
  readonly hash: KeyHash;
  readonly buckets: readonly Bucket[];
  /** For each bucket, a digest of the versions of its records. */
  readonly digests: readonly number[];
  /**
   * Keys of recently changed records, with how often each is still to be sent.
   */
  readonly pendingUpdates: ReadonlyMap<string, number>;
}

const bucketCount = 64;
const bucketSeed = 0x6275636b;
const digestSeed = 0x64696765;
/**
 * An update is sent unrequested so many times; agents that it doesn't reach
 * find it by comparing digests.
 */
const sendsPerUpdate = 4;
/** The most records sent unrequested in one message. */
const maxUpdatesPerMessage = 8;

/** A replica without records. */
export function createReplica(hash: KeyHash): Replica {
  return {
    hash,
    buckets: Array.from({ length: bucketCount }, () => new Map()),
    digests: Array.from({ length: bucketCount }, () => 0),
    pendingUpdates: new Map(),
  };
}

/** The key of the record of an agent on this host. */
export function agentKey(host: string): string {
  return `agent/${host}`;
}

/** The key of the record of a document section. */
export function sectionKey(name: string): string {
  return `section/${name}`;
}

/** The key of the one record that lists the sections in force. */
export const indexKey = "index";

/** The key of the one record of the desired state. */
export const desiredKey = "desired";

/** The record of a desired state, versioned as the platform has numbered it. */
export function desiredRecord(desired: DesiredState): SharedRecord {
  const value = { kind: "desired", desired } as const;
  return { key: desiredKey, version: desired.version, value };
}

/** The key of the one record of the store's era. */
export const eraKey = "era";

/** The record of an era of the store that began with a change. */
export function eraRecord(era: number): SharedRecord {
  return { key: eraKey, version: era, value: { kind: "era", era } };
}

/** The era of the last change that agents have told; null for none. */
export function toldEra(replica: Replica): number | null {
  const value = recordOf(replica, eraKey)?.value;
  return value?.kind === "era" ? value.era : null;
}

/** The desired state that other agents have told; null for none. */
export function desiredOf(replica: Replica): DesiredState | null {
  const value = recordOf(replica, desiredKey)?.value;
  return value?.kind === "desired" ? value.desired : null;
}

/** The key of the one record of the evacuated data centres. */
const evacuationsKey = "evacuations";

/** The record of a list of evacuated data centres. */
export function evacuationsRecord(evacuations: EvacuationList): SharedRecord {
  const value = { kind: "evacuations", evacuations } as const;
  const version = evacuationVersion(evacuations);
  return { key: evacuationsKey, version, value };
}

/** The evacuated data centres that other agents have told; null for none. */
export function evacuationsOf(replica: Replica): EvacuationList | null {
  const value = recordOf(replica, evacuationsKey)?.value;
  return value?.kind === "evacuations" ? value.evacuations : null;
}

/** The record with this key; null when there is none. */
export function recordOf(replica: Replica, key: string): SharedRecord | null {
  return replica.buckets[bucketOf(replica, key)]?.get(key) ?? null;
}

/** The version of the record with this key; -1 when there is none. */
function versionOf(replica: Replica, key: string): number {
  return recordOf(replica, key)?.version ?? -1;
}

function allRecords(replica: Replica): readonly SharedRecord[] {
  return replica.buckets.flatMap((bucket) => [...bucket.values()]);
}

/** Merges records; those that are not newer are ignored. */
export function mergeRecords(
  replica: Replica,
  offered: readonly SharedRecord[],
): Replica {
  return offered.reduce(mergeRecord, replica);
}

function mergeRecord(replica: Replica, record: SharedRecord): Replica {
  if (record.version <= versionOf(replica, record.key)) return replica;
  const replaced = replaceRecord(replica, record.key, record);
  // A desired state is long, and reaches most agents directly; the others find
  // it by comparing digests.
  if (record.value.kind === "desired") return replaced;
  const pendingUpdates = new Map(replica.pendingUpdates).set(
    record.key,
    sendsPerUpdate,
  );
  return { ...replaced, pendingUpdates };
}

/** Removes records that are no longer needed. */
export function dropRecords(
  replica: Replica,
  keys: readonly string[],
): Replica {
  return keys.reduce((replica, key) => {
    const pendingUpdates = new Map(replica.pendingUpdates);
    pendingUpdates.delete(key);
    return { ...replaceRecord(replica, key, null), pendingUpdates };
  }, replica);
}

/** Replaces or removes the record of a key, and updates the digest. */
function replaceRecord(
  replica: Replica,
  key: string,
  record: SharedRecord | null,
): Replica {
  const index = bucketOf(replica, key);
  const bucket = new Map(replica.buckets[index]);
  const former = bucket.get(key) ?? null;
  if (record === null) bucket.delete(key);
  else bucket.set(key, record);
  const digest = (replica.digests[index] ?? 0) ^ digestOf(replica, former) ^
    digestOf(replica, record);
  return {
    ...replica,
    buckets: replica.buckets.with(index, bucket),
    digests: replica.digests.with(index, digest >>> 0),
  };
}

function bucketOf(replica: Replica, key: string): number {
  return replica.hash(key, bucketSeed) % bucketCount;
}

function digestOf(replica: Replica, record: RecordVersion | null): number {
  if (record === null) return 0;
  return replica.hash(`${record.key}@${record.version}`, digestSeed);
}

/** A digest of all records; equal for equal replicas. */
export function rootDigest(replica: Replica): number {
  return replica.hash(replica.digests.join(","), digestSeed);
}

/** The updates to send in one message, and the replica once they are sent. */
export function takeUpdates(
  replica: Replica,
): { readonly replica: Replica; readonly records: readonly SharedRecord[] } {
  const sent = [...replica.pendingUpdates]
    .sort((left, right) => right[1] - left[1])
    .slice(0, maxUpdatesPerMessage);
  if (sent.length === 0) return { replica, records: [] };
  const pendingUpdates = new Map(replica.pendingUpdates);
  const records: SharedRecord[] = [];
  for (const [key, remaining] of sent) {
    const record = recordOf(replica, key);
    if (record !== null) records.push(record);
    if (remaining <= 1) pendingUpdates.delete(key);
    else pendingUpdates.set(key, remaining - 1);
  }
  return { replica: { ...replica, pendingUpdates }, records };
}

/** The versions of all records in the buckets that differ. */
export function differingVersions(
  replica: Replica,
  digests: readonly number[],
): readonly RecordVersion[] {
  return replica.buckets
    .filter((_, index) => replica.digests[index] !== digests[index])
    .flatMap((bucket) => [...bucket.values()])
    .map(({ key, version }) => ({ key, version }));
}

/**
 * Compares with the versions in another replica's differing buckets: which keys
 * it has newer records of, and which newer records to send to it.
 */
export function compareVersions(
  replica: Replica,
  other: {
    readonly versions: readonly RecordVersion[];
    readonly digests: readonly number[];
  },
): {
  readonly wanted: readonly string[];
  readonly offered: readonly SharedRecord[];
} {
  const theirs = new Map(
    other.versions.map((entry) => [entry.key, entry.version]),
  );
  const wanted = other.versions
    .filter((entry) => entry.version > versionOf(replica, entry.key))
    .map((entry) => entry.key);
  const mine = differingVersions(replica, other.digests);
  const offered = mine.flatMap((entry) => {
    const record = recordOf(replica, entry.key);
    const known = theirs.get(entry.key) ?? -1;
    return record !== null && entry.version > known ? [record] : [];
  });
  return { wanted, offered };
}

/** The records with these keys. */
export function recordsOf(
  replica: Replica,
  keys: readonly string[],
): readonly SharedRecord[] {
  return keys.flatMap((key) => {
    const record = recordOf(replica, key);
    return record === null ? [] : [record];
  });
}

/** The agents of all records, including those that are lost. */
export function agentsOf(replica: Replica): readonly Agent[] {
  return allRecords(replica).flatMap((record) =>
    record.value.kind === "agent" ? [record.value.agent] : []
  );
}

/** The first record of an agent, versioned by its incarnation. */
export function initialAgentRecord(agent: Agent): SharedRecord {
  return {
    key: agentKey(agent.host),
    version: agent.incarnation,
    value: { kind: "agent", agent },
  };
}

/** A record of an agent that replaces the known record of its host. */
export function agentRecord(replica: Replica, agent: Agent): SharedRecord {
  const key = agentKey(agent.host);
  const version = Math.max(versionOf(replica, key) + 1, agent.incarnation);
  return { key, version, value: { kind: "agent", agent } };
}

/**
 * The record by which a running agent refutes a wrong record of itself; null
 * when its record is right.
 */
export function correctionRecord(
  replica: Replica,
  self: Agent,
): SharedRecord | null {
  const value = recordOf(replica, agentKey(self.host))?.value;
  if (value?.kind !== "agent") return agentRecord(replica, self);
  const { agent } = value;
  const same = agent.id === self.id && agent.phase === self.phase &&
    agent.slots === self.slots && agent.service === self.service;
  if (same) return null;
  return agentRecord(replica, self);
}

/**
 * The record that declares an unreachable agent lost; null when it is unknown
 * or known to be lost.
 */
export function lossRecord(replica: Replica, id: AgentId): SharedRecord | null {
  const agent = agentsOf(replica).find((agent) => agent.id === id);
  if (agent === undefined || agent.phase === "lost") return null;
  return agentRecord(replica, { ...agent, phase: "lost" });
}
