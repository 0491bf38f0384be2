/**
 * Starts the product and its stand-ins as separate processes on the loopback
 * address, for the demonstration, sessions and benches.
 *
 * @module
 */
import type { ChildProcess } from "node:child_process";
import { once } from "node:events";
import process from "node:process";
import { type Children, openChildren } from "./children.ts";
import { freePort, type GivePort } from "./ports.ts";
import type { Run, TargetBehaviour } from "./target.ts";

/** One target and its agent. */
export interface MeshTarget {
  readonly service: string;
  readonly dataCenter: string;
  readonly region: string;
  readonly slots?: number;
  readonly behaviour?: Partial<TargetBehaviour>;
}

/** One agent of a mesh, with its processes. */
export interface MeshAgent {
  readonly host: string;
  readonly service: string;
  readonly callerAddress: string;
  readonly peerAddress: string;
  readonly targetAddress: string;
  readonly agentProcess: ChildProcess;
  readonly targetProcess: ChildProcess;
  /** Starts the agent anew after its process has ended. */
  restart(): Promise<MeshAgent>;
}

/** What a command printed, and its exit code. */
export interface CommandResult {
  readonly output: string;
  readonly code: number;
}

/** A running mesh. */
export interface Mesh {
  readonly storeOrigin: string;
  readonly agents: readonly MeshAgent[];
  /** Log lines of all agents so far. */
  log(): readonly string[];
  command(words: readonly string[]): Promise<CommandResult>;
  setStoreFaults(faults: Readonly<Record<string, unknown>>): Promise<void>;
  storeCalls(): Promise<Readonly<Record<string, number>>>;
  behave(agent: MeshAgent, change: Partial<TargetBehaviour>): Promise<void>;
  runs(): Promise<readonly Run[]>;
  stop(): Promise<void>;
}

/** What a mesh is made of. */
export interface MeshOptions {
  readonly document: string;
  readonly targets: readonly MeshTarget[];
  /** Further flags of each agent. */
  readonly flags?: readonly string[];
  /** The program to run as agent; the sources when not stated. */
  readonly program?: readonly string[];
  /** Brings the ports that its processes listen on; usually any free ones. */
  readonly givePort?: GivePort;
}

const sources = [process.execPath, "--import", "tsx"];
const agentProgram = [...sources, "source/programs/main.ts"];
/** As the example documents state it. */
const slicesPerGroup = 128;

/**
 * Starts everything and waits until the document is in force. Ends what it has
 * started when that fails.
 */
export async function launchMesh(options: MeshOptions): Promise<Mesh> {
  const children = openChildren();
  try {
    return await startMesh(options, children);
  } catch (error) {
    await children.stop();
    throw error;
  }
}

async function startMesh(
  options: MeshOptions,
  children: Children,
): Promise<Mesh> {
  const { program = agentProgram, givePort = freePort } = options;
  const storePort = await givePort();
  const storeOrigin = `http://127.0.0.1:${storePort}`;
  const store = children.launch([
    ...sources,
    "standins/run.ts",
    "store",
    String(storePort),
  ]);
  await children.until(() => answers(`${storeOrigin}/-/calls`), [store]);

  async function command(words: readonly string[]): Promise<CommandResult> {
    const child = children.launch([...program, ...words]);
    let output = "";
    for (const stream of [child.stdout, child.stderr]) {
      stream?.on("data", (data) => output += String(data));
    }
    const [code] = await once(child, "close") as [number | null];
    return { output, code: code ?? 1 };
  }

  const applied = await command([
    "document",
    "apply",
    options.document,
    "--store",
    storeOrigin,
    "--author",
    "mesh",
  ]);
  if (applied.code !== 0) throw new Error(applied.output);

  async function launchAgent(
    target: MeshTarget,
    index: number,
  ): Promise<MeshAgent> {
    const host = `${target.service}-${index + 1}`;
    const [callerPort, peerPort, targetPort] = await Promise.all([
      givePort(),
      givePort(),
      givePort(),
    ]);
    const slots = target.slots ?? 8;
    const behaviour = { slots, ...target.behaviour };
    const targetProcess = children.launch([
      ...sources,
      "standins/run.ts",
      "target",
      host,
      String(targetPort),
      JSON.stringify(behaviour),
    ]);
    const callerAddress = `127.0.0.1:${callerPort}`;
    const peerAddress = `127.0.0.1:${peerPort}`;
    const targetAddress = `127.0.0.1:${targetPort}`;
    const words = [
      ...program,
      "agent",
      ...["--host", host],
      ...["--data-center", target.dataCenter],
      ...["--region", target.region],
      ...["--service", target.service],
      ...["--listen", callerAddress],
      ...["--peer-listen", peerAddress],
      ...["--target", targetAddress],
      ...["--slots", String(slots)],
      ...["--checks-fencing", String(behaviour.checksFencing ?? false)],
      ...["--store", storeOrigin],
      ...(options.flags ?? []),
    ];
    await children.until(() => answers(`http://${targetAddress}/health`), [
      targetProcess,
    ]);
    const start = async (): Promise<MeshAgent> => {
      const agentProcess = children.launch(words);
      await children.until(() => answers(`http://${peerAddress}/-/ready`), [
        agentProcess,
      ]);
      return {
        host,
        service: target.service,
        callerAddress,
        peerAddress,
        targetAddress,
        agentProcess,
        targetProcess,
        restart: start,
      };
    };
    return await start();
  }

  const agents = await Promise.all(options.targets.map(launchAgent));
  await children.until(
    () => settled(agents),
    agents.map(({ agentProcess }) => agentProcess),
  );
  return {
    storeOrigin,
    agents,
    log: children.lines,
    command,
    async setStoreFaults(faults) {
      await put(`${storeOrigin}/-/faults`, faults);
    },
    async storeCalls() {
      const answer = await fetch(`${storeOrigin}/-/calls`);
      return await answer.json() as Record<string, number>;
    },
    async behave(agent, change) {
      await put(`http://${agent.targetAddress}/-/behaviour`, change);
    },
    async runs() {
      const lists = await Promise.all(agents.map(async (agent) => {
        const answer = await fetch(`http://${agent.targetAddress}/-/runs`);
        return await answer.json() as Run[];
      }));
      return lists.flat();
    },
    stop: children.stop,
  };
}

/** Whether every group is granted by an outsider and evenly divided. */
async function settled(agents: readonly MeshAgent[]): Promise<boolean> {
  const states = await Promise.all(agents.map(stateOf));
  const groups = new Set(states.map((state) => state.group));
  groups.delete("");
  return [...groups].every((group) => {
    const members = states.filter((state) => state.group === group);
    const grantors = states.filter((state) =>
      state.grants.split(",").includes(group)
    );
    const outsiders = states.some((state) => state.group !== group);
    const slices = members.map((state) => state.slices);
    const sum = slices.reduce((sum, count) => sum + count, 0);
    return sum >= slicesPerGroup && grantors.length === 1 &&
      grantors.every((state) => !outsiders || state.group !== group) &&
      Math.max(...slices) <= 1.5 * sum / members.length;
  });
}

/** What an agent says of itself. */
export interface AgentState {
  readonly agent: string;
  readonly revision: number;
  readonly fresh: boolean;
  readonly phase: string;
  readonly group: string;
  readonly slices: number;
  readonly grants: string;
}

/** Asks an agent for its state. */
export async function stateOf(agent: MeshAgent): Promise<AgentState> {
  const answer = await fetch(`http://${agent.peerAddress}/-/state`);
  return await answer.json() as AgentState;
}

async function put(url: string, body: unknown): Promise<void> {
  const answer = await fetch(url, {
    method: "PUT",
    body: JSON.stringify(body),
  });
  await answer.text();
}

/** Whether a page answers with success. */
export async function answers(url: string): Promise<boolean> {
  try {
    const answer = await fetch(url, { signal: AbortSignal.timeout(1_000) });
    await answer.text();
    return answer.ok;
  } catch {
    return false;
  }
}
