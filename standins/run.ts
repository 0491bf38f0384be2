/**
 * Runs one stand-in as a process: `store PORT` or `target NAME PORT [JSON]`.
 *
 * @module
 */
import process from "node:process";
import { watchStalls } from "../source/adapters/logs/stall_watch.ts";
import { startStoreStandIn } from "./store.ts";
import { startTargetStandIn } from "./target.ts";

const [kind, ...rest] = process.argv.slice(2);
watchStalls({
  record: (event, detail) =>
    process.stdout.write(
      `${
        JSON.stringify({
          time: new Date().toISOString(),
          standIn: rest[0],
          event,
          ...detail,
        })
      }\n`,
    ),
});
if (kind === "store") {
  await startStoreStandIn({ port: Number(rest[0]) });
} else if (kind === "target") {
  const [name = "target", port = "0", behaviour = "{}"] = rest;
  await startTargetStandIn({
    name,
    port: Number(port),
    behaviour: JSON.parse(behaviour),
  });
} else {
  process.stderr.write("use: run.ts store PORT | target NAME PORT [JSON]\n");
  process.exitCode = 2;
}
