/**
 * Tests of real agent processes with clients that operators don't control. They
 * check that each process lives and stays within the memory and the descriptors
 * of its machine, and that an ordinary request is answered afterwards.
 */
import assert from "node:assert/strict";
import { once } from "node:events";
import { readdirSync, readFileSync } from "node:fs";
import { request } from "node:http";
import { connect, type Socket } from "node:net";
import process from "node:process";
import { after, before, describe, it, type TestContext } from "node:test";
import {
  launchPlatformMesh,
  type PlatformMesh,
  type PlatformMeshAgent,
} from "../../standins/platform_mesh.ts";

const hosts = [
  { service: "timetable", zone: "kol-a", region: "kolkata" },
  { service: "timetable", zone: "sil-a", region: "siliguri" },
];

/**
 * The heap is that of the deployment. The machine has 60 MB more than the
 * smallest one, since the sources take about that much more than the build.
 */
const program = [
  process.execPath,
  "--max-old-space-size=160",
  "--import",
  "tsx",
  "source/programs/main.ts",
  "platform-agent",
];
const limits = { cpuShare: 1, cores: 1, memoryMb: 310, maxFds: 500 };
const maxHeaderBytes = 16_384;
const usualMilliseconds = 20;
/** Requests that wait behind one that takes this long are held meanwhile. */
const slowMilliseconds = 1_000;
/** A request is given up well before the crowd is looked at. */
const timeoutMilliseconds = 2_000;
/** Time for what was sent to be read, and for its answers to be held. */
const watchMilliseconds = 6_000;
const sampleMilliseconds = 50;
/** Lines of the agents' logs that are reported when a test fails. */
const reportedLines = 100;

function sleep(milliseconds: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, milliseconds));
}

let requests = 0;

/** The head of a request with a new key, followed by further header lines. */
function requestText(path: string, lines = ""): string {
  requests += 1;
  return `GET ${path} HTTP/1.1\r\nhost: studio.example\r\n` +
    `request-id: r-${requests}\r\ntimeout-ms: ${timeoutMilliseconds}\r\n` +
    `shard-key: ${(requests * 97) % 65_536}\r\n${lines}\r\n`;
}

/** Names that a plain object has without being given them. */
const oddNames = ["__proto__", "constructor", "toString", "hasOwnProperty"];

/** As many short lines, each with another name, as one request may have. */
function shortLines(): readonly string[] {
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

function look(agent: PlatformMeshAgent): Seen {
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

async function connectTo(agent: PlatformMeshAgent): Promise<Socket> {
  const [host = "", port = ""] = agent.callers.split(":");
  const socket = connect(Number(port), host);
  socket.on("error", () => undefined);
  await Promise.race([once(socket, "connect"), once(socket, "close")]);
  return socket;
}

/**
 * Sends one request as an ordinary client, which tries again after a 503.
 * Reports what each attempt got, and after how long.
 */
async function statusOfOrdinary(
  agent: PlatformMeshAgent,
  report: (text: string) => void,
): Promise<number> {
  for (let attempt = 1;; attempt += 1) {
    const start = performance.now();
    const status = await statusOf(agent);
    const milliseconds = Math.round(performance.now() - start);
    report(`${agent.host}: attempt ${attempt}: ${status}, ${milliseconds} ms`);
    if (status === 200 || attempt === 20) return status;
    await sleep(200);
  }
}

function statusOf(agent: PlatformMeshAgent): Promise<number> {
  const [host = "", port = ""] = agent.callers.split(":");
  requests += 1;
  return new Promise((resolve) => {
    const sent = request({
      host,
      port,
      path: "/slots/1",
      agent: false,
      headers: {
        host: "studio.example",
        "request-id": `r-${requests}`,
        "timeout-ms": "1500",
        "shard-key": String((requests * 97) % 65_536),
      },
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

describe("clients that operators don't control", () => {
  let mesh: PlatformMesh;
  let sockets: readonly Socket[] = [];

  /** The agent that the clients connect to; the other one gets half the keys. */
  function entry(): PlatformMeshAgent {
    const [first] = mesh.agents;
    assert.ok(first !== undefined);
    return first;
  }

  /** Checks all processes for a while, and then with an ordinary request. */
  async function assertWithinLimits(context: TestContext): Promise<void> {
    const report = (text: string) => context.diagnostic(text);
    const end = performance.now() + watchMilliseconds;
    try {
      while (performance.now() < end) {
        assertSeen(mesh.agents.map(look));
        await sleep(sampleMilliseconds);
      }
      for (const agent of mesh.agents) {
        assert.equal(await statusOfOrdinary(agent, report), 200);
      }
      assertSeen(mesh.agents.map(look));
    } catch (error) {
      for (const line of mesh.log().slice(-reportedLines)) report(line);
      throw error;
    } finally {
      report(JSON.stringify(mesh.agents.map(look)));
    }
  }

  function assertSeen(all: readonly Seen[]): void {
    for (const seen of all) {
      const within = seen.alive && seen.megabytes <= limits.memoryMb &&
        seen.descriptors <= limits.maxFds;
      assert.ok(within, `outside of its limits: ${JSON.stringify(seen)}`);
    }
  }

  async function open(count: number): Promise<readonly Socket[]> {
    sockets = await Promise.all(
      Array.from({ length: count }, () => connectTo(entry())),
    );
    return sockets;
  }

  function launchBefore(serviceMilliseconds = usualMilliseconds): void {
    before(async () => {
      const options = { hosts, serviceMilliseconds, program, limits };
      mesh = await launchPlatformMesh(options);
    });
    after(async () => {
      for (const socket of sockets) socket.destroy();
      await mesh.stop();
    });
  }

  describe("that send many requests with many header lines", () => {
    launchBefore(slowMilliseconds);

    // Guards against a process that runs out of memory: header lines took many
    // times the bytes that they were sent in.
    it("leave each process within its limits", async (context) => {
      const lines = shortLines().join("");
      for (const socket of await open(100)) {
        socket.resume();
        for (let count = 0; count < 100; count += 1) {
          socket.write(requestText("/slots/1", lines));
        }
      }
      await assertWithinLimits(context);
    });
  });

  describe("that send requests ahead and read no answer", () => {
    launchBefore();

    // Guards against a process that runs out of memory: whole answers waited
    // for clients, as many as they had sent requests.
    it("leave each process within its limits", async (context) => {
      for (const socket of await open(24)) {
        socket.pause();
        for (let count = 0; count < 250; count += 1) {
          socket.write(requestText("/slots/1?bytes=2000000"));
        }
      }
      await assertWithinLimits(context);
    });
  });

  describe("that open more connections than a process may have", () => {
    launchBefore();

    // Guards against a process that has no descriptors left for other agents,
    // its target and the store.
    it("leave each process within its limits", async (context) => {
      for (const socket of await open(800)) socket.resume();
      await assertWithinLimits(context);
    });
  });

  describe("of which one sends as many header lines as it may", () => {
    launchBefore();

    /** Names and values, in lower case, that some target received. */
    async function headersAtTarget(
      agent: PlatformMeshAgent,
      lines: string,
    ): Promise<readonly string[]> {
      for (let attempt = 1; attempt <= 20; attempt += 1) {
        const text = requestText("/slots/1", lines);
        assert.ok(text.length <= maxHeaderBytes);
        const socket = await connectTo(agent);
        socket.write(text);
        const [answer] = await once(socket, "data");
        socket.destroy();
        const id = /request-id: (\S+)/.exec(text)?.[1] ?? "";
        for (const { target } of mesh.agents) {
          const received = target.latestHeaders();
          if (String(answer).includes(" 200 ") && received.includes(id)) {
            return received.map((text) => text.toLowerCase());
          }
        }
        await sleep(200);
      }
      throw new Error("no target received the request");
    }

    // Guards against header lines that are dropped without a word: those beyond
    // 2,000, and those whose names a plain object already has.
    it("has all of them forwarded", async () => {
      const lines = shortLines();
      for (const agent of mesh.agents) {
        const received = new Set(await headersAtTarget(agent, lines.join("")));
        const missing = lines
          .map((line) => line.split(":", 1).join(""))
          .filter((name) => !received.has(name.toLowerCase()));
        const some = missing.slice(0, 3).join(", ");
        assert.equal(missing.length, 0, `missing: ${missing.length}: ${some}`);
      }
    });
  });
});
