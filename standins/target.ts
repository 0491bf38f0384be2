/**
 * A stand-in for a target: it has slots, checks fencing tokens if told to,
 * starts cold, sheds, drains, and honours deadlines and cancellation. It
 * keeps a record of every run, so that tests can count them.
 *
 * @module
 */
import { type IncomingMessage, type ServerResponse } from "node:http";
import { closeServer, listen, readText, serverOf } from "./http_server.ts";

/** One request that began here. */
export interface Run {
  readonly request: string;
  readonly target: string;
  readonly key: string;
  readonly rank: string;
  readonly token: string;
  /** Wall clock, milliseconds. */
  readonly beganAt: number;
  readonly endedAt: number | null;
  /** Whether the request took effect, or was cancelled before. */
  readonly effect: boolean;
  readonly bodyBytes: number;
}

/** How a target behaves; tests change it while it runs. */
export interface TargetBehaviour {
  readonly slots: number;
  readonly serviceMilliseconds: number;
  /** A cold target takes this much longer, ever less over `coldMilliseconds`. */
  readonly coldFactor: number;
  readonly coldMilliseconds: number;
  readonly checksFencing: boolean;
  readonly phase: "serving" | "leaving";
  /** Beyond its slots it refuses work as not run, or takes it and slows. */
  readonly overload: "refuse" | "slow";
  /** Refuses this part of the requests, 0 to 1, as not run. */
  readonly shedShare: number;
  /** What the health page says, whatever the truth. */
  readonly healthReport: "true" | "serving" | "leaving";
  /** Breaks the connection in the middle of each answer. */
  readonly truncates: boolean;
}

/** A running target. */
export interface TargetStandIn {
  readonly address: string;
  behave(change: Partial<TargetBehaviour>): void;
  runs(): readonly Run[];
  forgetRuns(): void;
  close(): Promise<void>;
}

/** A target that runs requests for 2 ms each in 8 slots. */
export const usualBehaviour: TargetBehaviour = {
  slots: 8,
  serviceMilliseconds: 2,
  coldFactor: 1,
  coldMilliseconds: 0,
  checksFencing: false,
  phase: "serving",
  overload: "refuse",
  shedShare: 0,
  healthReport: "true",
  truncates: false,
};

/** Starts a target on a port; 0 takes any that is free. */
export async function startTargetStandIn(options: {
  readonly name: string;
  readonly port: number;
  readonly behaviour?: Partial<TargetBehaviour>;
}): Promise<TargetStandIn> {
  const { name } = options;
  const startedAt = performance.now();
  let behaviour = { ...usualBehaviour, ...options.behaviour };
  let running = 0;
  let sheds = 0;
  let runs: Run[] = [];
  const newestTokens = new Map<string, string>();

  const server = serverOf(serve);

  async function serve(
    message: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    switch (message.url) {
      case "/health":
        return sendHealth(response);
      case "/-/runs":
        return sendJson(response, { status: 200, body: runs });
      case "/-/behaviour": {
        const change = JSON.parse(await readText(message));
        behaviour = { ...behaviour, ...change };
        return sendJson(response, { status: 200, body: behaviour });
      }
      default:
        return await run(message, response);
    }
  }

  function sendHealth(response: ServerResponse): void {
    const phase = behaviour.healthReport === "true"
      ? behaviour.phase
      : behaviour.healthReport;
    const status = phase === "serving" ? 200 : 503;
    sendJson(response, { status, body: { phase, running } });
  }

  async function run(
    message: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const refusal = refusalOf(message);
    if (refusal !== null) {
      message.resume();
      return sendJson(response, {
        status: 503,
        body: { refused: refusal },
        refusedRequest: field(message, "x-request-id"),
      });
    }
    running += 1;
    const index = runs.length;
    runs.push(beginRun(message));
    const bodyBytes = await countBytes(message);
    const complete = message.complete &&
      await work(message, { response, bodyBytes });
    running -= 1;
    const begun = runs[index];
    if (begun === undefined) return;
    runs[index] = {
      ...begun,
      endedAt: Date.now(),
      effect: complete,
      bodyBytes,
    };
    if (complete) answer(response, { message, bodyBytes });
    else response.destroy();
  }

  function refusalOf(message: IncomingMessage): string | null {
    if (behaviour.phase === "leaving") return "leaving";
    if (running >= behaviour.slots && behaviour.overload === "refuse") {
      return "no slot is free";
    }
    sheds += behaviour.shedShare;
    if (sheds >= 1) {
      sheds -= 1;
      return "shedding";
    }
    return behaviour.checksFencing ? fencingFault(message) : null;
  }

  function fencingFault(message: IncomingMessage): string | null {
    const slice = field(message, "geraniumledge-slice");
    if (slice === "") return null;
    const token = field(message, "geraniumledge-fencing-token");
    const leaseEnd = Number(field(message, "geraniumledge-lease-ends-at"));
    if (Date.now() >= leaseEnd) return "the lease has ended";
    const newest = newestTokens.get(slice) ?? "0.0";
    if (orderOf(token) < orderOf(newest)) return "the token is stale";
    newestTokens.set(slice, token);
    return null;
  }

  function beginRun(message: IncomingMessage): Run {
    return {
      request: field(message, "x-request-id"),
      target: name,
      key: field(message, "geraniumledge-key") || keyInPath(message.url ?? ""),
      rank: field(message, "geraniumledge-rank"),
      token: field(message, "geraniumledge-fencing-token"),
      beganAt: Date.now(),
      endedAt: null,
      effect: false,
      bodyBytes: 0,
    };
  }

  /** Whether the work came to its end before it was cancelled or too late. */
  function work(
    message: IncomingMessage,
    options: {
      readonly response: ServerResponse;
      readonly bodyBytes: number;
    },
  ): Promise<boolean> {
    const stated = field(message, "x-standin-service-milliseconds");
    const usual = stated === ""
      ? behaviour.serviceMilliseconds
      : Number(stated);
    const crowding = Math.max(1, running / behaviour.slots);
    const needed = usual * coldness() * crowding;
    const allowed = Number(
      field(message, "geraniumledge-deadline-milliseconds") || Infinity,
    );
    return new Promise((resolve) => {
      const late = needed > allowed;
      const timer = setTimeout(
        () => resolve(!late && !leaseLost(message)),
        Math.min(needed, allowed),
      );
      options.response.on("close", () => {
        clearTimeout(timer);
        resolve(false);
      });
    });
  }

  /** A target that checks tokens looks again before the effect. */
  function leaseLost(message: IncomingMessage): boolean {
    if (!behaviour.checksFencing) return false;
    const slice = field(message, "geraniumledge-slice");
    if (slice === "") return false;
    const token = field(message, "geraniumledge-fencing-token");
    return orderOf(token) < orderOf(newestTokens.get(slice) ?? "0.0");
  }

  function coldness(): number {
    const age = performance.now() - startedAt;
    if (age >= behaviour.coldMilliseconds) return 1;
    const left = 1 - age / behaviour.coldMilliseconds;
    return 1 + (behaviour.coldFactor - 1) * left;
  }

  function answer(
    response: ServerResponse,
    options: { readonly message: IncomingMessage; readonly bodyBytes: number },
  ): void {
    const text = JSON.stringify({
      servedBy: name,
      request: field(options.message, "x-request-id"),
      bodyBytes: options.bodyBytes,
    });
    // Space after the end of a JSON text has no meaning.
    const body = text.padEnd(answerBytesIn(options.message.url ?? ""));
    response.writeHead(200, {
      "content-type": "application/json",
      "content-length": body.length,
    });
    if (!behaviour.truncates) return void response.end(body);
    response.write(body.slice(0, 10));
    setTimeout(() => response.destroy(), 5);
  }

  const port = await listen(server, options.port);
  return {
    address: `127.0.0.1:${port}`,
    behave(change) {
      behaviour = { ...behaviour, ...change };
    },
    runs: () => runs,
    forgetRuns() {
      runs = [];
    },
    close: () => closeServer(server),
  };
}

function field(message: IncomingMessage, name: string): string {
  const value = message.headers[name];
  return typeof value === "string" ? value : "";
}

/** How long an answer is to be at least, which a request may state. */
function answerBytesIn(path: string): number {
  return Number(/[?&]bytes=(\d+)/.exec(path)?.[1] ?? 0);
}

function keyInPath(path: string): string {
  return path.split("?")[0]?.split("/")[2] ?? "";
}

function orderOf(token: string): number {
  const [epoch = "0", sequence = "0"] = token.split(".");
  return Number(epoch) * 1e9 + Number(sequence);
}

async function countBytes(message: IncomingMessage): Promise<number> {
  let bytes = 0;
  try {
    for await (const chunk of message) bytes += (chunk as Uint8Array).length;
  } catch {
    return bytes;
  }
  return bytes;
}

function sendJson(
  response: ServerResponse,
  options: {
    readonly status: number;
    readonly body: unknown;
    /** The id of the request that has not run, in a refusal. */
    readonly refusedRequest?: string;
  },
): void {
  const { refusedRequest } = options;
  response.writeHead(options.status, {
    "content-type": "application/json",
    ...(refusedRequest === undefined ? {} : {
      "geraniumledge-outcome": "not-run",
      "geraniumledge-refused-request": refusedRequest,
    }),
  });
  response.end(JSON.stringify(options.body));
}
