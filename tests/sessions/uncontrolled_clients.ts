/**
 * What sessions with clients that operators don't control have in common: the
 * limits of the machines, the header lines to send, and what is checked of each
 * process and of an ordinary client.
 *
 * @module
 */
import assert from "node:assert/strict";
import type { ChildProcess } from "node:child_process";
import { once } from "node:events";
import { readdirSync, readFileSync } from "node:fs";
import { request } from "node:http";
import { connect, type Socket } from "node:net";

/** The heap of the deployment with the smallest machines, in megabytes. */
export const heapMegabytes = 160;
/**
 * The machine has 60 MB more than the smallest one, since the sources take
 * about that much more than the build.
 */
export const limits = { cpuShare: 1, cores: 1, memoryMb: 310, maxFds: 500 };
/** The longest header fields of a request. */
export const maxHeaderBytes = 16_384;
/** Time for what was sent to be read, and for its answers to be held. */
const watchMilliseconds = 6_000;
const sampleMilliseconds = 50;
/** Lines of the agents' logs that are reported when a test fails. */
const reportedLines = 100;

/** An agent process to check. */
export interface CheckedAgent {
  readonly host: string;
  /** Where callers connect. */
  readonly callers: string;
  process(): ChildProcess;
}

/** Waits for some time. */
export function sleep(milliseconds: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, milliseconds));
}

/** Names that a plain object has without being given them. */
const oddNames = ["__proto__", "constructor", "toString", "hasOwnProperty"];

/** As many short lines, each with another name, as one request may have. */
export function shortLines(): readonly string[] {
  const odd = oddNames.map((name) => `${name}: odd\r\n`);
  const room = maxHeaderBytes - 200 - odd.join("").length;
  const count = Math.floor(room / "zaaa:\r\n".length);
  const short = Array.from(
    { length: count },
    (_, index) => `z${index.toString(36).padStart(3, "a")}:\r\n`,
  );
  return [...odd, ...short];
}

/** What was seen of one process. */
interface Seen {
  readonly host: string;
  readonly alive: boolean;
  /** The most resident memory that it ever had. */
  readonly megabytes: number;
  readonly descriptors: number;
}

function look(agent: CheckedAgent): Seen {
  const { host } = agent;
  const { pid, exitCode, signalCode } = agent.process();
  try {
    const status = readFileSync(`/proc/${pid}/status`, "utf8");
    const kilobytes = Number(/VmHWM:\s+(\d+)/.exec(status)?.[1] ?? NaN);
    return {
      host,
      alive: exitCode === null && signalCode === null,
      megabytes: Math.round(kilobytes / 1_024),
      descriptors: readdirSync(`/proc/${pid}/fd`).length,
    };
  } catch {
    return { host, alive: false, megabytes: NaN, descriptors: NaN };
  }
}

function assertSeen(all: readonly Seen[]): void {
  for (const seen of all) {
    const within = seen.alive && seen.megabytes <= limits.memoryMb &&
      seen.descriptors <= limits.maxFds;
    assert.ok(within, `outside of its limits: ${JSON.stringify(seen)}`);
  }
}

/** Connects to the callers' address of an agent. */
export async function connectTo(
  { callers }: Pick<CheckedAgent, "callers">,
): Promise<Socket> {
  const [host = "", port = ""] = callers.split(":");
  const socket = connect(Number(port), host);
  socket.on("error", () => undefined);
  await Promise.race([once(socket, "connect"), once(socket, "close")]);
  return socket;
}

/** A request of an ordinary client. */
export interface OrdinaryRequest {
  readonly path: string;
  readonly headers: Readonly<Record<string, string>>;
}

/**
 * Sends one request as an ordinary client, which tries again after a 503.
 * Reports what each attempt got, and after how long.
 */
async function statusOfOrdinary(
  agent: CheckedAgent,
  options: CheckOptions,
): Promise<number> {
  for (let attempt = 1;; attempt += 1) {
    const start = performance.now();
    const status = await statusOf(agent, options.ordinary());
    const milliseconds = Math.round(performance.now() - start);
    options.report(
      `${agent.host}: attempt ${attempt}: ${status}, ${milliseconds} ms`,
    );
    if (status === 200 || attempt === 20) return status;
    await sleep(200);
  }
}

function statusOf(
  { callers }: CheckedAgent,
  ordinary: OrdinaryRequest,
): Promise<number> {
  const [host = "", port = ""] = callers.split(":");
  return new Promise((resolve) => {
    const sent = request({
      host,
      port,
      agent: false,
      ...ordinary,
    }, (answer) => {
      answer.resume();
      answer.once(
        "close",
        () => resolve(answer.complete ? answer.statusCode ?? 0 : 0),
      );
    });
    sent.once("error", () => resolve(0));
    sent.end();
  });
}

/** What the checks need besides the agents. */
export interface CheckOptions {
  /** The next request of an ordinary client. */
  readonly ordinary: () => OrdinaryRequest;
  /** The lines of all agents' logs so far. */
  readonly log: () => readonly string[];
  readonly report: (text: string) => void;
}

/** Checks all processes for a while, and then with an ordinary request. */
export async function assertWithinLimits(
  agents: readonly CheckedAgent[],
  options: CheckOptions,
): Promise<void> {
  const { report } = options;
  const end = performance.now() + watchMilliseconds;
  try {
    while (performance.now() < end) {
      assertSeen(agents.map(look));
      await sleep(sampleMilliseconds);
    }
    for (const agent of agents) {
      assert.equal(await statusOfOrdinary(agent, options), 200);
    }
    assertSeen(agents.map(look));
  } catch (error) {
    for (const line of options.log().slice(-reportedLines)) report(line);
    throw error;
  } finally {
    report(JSON.stringify(agents.map(look)));
  }
}
