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

/** One agent's copy of all records. */
export interface Replica {
  readonly records: ReadonlyMap<string, SharedRecord>;
  /** For each bucket of keys a digest of its records' versions. */
  readonly digests: readonly number[];
  /** Records worth telling unasked, each with the tellings left. */
  readonly news: ReadonlyMap<string, number>;
}

const bucketCount = 64;
const bucketSeed = 0x6275636b;
const digestSeed = 0x64696765;
/** Enough tellings for news to reach 10,000 agents almost surely. */
const tellings = 14;
/** Most records sent unasked in one message. */
const mostNews = 32;

/** A copy without records. */
export function beginReplica(): Replica {
  return {
    records: new Map(),
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

/** Takes in records; those that are not newer change nothing. */
export function mergeRecords(
  replica: Replica,
  offered: readonly SharedRecord[],
  hash: KeyHash,
): Replica {
  const newer = offered.filter((record) =>
    record.version > (replica.records.get(record.key)?.version ?? -1)
  );
  if (newer.length === 0) return replica;
  const records = new Map(replica.records);
  const digests = [...replica.digests];
  const news = new Map(replica.news);
  for (const record of newer) {
    const former = records.get(record.key);
    if (former !== undefined && former.version >= record.version) continue;
    const bucket = bucketOf(record.key, hash);
    const removed = former === undefined ? 0 : digestOf(former, hash);
    const digest = digests[bucket] ?? 0;
    digests[bucket] = (digest ^ removed ^ digestOf(record, hash)) >>> 0;
    records.set(record.key, record);
    news.set(record.key, tellings);
  }
  return { records, digests, news };
}

/** Removes records that nobody needs any more. */
export function dropRecords(
  replica: Replica,
  keys: readonly string[],
  hash: KeyHash,
): Replica {
  const records = new Map(replica.records);
  const digests = [...replica.digests];
  const news = new Map(replica.news);
  for (const key of keys) {
    const former = records.get(key);
    if (former === undefined) continue;
    const bucket = bucketOf(key, hash);
    const digest = digests[bucket] ?? 0;
    digests[bucket] = (digest ^ digestOf(former, hash)) >>> 0;
    records.delete(key);
    news.delete(key);
  }
  return { records, digests, news };
}

function bucketOf(key: string, hash: KeyHash): number {
  return hash(key, bucketSeed) % bucketCount;
}

function digestOf(record: RecordVersion, hash: KeyHash): number {
  return hash(`${record.key}@${record.version}`, digestSeed);
}

/** One number that is equal for equal copies. */
export function rootDigest(replica: Replica, hash: KeyHash): number {
  return hash(replica.digests.join(","), digestSeed);
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
    const record = replica.records.get(key);
    if (record !== undefined) records.push(record);
    if (left <= 1) news.delete(key);
    else news.set(key, left - 1);
  }
  return { replica: { ...replica, news }, records };
}

/** The versions of all records in the buckets that differ. */
export function differingVersions(
  replica: Replica,
  digests: readonly number[],
  hash: KeyHash,
): readonly RecordVersion[] {
  const differing = new Set(
    replica.digests.flatMap((digest, bucket) =>
      digest === digests[bucket] ? [] : [bucket]
    ),
  );
  return [...replica.records.values()]
    .filter((record) => differing.has(bucketOf(record.key, hash)))
    .map(({ key, version }) => ({ key, version }));
}

/** What each side lacks, once the versions of differing buckets are known. */
export function compareVersions(
  replica: Replica,
  other: {
    readonly versions: readonly RecordVersion[];
    readonly digests: readonly number[];
  },
  hash: KeyHash,
): {
  readonly wanted: readonly string[];
  readonly offered: readonly SharedRecord[];
} {
  const theirs = new Map(
    other.versions.map((entry) => [entry.key, entry.version]),
  );
  const wanted = other.versions
    .filter((entry) =>
      entry.version > (replica.records.get(entry.key)?.version ?? -1)
    )
    .map((entry) => entry.key);
  const mine = differingVersions(replica, other.digests, hash);
  const offered = mine.flatMap((entry) => {
    const record = replica.records.get(entry.key);
    const known = theirs.get(entry.key) ?? -1;
    return record !== undefined && entry.version > known ? [record] : [];
  });
  return { wanted, offered };
}

/** The records with these keys. */
export function recordsOf(
  replica: Replica,
  keys: readonly string[],
): readonly SharedRecord[] {
  return keys.flatMap((key) => {
    const record = replica.records.get(key);
    return record === undefined ? [] : [record];
  });
}

/** All agents that any record tells of, the lost ones included. */
export function agentsOf(replica: Replica): readonly Agent[] {
  return [...replica.records.values()].flatMap((record) =>
    record.value.kind === "agent" ? [record.value.agent] : []
  );
}

/** A record of an agent, at a version above the one known of its host. */
export function agentRecord(replica: Replica, agent: Agent): SharedRecord {
  const key = agentKey(agent.host);
  const known = replica.records.get(key)?.version ?? 0;
  const version = Math.max(known + 1, agent.incarnation);
  return { key, version, value: { kind: "agent", agent } };
}

/** A correction, when others hold this living agent for something else. */
export function correction(
  replica: Replica,
  self: Agent,
): SharedRecord | null {
  const value = replica.records.get(agentKey(self.host))?.value;
  if (value?.kind !== "agent") return agentRecord(replica, self);
  const { agent } = value;
  if (agent.id === self.id && agent.phase === self.phase) return null;
  return agentRecord(replica, self);
}

/** What an agent says of another that it can't reach. */
export function lossRecord(replica: Replica, id: AgentId): SharedRecord | null {
  const agent = agentsOf(replica).find((agent) => agent.id === id);
  if (agent === undefined || agent.phase === "lost") return null;
  return agentRecord(replica, { ...agent, phase: "lost" });
}
