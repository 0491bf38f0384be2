/**
 * Client of the object store by the resource conventions of the Kubernetes API:
 * versioned objects, conditional updates and watches in JSON.
 *
 * @module
 */
import { Buffer } from "node:buffer";
import { Result } from "true-myth";
import { Pool } from "undici";
import { z } from "zod";
import type { Metrics } from "../../ports/metrics.ts";
import {
  mainObjectName,
  type Repository,
  type Store,
  type StoreFault,
  type Versioned,
} from "../../ports/store.ts";
import { codeOfError, wasUnreachable } from "../targets/connection_errors.ts";
import {
  acceptance,
  delegation,
  storedDocument,
  storedSeeds,
  storedStatus,
} from "../schemas.ts";
import { exchangeWhole } from "../targets/whole_exchange.ts";

const apiVersion = "geraniumledge.example/v1";
const namespace = "geraniumledge";
/** Several times the size of the largest object. */
const maxReplyBytes = 8_388_608;

/** An open client of the store. */
export interface StoreClient extends Store {
  close(): Promise<void>;
}

const objectSchema = z.object({
  metadata: z.object({ name: z.string(), resourceVersion: z.string() }),
  spec: z.unknown(),
});

interface Connection {
  readonly pool: Pool;
  readonly metrics: Metrics;
  readonly timeoutMilliseconds: number;
}

/** Opens a client of the store at an origin such as `http://127.0.0.1:7000`. */
export function openStore(options: {
  readonly origin: string;
  readonly timeoutMilliseconds: number;
  readonly metrics: Metrics;
}): StoreClient {
  const pool = new Pool(options.origin, {
    connect: { timeout: options.timeoutMilliseconds },
    keepAliveTimeout: 4_000,
  });
  const connection: Connection = { ...options, pool };
  const documents = repository(connection, {
    plural: "documents",
    kind: "Document",
    schema: storedDocument,
  });
  let lastReadVersion: string | null = null;
  return {
    documents: {
      ...documents,
      async read(name) {
        const result = await documents.read(name);
        if (result.isOk) lastReadVersion = result.value?.version ?? "0";
        return result;
      },
    },
    acceptances: repository(connection, {
      plural: "acceptances",
      kind: "Acceptance",
      schema: acceptance,
    }),
    delegations: repository(connection, {
      plural: "delegations",
      kind: "Delegation",
      schema: delegation,
    }),
    statuses: repository(connection, {
      plural: "statuses",
      kind: "Status",
      schema: storedStatus,
    }),
    seeds: repository(connection, {
      plural: "seeds",
      kind: "Seeds",
      schema: storedSeeds,
    }),
    awaitChange: ({ maxWaitMilliseconds }) =>
      watch(connection, {
        version: lastReadVersion ?? "0",
        maxWaitMilliseconds,
      }),
    close: () => pool.destroy(),
  };
}

function repository<Value>(
  connection: Connection,
  options: {
    readonly plural: string;
    readonly kind: string;
    readonly schema: z.ZodType<Value>;
  },
): Repository<Value> {
  const { plural, kind, schema } = options;
  return {
    async read(name) {
      const reply = await call(connection, { method: "GET", plural, name });
      if (reply.isErr) return Result.err(reply.error);
      if (reply.value.status === 404) return Result.ok(null);
      return readObject(reply.value, schema);
    },
    async write(name, value, { version }) {
      const body = JSON.stringify({
        apiVersion,
        kind,
        metadata: {
          name,
          ...(version === null ? {} : { resourceVersion: version }),
        },
        spec: value,
      });
      const create = version === null;
      const reply = await call(connection, {
        method: create ? "POST" : "PUT",
        plural,
        name: create ? null : name,
        body,
      });
      if (reply.isErr) return Result.err(reply.error);
      if (reply.value.status === 409 || reply.value.status === 404) {
        return Result.err({ kind: "conflict" });
      }
      const object = readObject(reply.value, schema);
      return object.map((object) => object.version);
    },
  };
}

interface Reply {
  readonly status: number;
  readonly text: string;
}

async function call(
  connection: Connection,
  options: {
    readonly method: "GET" | "POST" | "PUT";
    readonly plural: string;
    readonly name: string | null;
    readonly body?: string;
  },
): Promise<Result<Reply, StoreFault>> {
  const { method, plural, name, body } = options;
  connection.metrics.count("store_calls", { method, kind: plural });
  try {
    const answer = await exchangeWhole(connection.pool, {
      method,
      path: pathOf(plural) + (name === null ? "" : `/${name}`),
      body: body === undefined ? null : Buffer.from(body),
      headers: { "content-type": "application/json" },
      signal: AbortSignal.timeout(connection.timeoutMilliseconds),
      maxAnswerBytes: maxReplyBytes,
    });
    const text = new TextDecoder().decode(answer.bytes);
    return Result.ok({ status: answer.status, text });
  } catch (error) {
    return Result.err(faultOf(error));
  }
}

function pathOf(plural: string): string {
  return `/apis/${apiVersion}/namespaces/${namespace}/${plural}`;
}

function faultOf(error: unknown): StoreFault {
  const detail = error instanceof Error ? error.message : String(error);
  return wasUnreachable(error)
    ? { kind: "refused", detail: detail || codeOfError(error) }
    : { kind: "uncertain", detail };
}

function readObject<Value>(
  reply: Reply,
  schema: z.ZodType<Value>,
): Result<Versioned<Value>, StoreFault> {
  if (reply.status >= 300) {
    const detail = `status ${reply.status}`;
    const kind = reply.status >= 500 ? "uncertain" : "refused";
    return Result.err({ kind, detail });
  }
  const object = objectSchema.safeParse(parseJson(reply.text));
  const value = object.success ? schema.safeParse(object.data.spec) : null;
  if (!object.success || value === null || !value.success) {
    return Result.err({ kind: "uncertain", detail: "malformed object" });
  }
  const version = object.data.metadata.resourceVersion;
  return Result.ok({ value: value.data, version });
}

function parseJson(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    return null;
  }
}

/** Waits for the first event of the watch, or until its time is over. */
async function watch(
  connection: Connection,
  options: { readonly version: string; readonly maxWaitMilliseconds: number },
): Promise<Result<null, StoreFault>> {
  connection.metrics.count("store_calls", {
    method: "WATCH",
    kind: "documents",
  });
  const query = new URLSearchParams({
    watch: "true",
    resourceVersion: options.version,
    fieldSelector: `metadata.name=${mainObjectName}`,
    timeoutSeconds: String(Math.ceil(options.maxWaitMilliseconds / 1_000)),
  });
  const watchGraceMilliseconds = 2_000;
  try {
    const response = await connection.pool.request({
      method: "GET",
      path: `${pathOf("documents")}?${query}`,
      signal: AbortSignal.timeout(
        options.maxWaitMilliseconds + watchGraceMilliseconds,
      ),
    });
    if (response.statusCode !== 200) {
      await response.body.dump();
      const detail = `status ${response.statusCode}`;
      return Result.err({ kind: "refused", detail });
    }
    for await (const _event of response.body) break;
    return Result.ok(null);
  } catch (error) {
    return Result.err(faultOf(error));
  }
}
