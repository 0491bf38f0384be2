/**
 * What all agents are to know: versioned records that spread from agent to
 * agent in pairwise exchanges, without a leader and without the store.
 *
 * Invariant: a record is only ever replaced by one of a higher version, so
 * that what has been learnt never reverts, in whatever order news arrives.
 *
 * @module
 */
import type { Agent, AgentId } from "../agent.ts";
import type { AcceptedSection, DocumentIndex } from "../document/document.ts";
import type { KeyHash } from "../ownership/table.ts";

/** What a record can say. */
export type RecordValue =
  | { readonly kind: "agent"; readonly agent: Agent }
  | { readonly kind: "section"; readonly section: AcceptedSection }
  | { readonly kind: "index"; readonly index: DocumentIndex };

/** One versioned fact. */
export interface SharedRecord {
  readonly key: string;
  readonly version: number;
  readonly value: RecordValue;
}

/** A record's key and version. */
export interface RecordVersion {
  readonly key: string;
  readonly version: number;
}

/** Records whose keys fall together, so that a change copies only these. */
type Bucket = ReadonlyMap<string, SharedRecord>;

/** One agent's copy of all records. */
export interface Replica {
  readonly hash: KeyHash;
  readonly buckets: readonly Bucket[];
  /** For each bucket a digest of its records' versions. */
  readonly digests: readonly number[];
  /** Records worth telling unasked, each with the tellings left. */
  readonly news: ReadonlyMap<string, number>;
}

const bucketCount = 64;
const bucketSeed = 0x6275636b;
const digestSeed = 0x64696765;
/** News is told a few times; whom it misses finds it by comparing digests. */
const tellings = 4;
/** Most records sent unasked in one message. */
const mostNews = 8;

/** A copy without records. */
export function beginReplica(hash: KeyHash): Replica {
  return {
    hash,
    buckets: Array.from({ length: bucketCount }, () => new Map()),
    digests: Array.from({ length: bucketCount }, () => 0),
    news: new Map(),
  };
}

/** The key of an agent's record. */
export function agentKey(host: string): string {
  return `agent/${host}`;
}

/** The key of a section's record. */
export function sectionKey(name: string): string {
  return `section/${name}`;
}

/** The key of the one record that lists the sections in force. */
export const indexKey = "index";

/** The record with this key; null when there is none. */
export function recordOf(replica: Replica, key: string): SharedRecord | null {
  return replica.buckets[bucketOf(replica, key)]?.get(key) ?? null;
}

/** The version known of a key; below every version when there is none. */
function versionOf(replica: Replica, key: string): number {
  return recordOf(replica, key)?.version ?? -1;
}

function allRecords(replica: Replica): readonly SharedRecord[] {
  return replica.buckets.flatMap((bucket) => [...bucket.values()]);
}

/** Takes in records; those that are not newer change nothing. */
export function mergeRecords(
  replica: Replica,
  offered: readonly SharedRecord[],
): Replica {
  return offered.reduce(mergeRecord, replica);
}

function mergeRecord(replica: Replica, record: SharedRecord): Replica {
  if (record.version <= versionOf(replica, record.key)) return replica;
  const news = new Map(replica.news).set(record.key, tellings);
  return { ...replaceRecord(replica, record.key, record), news };
}

/** Removes records that nobody needs any more. */
export function dropRecords(
  replica: Replica,
  keys: readonly string[],
): Replica {
  return keys.reduce((replica, key) => {
    const news = new Map(replica.news);
    news.delete(key);
    return { ...replaceRecord(replica, key, null), news };
  }, replica);
}

/** Puts a record in a key's place, or nothing, and keeps the digest right. */
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

/** One number that is equal for equal copies. */
export function rootDigest(replica: Replica): number {
  return replica.hash(replica.digests.join(","), digestSeed);
}

/** The news to tell in one message, and the copy that has told it. */
export function takeNews(
  replica: Replica,
): { readonly replica: Replica; readonly records: readonly SharedRecord[] } {
  const told = [...replica.news]
    .sort((left, right) => right[1] - left[1])
    .slice(0, mostNews);
  if (told.length === 0) return { replica, records: [] };
  const news = new Map(replica.news);
  const records: SharedRecord[] = [];
  for (const [key, left] of told) {
    const record = recordOf(replica, key);
    if (record !== null) records.push(record);
    if (left <= 1) news.delete(key);
    else news.set(key, left - 1);
  }
  return { replica: { ...replica, news }, records };
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

/** What each side lacks, once the versions of differing buckets are known. */
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

/** All agents that any record tells of, the lost ones included. */
export function agentsOf(replica: Replica): readonly Agent[] {
  return allRecords(replica).flatMap((record) =>
    record.value.kind === "agent" ? [record.value.agent] : []
  );
}

/** A record of an agent as it described itself when it started. */
export function agentEntry(agent: Agent): SharedRecord {
  return {
    key: agentKey(agent.host),
    version: agent.incarnation,
    value: { kind: "agent", agent },
  };
}

/** A record of an agent, at a version above the one known of its host. */
export function agentRecord(replica: Replica, agent: Agent): SharedRecord {
  const key = agentKey(agent.host);
  const version = Math.max(versionOf(replica, key) + 1, agent.incarnation);
  return { key, version, value: { kind: "agent", agent } };
}

/** A correction, when others hold this living agent for something else. */
export function correction(
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

/** What an agent says of another that it can't reach. */
export function lossRecord(replica: Replica, id: AgentId): SharedRecord | null {
  const agent = agentsOf(replica).find((agent) => agent.id === id);
  if (agent === undefined || agent.phase === "lost") return null;
  return agentRecord(replica, { ...agent, phase: "lost" });
}
