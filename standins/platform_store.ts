/**
 * A stand-in for the users' platform's store by its published protocol:
 * objects by kind and name with revisions, conditional writes, and watches
 * that wait. It can be down, lose the replies of writes, or go back to an older
 * copy.
 *
 * @module
 */
import { type IncomingMessage, type ServerResponse } from "node:http";
import { closeServer, listen, readText, serverOf } from "./http_server.ts";

/** Faults that a test can switch on. */
export interface PlatformStoreFaults {
  /** Connections are broken off without an answer. */
  readonly down: boolean;
  /** So many of the next writes take effect and lose their reply. */
  readonly lostReplies: number;
  /** The history is gone: watches are answered with 410. */
  readonly compacted: boolean;
  /** Answers lack their era, as those of a proxy do. */
  readonly withoutEra: boolean;
}

/** A running store. */
export interface PlatformStoreStandIn {
  readonly address: string;
  setFaults(faults: Partial<PlatformStoreFaults>): void;
  /** Writes an object as operators do. */
  put(kind: string, name: string, spec: unknown): void;
  /** Copies all objects. */
  copy(): StoreCopy;
  /**
   * Goes back to a copy, in the next era. Connections are broken off, and
   * revisions are given out again.
   */
  returnTo(copy: StoreCopy): void;
  /** Removes an object as operators do. */
  remove(kind: string, name: string): void;
  /** Calls so far, a waiting watch as one. */
  calls(): number;
  close(): Promise<void>;
}

/** A copy of all objects of a store. */
export interface StoreCopy {
  readonly objects: ReadonlyMap<string, StoredObject>;
  readonly revision: number;
}

interface StoredObject {
  readonly kind: string;
  readonly name: string;
  readonly revision: number;
  readonly spec: unknown;
}

interface Written {
  readonly metadata?: { readonly name?: string; readonly revision?: number };
  readonly spec?: unknown;
}

const objectPath = /^\/geraniumledge\/objects\/([^/?]+)(?:\/([^/?]+))?$/;
const itemsPerPage = 500;

/** Starts a store on a port; 0 takes any that is free. */
export async function startPlatformStore(options: {
  readonly port: number;
  /** The era that each answer states; left out, the store states none. */
  readonly era?: number;
}): Promise<PlatformStoreStandIn> {
  let objects = new Map<string, StoredObject>();
  let era = options.era ?? null;
  /** The last state of each removed object, with the removal's revision. */
  const removed = new Map<string, StoredObject>();
  const watchers = new Set<() => void>();
  let revision = 1;
  let calls = 0;
  let faults: PlatformStoreFaults = {
    down: false,
    lostReplies: 0,
    compacted: false,
    withoutEra: false,
  };

  const server = serverOf(serve);

  async function serve(
    message: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    calls += 1;
    if (era !== null && !faults.withoutEra) {
      response.setHeader("store-era", String(era));
    }
    if (faults.down) return void message.socket.destroy();
    const url = new URL(message.url ?? "/", "http://store");
    const match = objectPath.exec(url.pathname);
    if (match === null) return send(response, 404, {});
    const [, kind = "", name] = match;
    if (message.method === "GET") return read(response, { kind, name, url });
    const text = await readText(message);
    const body = text === "" ? {} : JSON.parse(text) as Written;
    if (message.method === "POST") return create(response, { kind, body });
    if (message.method === "PUT" && name !== undefined) {
      return replace(response, { kind, name, body });
    }
    send(response, 405, {});
  }

  function read(
    response: ServerResponse,
    target: {
      readonly kind: string;
      readonly name: string | undefined;
      readonly url: URL;
    },
  ): void {
    const { kind, name, url } = target;
    if (name !== undefined) {
      const found = objects.get(`${kind}/${name}`);
      return found === undefined
        ? send(response, 404, {})
        : send(response, 200, shown(found));
    }
    const since = url.searchParams.get("watch");
    if (since !== null) {
      const waitMs = Number(url.searchParams.get("waitMs") ?? 0);
      return watch(response, { kind, since: Number(since), waitMs });
    }
    const after = url.searchParams.get("after") ?? "";
    const items = ofKind(kind).filter((object) => object.name > after);
    send(response, 200, {
      items: items.slice(0, itemsPerPage).map(shown),
      hasMore: items.length > itemsPerPage,
      storeRevision: revision,
    });
  }

  function ofKind(
    kind: string,
    among = objects,
  ): readonly StoredObject[] {
    return [...among.values()]
      .filter((object) => object.kind === kind)
      .sort((left, right) => left.name < right.name ? -1 : 1);
  }

  function watch(
    response: ServerResponse,
    options: {
      readonly kind: string;
      readonly since: number;
      readonly waitMs: number;
    },
  ): void {
    const { kind, since, waitMs } = options;
    if (faults.compacted || since > revision) return send(response, 410, {});
    const answer = (): boolean => {
      const changed = [...ofKind(kind), ...ofKind(kind, removed)]
        .filter((object) => object.revision > since)
        .sort((left, right) => left.revision - right.revision);
      if (changed.length === 0) return false;
      end(changed);
      return true;
    };
    function end(changed: readonly StoredObject[]): void {
      clearTimeout(timer);
      watchers.delete(tell);
      const events = changed.map((object) => ({
        removed: removed.get(`${object.kind}/${object.name}`) === object,
        object: shown(object),
      }));
      send(response, 200, { events, storeRevision: revision });
    }
    const tell = () => void answer();
    const timer = setTimeout(() => end([]), waitMs);
    if (!answer()) watchers.add(tell);
    response.on("close", () => {
      clearTimeout(timer);
      watchers.delete(tell);
    });
  }

  function create(
    response: ServerResponse,
    write: { readonly kind: string; readonly body: Written },
  ): void {
    const name = write.body.metadata?.name ?? "";
    const former = objects.get(`${write.kind}/${name}`);
    if (former !== undefined) return send(response, 409, shown(former));
    finish(response, put(write.kind, name, write.body.spec));
  }

  function replace(
    response: ServerResponse,
    write: {
      readonly kind: string;
      readonly name: string;
      readonly body: Written;
    },
  ): void {
    const former = objects.get(`${write.kind}/${write.name}`);
    if (former === undefined) return send(response, 404, {});
    const expected = write.body.metadata?.revision;
    if (expected !== undefined && expected !== former.revision) {
      return send(response, 409, shown(former));
    }
    finish(response, put(write.kind, write.name, write.body.spec));
  }

  function put(kind: string, name: string, spec: unknown): StoredObject {
    revision += 1;
    const object = { kind, name, revision, spec };
    objects.set(`${kind}/${name}`, object);
    removed.delete(`${kind}/${name}`);
    for (const tell of [...watchers]) tell();
    return object;
  }

  function remove(kind: string, name: string): void {
    const path = `${kind}/${name}`;
    const former = objects.get(path);
    if (former === undefined) return;
    revision += 1;
    objects.delete(path);
    removed.set(path, { ...former, revision });
    for (const tell of [...watchers]) tell();
  }

  function finish(response: ServerResponse, object: StoredObject): void {
    if (faults.lostReplies > 0) {
      faults = { ...faults, lostReplies: faults.lostReplies - 1 };
      return void response.socket?.destroy();
    }
    send(response, 200, shown(object));
  }

  const port = await listen(server, options.port);
  return {
    address: `127.0.0.1:${port}`,
    setFaults(next) {
      faults = { ...faults, ...next };
      if (faults.down) server.closeAllConnections();
    },
    put,
    copy: () => ({ objects: new Map(objects), revision }),
    returnTo(copy) {
      objects = new Map(copy.objects);
      removed.clear();
      ({ revision } = copy);
      era = (era ?? 0) + 1;
      watchers.clear();
      server.closeAllConnections();
    },
    remove,
    calls: () => calls,
    close: () => closeServer(server),
  };
}

function shown(object: StoredObject) {
  const { name, revision, spec } = object;
  return {
    metadata: {
      name,
      revision,
      created: 1,
      finalizers: [],
      deletionRequested: false,
    },
    spec,
    status: null,
  };
}

function send(response: ServerResponse, status: number, body: unknown): void {
  response.writeHead(status, { "content-type": "application/json" });
  response.end(JSON.stringify(body));
}
