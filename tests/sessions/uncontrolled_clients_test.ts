/**
 * Tests of real agent processes with clients that operators don't control. They
 * check that each process lives and stays within the memory and the descriptors
 * of its machine, and that an ordinary request is answered afterwards.
 */
import assert from "node:assert/strict";
import { once } from "node:events";
import type { Socket } from "node:net";
import process from "node:process";
import { after, before, describe, it, type TestContext } from "node:test";
import {
  launchPlatformMesh,
  type PlatformMesh,
  type PlatformMeshAgent,
} from "../../standins/platform_mesh.ts";
import {
  assertWithinLimits,
  connectTo,
  heapMegabytes,
  limits,
  maxHeaderBytes,
  shortLines,
  sleep,
} from "./uncontrolled_clients.ts";

const hosts = [
  { service: "timetable", zone: "kol-a", region: "kolkata" },
  { service: "timetable", zone: "sil-a", region: "siliguri" },
];

const program = [
  process.execPath,
  `--max-old-space-size=${heapMegabytes}`,
  "--import",
  "tsx",
  "source/programs/main.ts",
  "platform-agent",
];
const usualMilliseconds = 20;
/** Requests that wait behind one that takes this long are held meanwhile. */
const slowMilliseconds = 1_000;
/** A request is given up well before the crowd is looked at. */
const timeoutMilliseconds = 2_000;

let requests = 0;

/** The head of a request with a new key, followed by further header lines. */
function requestText(path: string, lines = ""): string {
  requests += 1;
  return `GET ${path} HTTP/1.1\r\nhost: studio.example\r\n` +
    `request-id: r-${requests}\r\ntimeout-ms: ${timeoutMilliseconds}\r\n` +
    `shard-key: ${(requests * 97) % 65_536}\r\n${lines}\r\n`;
}

function ordinaryRequest() {
  requests += 1;
  return {
    path: "/slots/1",
    headers: {
      host: "studio.example",
      "request-id": `r-${requests}`,
      "timeout-ms": "1500",
      "shard-key": String((requests * 97) % 65_536),
    },
  };
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

  function check(context: TestContext): Promise<void> {
    return assertWithinLimits(mesh.agents, {
      ordinary: ordinaryRequest,
      log: mesh.log,
      report: (text) => context.diagnostic(text),
    });
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
      await check(context);
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
      await check(context);
    });
  });

  describe("that open more connections than a process may have", () => {
    launchBefore();

    // Guards against a process that has no descriptors left for other agents,
    // its target and the store.
    it("leave each process within its limits", async (context) => {
      for (const socket of await open(800)) socket.resume();
      await check(context);
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
