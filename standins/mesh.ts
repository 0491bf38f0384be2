/**
 * A small mesh on this machine, as separate processes: a store and targets as
 * stand-ins, an agent beside each target, and the example document. Serves a
 * few requests, shows what they did, and goes on until it is interrupted.
 *
 * @module
 */
import process from "node:process";
import { launchMesh, type Mesh } from "./processes.ts";

function show(text: string): void {
  process.stdout.write(text + "\n");
}

async function demonstrate(mesh: Mesh): Promise<void> {
  const entry = mesh.agents.find((agent) => agent.service === "booking");
  if (entry === undefined) return;
  const path = "/timetable/kathak-beginners/slots";
  const url = `http://${entry.callerAddress}${path}`;
  show(`\n$ curl -i ${url}`);
  const answer = await fetch(url, { headers: { "x-request-id": "first" } });
  show(`${answer.status} ${answer.headers.get("geraniumledge-outcome")}`);
  show(await answer.text());
  const timeline = await mesh.command([
    "timeline",
    "--agent",
    entry.peerAddress,
    "--request",
    "first",
  ]);
  show(`\nWhat the request did:\n${timeline.output}`);
  const status = await mesh.command([
    "document",
    "status",
    "--store",
    mesh.storeOrigin,
    "--agent",
    entry.peerAddress,
  ]);
  show(`What is in force:\n${status.output}`);
}

const once = process.argv.includes("--once");
show("starting a store, 5 targets and 5 agents as separate processes ...");
const mesh = await launchMesh({
  document: "examples/studios.yaml",
  targets: [
    { service: "timetable", dataCenter: "kolkata-1", region: "kolkata" },
    { service: "timetable", dataCenter: "kolkata-2", region: "kolkata" },
    { service: "timetable", dataCenter: "siliguri-1", region: "siliguri" },
    { service: "booking", dataCenter: "kolkata-1", region: "kolkata" },
    { service: "media", dataCenter: "durgapur-1", region: "durgapur" },
  ],
});
await demonstrate(mesh);
if (once) {
  await mesh.stop();
} else {
  show("The mesh goes on; agents take requests at:");
  for (const agent of mesh.agents) {
    show(`  http://${agent.callerAddress}  (beside ${agent.host})`);
  }
  show("Interrupt with Ctrl-C to stop it.");
  process.on("SIGINT", () => void mesh.stop().then(() => process.exit(0)));
}
