/**
 * Schemas of data from outside: messages of peers and records of the store.
 * Data that does not match is rejected before any decision uses it.
 *
 * @module
 */
import { z } from "zod";
import { type Agent, isAddress } from "../core/agent.ts";
import type { SharedRecord } from "../core/dissemination/replica.ts";
import type { DesiredState } from "../core/routes/desired_state.ts";
import type {
  Acceptance,
  AcceptedSection,
  ColdStart,
  SectionContent,
} from "../core/document/document.ts";
import type { Delegation } from "../core/ownership/delegation.ts";
import type { Handover } from "../core/ownership/handover_message.ts";
import {
  maxHandoverCharacters,
  type Renewal,
  type RenewalAnswer,
  type TakeoverAnswer,
} from "../core/ownership/renewal.ts";
import type { OwnershipTable } from "../core/ownership/table.ts";
import type { EvacuationList } from "../core/routing/evacuations.ts";
import type { RecordedDeparture } from "../core/target/departures.ts";
import type {
  StoredDocument,
  StoredSeeds,
  StoredStatus,
} from "../ports/store.ts";

const name = z.string().max(200);
const count = z.number().int().min(0).max(Number.MAX_SAFE_INTEGER);
const address = z.string().max(64).refine(isAddress, {
  error: "must be an IP address and a port",
});
/** The largest time that a `Date` can represent. */
const maxTimeMilliseconds = 8_640_000_000_000_000;
const time = z.number().int().min(0).max(maxTimeMilliseconds);
const nonNegative = z.number().min(0);

const token = z.strictObject({ epoch: count, sequence: count });
const handover = z.string().max(maxHandoverCharacters).optional();
const grant = z.strictObject({ slice: count, token, handover });
const grants = z.array(grant).max(100_000);

const agent: z.ZodType<Agent> = z.strictObject({
  id: name,
  host: name,
  incarnation: time,
  callerAddress: address,
  peerAddress: address,
  place: z.strictObject({ dataCenter: name, region: name }),
  service: name,
  group: name.nullable(),
  slots: z.number().int().min(1).max(1_000_000),
  processors: z.number().positive().max(10_000),
  checksFencing: z.boolean(),
  phase: z.enum(["serving", "leaving", "lost"]),
});

/** The store's record of an agent, as the agent describes itself. */
export const member = agent;

const coldStart: z.ZodType<ColdStart | null> = z.strictObject({
  durationMilliseconds: nonNegative,
  maxRequestsPerSecond: z.number().positive(),
}).nullable().default(null);

const content: z.ZodType<SectionContent> = z.discriminatedUnion("kind", [
  z.strictObject({
    kind: z.literal("ranks"),
    ranks: z.array(z.strictObject({
      name,
      share: z.number().min(0).max(1),
      defaultDeadlineMilliseconds: nonNegative,
    })),
  }),
  z.strictObject({
    kind: z.literal("regions"),
    regions: z.array(z.strictObject({ name, dataCenters: z.array(name) })),
  }),
  z.strictObject({
    kind: z.literal("service"),
    service: z.strictObject({
      name,
      routes: z.array(z.string().max(2_000)),
      keys: z.strictObject({ groups: count, slicesPerGroup: count }).nullable(),
      defaultRank: name,
      longestDeadlineMilliseconds: nonNegative,
      queueLength: count,
      longestBodyBytes: nonNegative,
      coldStart,
    }),
  }),
]);

const section: z.ZodType<AcceptedSection> = z.strictObject({
  name,
  owner: name,
  revision: count,
  content,
});

const milliseconds = z.number().min(0);

const desired: z.ZodType<DesiredState> = z.strictObject({
  version: count,
  routes: z.array(z.strictObject({
    name: z.string(),
    host: z.string(),
    pathPrefix: z.string(),
    idempotent: z.boolean(),
    timeoutMilliseconds: milliseconds,
    objectiveMilliseconds: milliseconds,
    priority: count,
    maxAttempts: count,
    destinations: z.array(
      z.strictObject({ service: z.string(), weight: z.number().min(0) }),
    ),
    allowedRegions: z.array(z.string()).default([]),
  })),
  services: z.array(z.strictObject({
    name: z.string(),
    keyed: z.boolean(),
    coldStart,
  })),
  limits: z.strictObject({
    headerBytes: count,
    bodyBytes: count,
    headerMilliseconds: milliseconds,
    idleMilliseconds: milliseconds,
  }),
});

const evacuations: z.ZodType<EvacuationList> = z.strictObject({
  era: count,
  revision: count,
  dataCenters: z.array(name).max(1_000),
});

const sharedRecord: z.ZodType<SharedRecord> = z.strictObject({
  key: name,
  version: count,
  value: z.discriminatedUnion("kind", [
    z.strictObject({ kind: z.literal("agent"), agent }),
    z.strictObject({ kind: z.literal("section"), section }),
    z.strictObject({
      kind: z.literal("index"),
      index: z.strictObject({
        revision: count,
        sections: z.record(z.string(), count),
      }),
    }),
    z.strictObject({ kind: z.literal("desired"), desired }),
    z.strictObject({ kind: z.literal("era"), era: count }),
    z.strictObject({ kind: z.literal("evacuations"), evacuations }),
  ]),
});

const records = z.array(sharedRecord).max(50_000);
const digests = z.array(count).max(4_096);

const isolatedKeys = z.array(z.strictObject({
  key: z.string().max(4_096),
  slice: count,
  base: count,
})).max(10_000);

/** An ownership table. */
export const table: z.ZodType<OwnershipTable> = z.strictObject({
  group: name,
  version: token,
  holders: z.array(z.strictObject({ id: name, peerAddress: address })),
  owners: z.array(z.number().int().min(-1)).max(100_000),
  hashedSlices: count,
  isolatedKeys,
});

const renewal: z.ZodType<Renewal> = z.strictObject({
  group: name,
  epoch: count,
  id: name,
  peerAddress: address,
  weight: z.number().int().min(1).max(1_000_000),
  weightLimit: z.number().positive().max(1_000_000).optional(),
  checksFencing: z.boolean(),
  leaving: z.boolean(),
  held: grants,
  lapsed: grants.optional(),
  released: grants,
  emptied: z.boolean(),
  tableVersion: token,
  sliceLoads: z.array(
    z.strictObject({ slice: count, requestsPerSecond: nonNegative }),
  ).max(100_000),
  keyLoads: z.array(z.strictObject({
    key: z.string().max(4_096),
    slice: z.number().int().min(-1),
    requestsPerSecond: nonNegative,
  })).max(1_000),
});

const renewalAnswer: z.ZodType<RenewalAnswer> = z.strictObject({
  epoch: count,
  leaseMilliseconds: nonNegative,
  grants,
  release: z.array(count).max(100_000),
  table: table.nullable(),
});

const takeoverAnswer: z.ZodType<TakeoverAnswer> = z.strictObject({
  id: name,
  held: grants,
  lapsed: grants.optional(),
  weight: z.number().int().min(1).max(1_000_000),
  weightLimit: z.number().positive().max(1_000_000).optional(),
  checksFencing: z.boolean(),
  leaving: z.boolean(),
});

const sliceNumbers = z.array(count).max(100_000);

const handoverAnswer: z.ZodType<Handover> = z.strictObject({
  epoch: count,
  sliceCount: count.max(100_000),
  waiting: z.array(z.strictObject({
    owner: name.nullable(),
    slices: sliceNumbers,
    milliseconds: nonNegative,
  })),
});

const location = z.strictObject({ address, epoch: count });
const claim = { group: name, epoch: count, grantorAddress: address };
const group = z.strictObject({ group: name });

const timelineEvent = z.strictObject({
  agent: name,
  logicalTime: count,
  wallTime: z.number(),
  kind: z.string().max(64),
  detail: z.record(z.string(), z.union([z.string(), z.number(), z.boolean()])),
});

/** What an agent has acknowledged of targets that leave. */
export const departures: z.ZodType<readonly RecordedDeparture[]> = z.array(
  z.strictObject({ id: name, startedBy: time }),
).max(100);

/** The message and answer of each call between agents. */
export const peerSchemas = {
  exchange: {
    message: z.strictObject({
      from: name,
      news: records,
      root: count,
      revision: count,
    }),
    answer: z.strictObject({
      id: name,
      news: records,
      root: count,
      revision: count,
      fresh: z.boolean(),
    }),
  },
  compare: {
    message: z.strictObject({ digests }),
    answer: z.strictObject({
      digests,
      versions: z.array(z.strictObject({ key: name, version: count })),
    }),
  },
  transfer: {
    message: z.strictObject({
      offered: records,
      wanted: z.array(name).max(50_000),
    }),
    answer: records,
  },
  renew: { message: renewal, answer: renewalAnswer.nullable() },
  locateGrantor: {
    message: z.strictObject({
      group: name,
      unreachable: location.nullable(),
      effort: z.enum(["own", "known", "take-over"]),
    }),
    answer: location.nullable(),
  },
  takeEpoch: {
    message: z.strictObject(claim),
    answer: takeoverAnswer.nullable(),
  },
  sealGrantor: {
    message: z.strictObject({ ...claim, grantor: name }),
    answer: z.boolean(),
  },
  handover: {
    message: z.strictObject({ group: name, epoch: count }),
    answer: handoverAnswer.nullable(),
  },
  hearsGrantor: {
    message: group,
    answer: z.strictObject({ id: name, epoch: count, hears: z.boolean() }),
  },
  identify: { message: z.strictObject({}), answer: name },
  nudge: { message: group, answer: z.null() },
  table: {
    message: z.strictObject({ group: name, known: token.optional() }),
    answer: table.nullable(),
  },
  reportWatch: {
    message: z.strictObject({ from: name, reachesStore: z.boolean() }),
    answer: z.null(),
  },
  storeDepartures: {
    message: z.strictObject({ host: name, departures }),
    answer: z.null(),
  },
  departuresOf: {
    message: z.strictObject({ host: name }),
    answer: departures,
  },
  census: {
    message: z.strictObject({
      addresses: z.array(address).max(50_000).nullable(),
    }),
    answer: z.strictObject({
      applied: z.array(z.strictObject({
        host: name,
        revision: count,
        fresh: z.boolean(),
      })),
      missing: z.array(name),
    }),
  },
  events: {
    message: z.strictObject({ after: count }),
    answer: z.array(timelineEvent),
  },
  offerBody: {
    message: z.strictObject({
      request: name,
      service: name,
      bytes: count,
      objectiveMilliseconds: z.number(),
      deadlineMilliseconds: z.number(),
    }),
    answer: z.discriminatedUnion("kind", [
      z.strictObject({ kind: z.literal("come") }),
      z.strictObject({
        kind: z.literal("refused"),
        reason: z.enum(["queue-full", "target-leaving"]),
        retryAfterMilliseconds: nonNegative.nullable(),
      }),
    ]),
  },
  lendRetries: {
    message: z.strictObject({ service: name, wanted: nonNegative }),
    answer: z.strictObject({ granted: nonNegative }),
  },
  roster: {
    message: z.strictObject({}),
    answer: z.array(z.strictObject({ host: name, address })),
  },
} as const;

/** The store's record of a delegation. */
export const delegation: z.ZodType<Delegation> = z.strictObject({
  group: name,
  grantor: name,
  grantorAddress: address,
  epoch: count,
  durationMilliseconds: nonNegative,
  roster: z.array(z.strictObject({
    id: name,
    peerAddress: address,
    since: token.optional(),
  })),
  earlierMayGrant: z.boolean(),
  earlierGrantors: z.array(name).max(1_000),
  hashedSlices: count,
  isolatedKeys,
  writerMark: name,
  era: count.optional(),
  unlistedServers: z.boolean().optional(),
});

/** The store's record of the accepted sections and the refusals. */
export const acceptance: z.ZodType<Acceptance> = z.strictObject({
  revision: count,
  judgedVersion: name,
  sections: z.array(section),
  refusals: z.array(z.strictObject({
    section: z.string(),
    path: z.string(),
    line: count,
    reason: z.string(),
  })),
});

/** The store's record of the operators' document. */
export const storedDocument: z.ZodType<StoredDocument> = z.object({
  text: z.string(),
  author: z.string().default("unknown"),
});

/** The store's record of how widely a revision has been applied. */
export const storedStatus: z.ZodType<StoredStatus> = z.object({
  revision: count,
  inForce: count,
  agents: count,
  missing: z.array(z.string()),
});

/** The store's list of seed addresses, at which agents contact others first. */
export const storedSeeds: z.ZodType<StoredSeeds> = z.object({
  addresses: z.array(address).max(1_000),
});
