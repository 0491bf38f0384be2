/**
 * A mesh of coordinators over a few processes and one store stand-in.
 *
 * @module
 */
import { type ChildProcess, fork } from "node:child_process";
import { fileURLToPath } from "node:url";
import { openStore } from "../source/adapters/store/store_client.ts";
import { startStoreStandIn } from "../standins/store.ts";

/** What all coordinators together have used so far. */
export interface MeshTotals {
  readonly processorSeconds: number;
  readonly calls: number;
  readonly bytes: number;
  readonly lowestRevision: number;
  readonly storeCalls: number;
}

/** A running mesh of coordinators. */
export interface CoordinatorMesh {
  totals(): Promise<MeshTotals>;
  edit(text: string): Promise<void>;
  stop(): Promise<void>;
}

interface Report extends Omit<MeshTotals, "storeCalls"> {
  readonly addresses: readonly string[];
}

/** One process can run so many without being the bottleneck. */
const agentsPerProcess = 34;

const program = fileURLToPath(
  new URL("coordinator_process.ts", import.meta.url),
);

/** Starts so many coordinators. */
export async function launchCoordinators(options: {
  readonly count: number;
  readonly document: string;
}): Promise<CoordinatorMesh> {
  const store = await startStoreStandIn({ port: 0 });
  const operator = openStore({
    origin: store.origin,
    timeoutMilliseconds: 5_000,
    metrics: { count: () => undefined, time: () => undefined },
  });
  async function edit(text: string): Promise<void> {
    const former = await operator.documents.read("main");
    const version = former.isOk ? former.value?.version ?? null : null;
    await operator.documents.write("main", { text, author: "bench" }, {
      version,
    });
  }
  await edit(options.document);
  const children: ChildProcess[] = [];
  let seeds: readonly string[] = [];
  for (let from = 0; from < options.count; from += agentsPerProcess) {
    const to = Math.min(options.count, from + agentsPerProcess);
    const child = fork(
      program,
      [String(from), String(to), store.origin, seeds.join(",")],
      { execArgv: ["--import", "tsx"] },
    );
    await answerOf(child);
    children.push(child);
    seeds = [...seeds, ...(await ask(child)).addresses];
  }
  return {
    async totals() {
      const reports = await Promise.all(children.map(ask));
      const sum = (pick: (report: Report) => number) =>
        reports.reduce((sum, report) => sum + pick(report), 0);
      const counts = Object.values(store.calls());
      return {
        processorSeconds: sum((report) => report.processorSeconds),
        calls: sum((report) => report.calls),
        bytes: sum((report) => report.bytes),
        lowestRevision: Math.min(
          ...reports.map((report) => report.lowestRevision),
        ),
        storeCalls: counts.reduce((sum, count) => sum + count, 0),
      };
    },
    edit,
    async stop() {
      for (const child of children) child.kill("SIGKILL");
      await operator.close();
      await store.close();
    },
  };
}

function answerOf(child: ChildProcess): Promise<unknown> {
  return new Promise((resolve) => child.once("message", resolve));
}

async function ask(child: ChildProcess): Promise<Report> {
  const answer = answerOf(child);
  child.send("report");
  return await answer as Report;
}
