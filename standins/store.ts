/**
 * A stand-in for the platform's object store: versioned objects, conditional
 * updates and watches by the resource conventions of the Kubernetes API.
 *
 * `PUT /-/faults` makes it down, slow, or lose replies after a write took
 * effect; `GET /-/calls` counts its calls, a waiting watch as one.
 *
 * @module
 */
import { type IncomingMessage, type ServerResponse } from "node:http";
import { closeServer, listen, readText, serverOf } from "./http_server.ts";

interface StoredObject {
  readonly apiVersion: unknown;
  readonly kind: unknown;
  readonly metadata: {
    readonly name: string;
    readonly resourceVersion: string;
  };
  readonly spec: unknown;
}

/** Faults that a test can switch on. */
export interface StoreFaults {
  /** Connections are broken off without an answer. */
  readonly down: boolean;
  readonly slowMilliseconds: number;
  /** So many of the next writes take effect and lose their reply. */
  readonly lostReplies: number;
}

/** A running store. */
export interface StoreStandIn {
  readonly origin: string;
  setFaults(faults: Partial<StoreFaults>): void;
  calls(): Readonly<Record<string, number>>;
  close(): Promise<void>;
}

const longestValueBytes = 1_048_576;
const objectPath =
  /^\/apis\/([^/]+\/[^/]+)\/namespaces\/([^/]+)\/([^/?]+)(?:\/([^/?]+))?$/;

/** Starts a store on a port; 0 takes any that is free. */
export function startStoreStandIn(options: {
  readonly port: number;
}): Promise<StoreStandIn> {
  const objects = new Map<string, StoredObject>();
  const watchers = new Set<
    { readonly prefix: string; readonly tell: (object: StoredObject) => void }
  >();
  const calls = new Map<string, number>();
  let faults: StoreFaults = {
    down: false,
    slowMilliseconds: 0,
    lostReplies: 0,
  };
  let version = 0;

  const server = serverOf(serve);

  async function serve(
    message: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const url = new URL(message.url ?? "/", "http://store");
    if (url.pathname === "/-/calls") return send(response, 200, countCalls());
    if (url.pathname === "/-/faults") {
      const body = await readText(message);
      faults = { ...faults, ...JSON.parse(body) as Partial<StoreFaults> };
      return send(response, 200, faults);
    }
    if (faults.down) return void message.socket.destroy();
    if (faults.slowMilliseconds > 0) await wait(faults.slowMilliseconds);
    const match = objectPath.exec(url.pathname);
    if (match === null) return fail(response, 404, "NotFound");
    const [, , , plural = "", name] = match;
    const watch = url.searchParams.get("watch") === "true";
    const method = watch ? "WATCH" : message.method ?? "GET";
    const call = `${method} ${plural}`;
    calls.set(call, (calls.get(call) ?? 0) + 1);
    if (watch) return serveWatch(response, { plural, url });
    if (method === "GET") return serveRead(response, { plural, name });
    const body = await readText(message);
    return serveWrite(response, { plural, name, method, body });
  }

  function countCalls(): Readonly<Record<string, number>> {
    return Object.fromEntries([...calls].sort());
  }

  function serveRead(
    response: ServerResponse,
    target: { readonly plural: string; readonly name: string | undefined },
  ): void {
    const { plural, name } = target;
    if (name === undefined) {
      const items = [...objects]
        .filter(([path]) => path.startsWith(`${plural}/`))
        .map(([, object]) => object);
      const metadata = { resourceVersion: String(version) };
      return send(response, 200, { kind: "List", metadata, items });
    }
    const object = objects.get(`${plural}/${name}`);
    if (object === undefined) return fail(response, 404, "NotFound");
    send(response, 200, object);
  }

  function serveWrite(
    response: ServerResponse,
    write: {
      readonly plural: string;
      readonly name: string | undefined;
      readonly method: string;
      readonly body: string;
    },
  ): void {
    if (write.body.length > longestValueBytes) {
      return fail(response, 413, "RequestEntityTooLarge");
    }
    const offered = JSON.parse(write.body) as StoredObject;
    const name = write.name ?? offered.metadata.name;
    const path = `${write.plural}/${name}`;
    const former = objects.get(path);
    const create = write.method === "POST";
    if (create && former !== undefined) {
      return fail(response, 409, "AlreadyExists");
    }
    if (!create && former === undefined) return fail(response, 404, "NotFound");
    const expected = offered.metadata.resourceVersion;
    if (!create && expected !== former?.metadata.resourceVersion) {
      return fail(response, 409, "Conflict");
    }
    version += 1;
    const stored: StoredObject = {
      ...offered,
      metadata: { name, resourceVersion: String(version) },
    };
    objects.set(path, stored);
    for (const watcher of watchers) {
      if (path.startsWith(watcher.prefix)) watcher.tell(stored);
    }
    if (faults.lostReplies > 0) {
      faults = { ...faults, lostReplies: faults.lostReplies - 1 };
      return void response.socket?.destroy();
    }
    send(response, create ? 201 : 200, stored);
  }

  function serveWatch(
    response: ServerResponse,
    options: { readonly plural: string; readonly url: URL },
  ): void {
    const { plural, url } = options;
    const since = Number(url.searchParams.get("resourceVersion") ?? 0);
    const seconds = Number(url.searchParams.get("timeoutSeconds") ?? 30);
    const selected = /^metadata\.name=(.+)$/.exec(
      url.searchParams.get("fieldSelector") ?? "",
    )?.[1];
    const prefix = selected === undefined
      ? `${plural}/`
      : `${plural}/${selected}`;
    response.writeHead(200, { "content-type": "application/json" });
    response.flushHeaders();
    const tell = (object: StoredObject) => {
      response.write(JSON.stringify({ type: "MODIFIED", object }) + "\n");
    };
    for (const [path, object] of objects) {
      if (!path.startsWith(prefix)) continue;
      if (Number(object.metadata.resourceVersion) > since) tell(object);
    }
    const watcher = { prefix, tell };
    watchers.add(watcher);
    const timer = setTimeout(() => response.end(), seconds * 1_000);
    response.on("close", () => {
      clearTimeout(timer);
      watchers.delete(watcher);
    });
  }

  return listen(server, options.port).then((port) => ({
    origin: `http://127.0.0.1:${port}`,
    setFaults(next) {
      faults = { ...faults, ...next };
      if (faults.down) server.closeAllConnections();
    },
    calls: countCalls,
    close: () => closeServer(server),
  }));
}

function wait(milliseconds: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, milliseconds));
}

function send(response: ServerResponse, status: number, body: unknown): void {
  response.writeHead(status, { "content-type": "application/json" });
  response.end(JSON.stringify(body));
}

function fail(response: ServerResponse, code: number, reason: string): void {
  send(response, code, { kind: "Status", status: "Failure", code, reason });
}
