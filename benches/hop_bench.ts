/**
 * What an agent adds: latency through one and through two agents against
 * going straight to the target, and processor time for each request.
 *
 * @module
 */
import {
  launchMesh,
  type Mesh,
  type MeshAgent,
} from "../standins/processes.ts";
import { type LoadReport, runLoad } from "../standins/load.ts";
import { checkBounds, round, show } from "./bench.ts";
import { processorSeconds } from "./processor_time.ts";

const seconds = 6;
const warmUpSeconds = 3;
const deadlineMilliseconds = 500;
/** From the target: 22 million requests a second on 10,000 nodes. */
const requestsPerSecondOfNode = 2_200;
/** From the target: 99 in 100 within 9 ms, the target's own time included. */
const p99Milliseconds = 9;

interface Measured {
  readonly p50: number;
  readonly p99: number;
  readonly answered: number;
  readonly sent: number;
}

function load(
  address: string,
  options: { readonly requestsPerSecond: number; readonly seconds: number },
): Promise<LoadReport> {
  return runLoad({
    addresses: [address],
    kinds: [{
      rank: "lookup",
      requestsPerSecond: options.requestsPerSecond,
      deadlineMilliseconds,
      method: "GET",
      path: "/booking",
      serviceMilliseconds: 1,
      value: 1,
    }],
    seconds: options.seconds,
    seed: 31,
    keys: 1,
  });
}

async function measure(
  address: string,
  requestsPerSecond: number,
): Promise<Measured> {
  await load(address, { requestsPerSecond, seconds: warmUpSeconds });
  const report = await load(address, { requestsPerSecond, seconds });
  const [summary] = report.ranks;
  return {
    p50: summary?.p50Milliseconds ?? 0,
    p99: summary?.p99Milliseconds ?? 0,
    answered: summary?.inTime ?? 0,
    sent: summary?.sent ?? 0,
  };
}

function describe(name: string, measured: Measured): void {
  show(
    `${name}: p50 ${round(measured.p50)} ms, p99 ${round(measured.p99)} ms, ` +
      `${measured.answered} of ${measured.sent} in time`,
  );
}

function beside(mesh: Mesh, service: string): MeshAgent {
  const found = mesh.agents.find((agent) => agent.service === service);
  if (found === undefined) throw new Error(`no agent beside ${service}`);
  return found;
}

/** Measures straight, one agent and two agents at two rates. */
export async function benchHop(): Promise<boolean> {
  const place = { dataCenter: "kolkata-1", region: "kolkata" };
  const mesh = await launchMesh({
    document: "examples/studios.yaml",
    targets: [
      { service: "booking", ...place, slots: 64 },
      { service: "media", ...place },
    ],
  });
  const owner = beside(mesh, "booking");
  const other = beside(mesh, "media");
  let kept = true;
  for (const rate of [300, requestsPerSecondOfNode]) {
    show(`\n${rate} requests a second`);
    const straight = await measure(owner.targetAddress, rate);
    describe("  straight to the target", straight);
    const before = processorSeconds(owner.agentProcess.pid ?? 0);
    const one = await measure(owner.callerAddress, rate);
    const used = processorSeconds(owner.agentProcess.pid ?? 0) - before;
    describe("  through one agent", one);
    const two = await measure(other.callerAddress, rate);
    describe("  through two agents", two);
    const each = used * 1e6 / (rate * (seconds + warmUpSeconds));
    show(
      `  processor time of one agent: ${round(each)} microseconds a request`,
    );
    show(
      `  added at p50: ${round(one.p50 - straight.p50)} ms by one agent, ` +
        `${round(two.p50 - straight.p50)} ms by two`,
    );
    kept = checkBounds([
      {
        name: `p99 through two agents at ${rate} a second, ms`,
        value: two.p99,
        most: p99Milliseconds,
      },
      {
        name: `answered in time through two agents at ${rate} a second`,
        value: two.answered / two.sent,
        least: 0.99,
      },
      {
        name: `p50 through two agents against straight at ${rate} a second`,
        value: two.p50 / straight.p50,
        most: 4,
      },
    ]) && kept;
  }
  await mesh.stop();
  return kept;
}
