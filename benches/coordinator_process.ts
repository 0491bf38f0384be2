/**
 * A process that runs some coordinators and reports what they have used:
 * started with the numbers of its agents, the store and the seeds.
 *
 * @module
 */
import process from "node:process";
import { startCoordinators } from "./coordinators.ts";

const [from = "0", to = "0", storeOrigin = "", seeds = ""] = process.argv
  .slice(2);
const numbers = Array.from(
  { length: Number(to) - Number(from) },
  (_, index) => Number(from) + index,
);
const { coordinators, addresses, traffic } = await startCoordinators({
  numbers,
  storeOrigin,
  seeds: seeds.split(",").filter((seed) => seed !== ""),
});

process.on("message", () => {
  const used = process.cpuUsage();
  const revisions = coordinators.map((coordinator) =>
    coordinator.configuration().revision
  );
  process.send?.({
    addresses: addresses.slice(0, 2),
    processorSeconds: (used.user + used.system) / 1e6,
    calls: traffic.calls,
    bytes: traffic.bytes,
    lowestRevision: Math.min(...revisions),
  });
});
process.send?.("started");
