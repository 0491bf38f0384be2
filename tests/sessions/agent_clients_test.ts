/**
 * Tests of processes of `geraniumledge agent` with clients that operators don't
 * control. They check that each process lives and stays within the memory and
 * the descriptors of its machine, and that an ordinary request is answered
 * afterwards.
 */
import assert from "node:assert/strict";
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import type { Socket } from "node:net";
import { tmpdir } from "node:os";
import { join } from "node:path";
import process from "node:process";
import { after, before, describe, it, type TestContext } from "node:test";
import { launchMesh, type Mesh } from "../../standins/processes.ts";
import {
  assertWithinLimits,
  type CheckedAgent,
  connectTo,
  heapMegabytes,
  limits,
  shortLines,
} from "./uncontrolled_clients.ts";

const program = [
  process.execPath,
  `--max-old-space-size=${heapMegabytes}`,
  "--import",
  "tsx",
  "source/programs/main.ts",
];
const flags = [
  ...["--memory", String(limits.memoryMb)],
  ...["--descriptors", String(limits.maxFds)],
];
const usualMilliseconds = 20;
/** Requests that wait behind one that takes this long are held meanwhile. */
const slowMilliseconds = 1_000;
/** A request is given up well before the crowd is looked at. */
const timeoutMilliseconds = 2_000;

let requests = 0;

/** The fields of a request with a new key. */
function fieldsOf(milliseconds: number) {
  requests += 1;
  return {
    host: "studio.example",
    "x-request-id": `r-${requests}`,
    "geraniumledge-deadline-milliseconds": String(milliseconds),
    "geraniumledge-key": String((requests * 97) % 65_536),
  };
}

/** The head of a request with a new key, followed by further header lines. */
function requestText(path: string, lines = ""): string {
  const own = Object.entries(fieldsOf(timeoutMilliseconds))
    .map(([name, value]) => `${name}: ${value}\r\n`);
  return `GET ${path} HTTP/1.1\r\n${own.join("")}${lines}\r\n`;
}

function ordinaryRequest() {
  return { path: "/timetable/1", headers: fieldsOf(1_500) };
}

describe("an agent with clients that operators don't control", () => {
  let mesh: Mesh;
  let sockets: readonly Socket[] = [];

  function checked(): readonly CheckedAgent[] {
    return mesh.agents.map(({ host, callerAddress, agentProcess }) => ({
      host,
      callers: callerAddress,
      process: () => agentProcess,
    }));
  }

  async function open(count: number): Promise<readonly Socket[]> {
    // The other agent gets half of the keys.
    const [entry] = checked();
    assert.ok(entry !== undefined);
    sockets = await Promise.all(
      Array.from({ length: count }, () => connectTo(entry)),
    );
    return sockets;
  }

  function check(context: TestContext): Promise<void> {
    return assertWithinLimits(checked(), {
      ordinary: ordinaryRequest,
      log: mesh.log,
      report: (text) => context.diagnostic(text),
    });
  }

  function launchBefore(serviceMilliseconds = usualMilliseconds): void {
    before(async () => {
      const folder = mkdtempSync(join(tmpdir(), "geraniumledge-"));
      const document = join(folder, "studios.yaml");
      // The deadlines of these clients are longer than those of the example.
      const text = readFileSync("examples/studios.yaml", "utf8")
        .replace("longest_deadline: 1s", "longest_deadline: 2s");
      writeFileSync(document, text);
      const behaviour = { serviceMilliseconds };
      mesh = await launchMesh({
        document,
        targets: [
          { dataCenter: "kolkata-1", region: "kolkata" },
          { dataCenter: "siliguri-1", region: "siliguri" },
        ].map((place) => ({ service: "timetable", behaviour, ...place })),
        flags,
        program,
      });
      rmSync(folder, { recursive: true });
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
          socket.write(requestText("/timetable/1", lines));
        }
      }
      await check(context);
    });
  });

  describe("that send requests ahead and read no answer", () => {
    launchBefore();

    // Guards against a process that runs out of memory: answers waited for
    // clients, as many as they had sent requests.
    it("leave each process within its limits", async (context) => {
      for (const socket of await open(24)) {
        socket.pause();
        for (let count = 0; count < 250; count += 1) {
          socket.write(requestText("/timetable/1?bytes=2000000"));
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
});
