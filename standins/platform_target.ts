/**
 * A stand-in for a target by the users' platform's protocol: it reports
 * itself, runs requests in its slots, and runs a keyed request only while it
 * holds the key.
 *
 * @module
 */
import { type IncomingMessage, type ServerResponse } from "node:http";
import { setTimeout as pause } from "node:timers/promises";
import {
  type HeartbeatKeys,
  type KeyAnswer,
  startHeartbeatKeys,
} from "./heartbeat_keys.ts";
import { closeServer, listen, readText, serverOf } from "./http_server.ts";

/** A span of keys that the target holds. */
interface Hold {
  readonly from: number;
  readonly last: number;
  readonly fence: number;
  readonly until: number;
}

/** One request that began here. */
export interface PlatformRun {
  readonly request: string;
  readonly target: string;
  readonly key: number | null;
  readonly callerService: string;
}

/** A running target. */
export interface PlatformTargetStandIn {
  readonly address: string;
  readonly id: string;
  runs(): readonly PlatformRun[];
  /** Names and values of the header lines of the latest run, in turn. */
  latestHeaders(): readonly string[];
  holds(key: number): boolean;
  /** Orders to hold are answered, or take effect and lose their answer. */
  setSilent(silent: boolean): void;
  setHeartbeats(mode: HeartbeatMode): void;
  /** What answers to heartbeats have broken the protocol. */
  violations(): readonly string[];
  report(state: "ready" | "draining"): Promise<number>;
  leave(): Promise<number>;
  close(): Promise<void>;
}

/**
 * Heartbeats are sent as usual, not at all, late, or twice, or their answers
 * are lost.
 */
export type HeartbeatMode = "sent" | "lost" | "late" | "doubled" | "unanswered";

const heartbeatMilliseconds = 300;
/** How late heartbeats are; a process sends others before they arrive. */
const lateMilliseconds = 700;
/** The next heartbeat of a target that has keys to release. */
const releasingMilliseconds = 80;
/** A longer answer is not read. */
const maxAnswerBytes = 4_096;
/** A later answer acknowledges nothing. */
const acknowledgeMilliseconds = 1_000;

/** Above what the desired state allows, with the fields that agents add. */
const maxHeaderBytes = 65_536;

/** The length that a path asks of its answer, as in `?bytes=1000`; 0 if none. */
function statedBytes(path: string): number {
  return Number(/[?&]bytes=(\d{1,8})/.exec(path)?.[1] ?? 0);
}

/** Starts a target; its heartbeats go to the address of its agent. */
export async function startPlatformTarget(options: {
  readonly id: string;
  readonly service: string;
  readonly zone: string;
  readonly slots: number;
  readonly keyed: boolean;
  /** Whether it learns its keys from answers to its heartbeats. */
  readonly keysByHeartbeat?: boolean;
  readonly port: number;
  /** Where its agent hears heartbeats. */
  readonly heartbeats: string;
  readonly serviceMilliseconds: number;
}): Promise<PlatformTargetStandIn> {
  const { id } = options;
  const born = Date.now();
  const runs: PlatformRun[] = [];
  let holds: readonly Hold[] = [];
  const fences = new Map<number, number>();
  let sequence = 0;
  let state: "ready" | "draining" = "ready";
  let silent = false;
  let running = 0;
  let mode: HeartbeatMode = "sent";
  let longAnswers = 0;
  let again: ReturnType<typeof setTimeout> | null = null;
  const heartbeatKeys: HeartbeatKeys | null = options.keysByHeartbeat === true
    ? startHeartbeatKeys(id)
    : null;

  const server = serverOf(serve, { maxHeaderSize: maxHeaderBytes });
  // Without this, lines beyond 2,000 are dropped.
  server.maxHeadersCount = 0;
  let latestHeaders: readonly string[] = [];

  async function serve(
    message: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    if (message.url === "/geraniumledge/grant") {
      return grant(response, JSON.parse(await readText(message)));
    }
    if (message.url === "/geraniumledge/release") {
      return release(response, JSON.parse(await readText(message)));
    }
    await run(message, response);
  }

  function grant(response: ServerResponse, order: {
    readonly from: number;
    readonly target: number;
    readonly fence: number;
    readonly hold_time: string;
  }): void {
    const { from, target: last, fence } = order;
    for (let key = from; key <= last; key += 1) {
      if ((fences.get(key) ?? 0) > fence) {
        return void response.writeHead(409).end();
      }
    }
    const until = Date.now() + parseFloat(order.hold_time);
    holds = [...holds.filter((hold) => hold.from !== from), {
      from,
      last,
      fence,
      until,
    }];
    for (let key = from; key <= last; key += 1) fences.set(key, fence);
    if (silent) return void response.socket?.destroy();
    response.writeHead(200).end();
  }

  function release(response: ServerResponse, order: {
    readonly from: number;
    readonly target: number;
    readonly fence: number;
  }): void {
    const { from, target: last } = order;
    holds = holds.flatMap((hold) => [
      { ...hold, last: Math.min(hold.last, from - 1) },
      { ...hold, from: Math.max(hold.from, last + 1) },
    ]).filter((hold) => hold.from <= hold.last);
    for (let key = from; key <= last; key += 1) fences.set(key, order.fence);
    response.writeHead(200, { handover: `${id}-${from}` }).end();
  }

  function holdsKey(key: number): boolean {
    if (heartbeatKeys !== null) return heartbeatKeys.holds(key, Date.now());
    return holds.some((hold) =>
      hold.from <= key && hold.last >= key && hold.until > Date.now()
    );
  }

  async function run(
    message: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const request = String(message.headers["request-id"] ?? "");
    const stated = message.headers["shard-key"];
    const key = options.keyed && stated !== undefined ? Number(stated) : null;
    const misdirected = message.headers["target-instance"] !== id ||
      (key !== null && !holdsKey(key));
    if (misdirected || running >= options.slots) {
      message.resume();
      response.writeHead(misdirected ? 421 : 503, {
        "not-executed": "1",
        "request-id": request,
      });
      return void response.end();
    }
    running += 1;
    if (key !== null) heartbeatKeys?.begin(key);
    runs.push({
      request,
      target: id,
      key,
      callerService: String(message.headers["caller-service"] ?? ""),
    });
    latestHeaders = message.rawHeaders;
    await readText(message);
    await new Promise((resolve) =>
      setTimeout(resolve, options.serviceMilliseconds)
    );
    running -= 1;
    if (key !== null) heartbeatKeys?.finish(key);
    response.writeHead(200, {
      "request-id": request,
      "response-signature": `signed-by-${id}`,
      "server-load": `${running},0,${options.slots}`,
    });
    const text = `answer of ${id} to ${request}`;
    response.end(text.padEnd(statedBytes(message.url ?? "")));
  }

  const port = await listen(server, options.port);
  const address = `127.0.0.1:${port}`;

  async function tell(
    method: string,
    body: string | null,
    onAnswer: (text: string) => void = () => undefined,
  ): Promise<number> {
    const url = `http://${options.heartbeats}/geraniumledge/instances/${id}`;
    try {
      const answer = await fetch(url, {
        method,
        ...(body === null ? {} : { body }),
        signal: AbortSignal.timeout(acknowledgeMilliseconds),
      });
      const text = await answer.text();
      if (answer.status === 200) onAnswer(text);
      return answer.status;
    } catch {
      return 0;
    }
  }

  async function beat(): Promise<number> {
    if (mode === "lost") return 0;
    sequence += 1;
    const sent = { sequence, sentAt: Date.now() };
    const body = heartbeat();
    if (mode === "late") await pause(lateMilliseconds);
    if (mode === "doubled") void tell("PUT", body, apply);
    return tell("PUT", body, apply);

    function apply(text: string): void {
      if (mode === "unanswered" || heartbeatKeys === null) return;
      if (text.length > maxAnswerBytes) {
        longAnswers += 1;
        return;
      }
      const answer = JSON.parse(text) as KeyAnswer;
      heartbeatKeys.apply(answer, { ...sent, now: Date.now() });
      if (!heartbeatKeys.releasing() || again !== null) return;
      again = setTimeout(() => {
        again = null;
        void beat();
      }, releasingMilliseconds);
    }
  }

  function heartbeat(): string {
    return JSON.stringify({
      address,
      born,
      info: {
        service: options.service,
        version: "v1",
        zone: options.zone,
        slots: options.slots,
      },
      status: { state, sequence, coldRemaining: "0ms" },
      ...heartbeatKeys?.report(sequence, Date.now()),
    });
  }

  function stopBeating(): void {
    clearInterval(timer);
    if (again !== null) clearTimeout(again);
    mode = "lost";
  }

  const timer = setInterval(() => void beat(), heartbeatMilliseconds);
  return {
    address,
    id,
    runs: () => runs,
    latestHeaders: () => latestHeaders,
    holds: holdsKey,
    setSilent(value) {
      silent = value;
    },
    setHeartbeats(next) {
      mode = next;
    },
    violations: () => [
      ...heartbeatKeys?.violations() ?? [],
      ...longAnswers > 0 ? [`${longAnswers} answers are too long`] : [],
    ],
    report(next) {
      state = next;
      return beat();
    },
    leave() {
      stopBeating();
      return tell("DELETE", null);
    },
    async close() {
      stopBeating();
      await closeServer(server);
    },
  };
}
