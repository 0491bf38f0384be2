/**
 * What requests cost the agents of the platform build, in processor time, at
 * the rate of a machine that serves little.
 *
 * @module
 */
import { execFileSync } from "node:child_process";
import { mkdtempSync, readFileSync, rmSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import process from "node:process";
import { checkBounds, round, show } from "./bench.ts";
import { measureMesh } from "./platform_mesh_load.ts";

/** From the target: for control, a node spends at most 1% of a core. */
const controlShare = 0.01;
const requestsPerSecondOfAgent = 60;

/** Measures the build as it is deployed. */
export async function benchPlatform(): Promise<boolean> {
  const folder = mkdtempSync(join(tmpdir(), "geraniumledge-"));
  try {
    execFileSync("bash", ["build/platform.sh", folder]);
    const cost = await measureMesh([
      process.execPath,
      ...deployedOptions(),
      join(folder, "geraniumledge.cjs"),
      "platform-agent",
    ], {
      requestsPerSecondOfAgent,
      spans: 6,
      spanSeconds: 2.5,
      idleSeconds: 6,
    });
    for (const span of cost.spans) {
      show(
        `${
          round(span.processorMilliseconds)
        } ms of processor time a request, ` +
          `p50 ${round(span.p50Milliseconds)} ms, ` +
          `p90 ${round(span.p90Milliseconds)} ms, ` +
          `${span.answered} of ${span.requests} answered`,
      );
    }
    return checkBounds([{
      name: "processor time of an agent without requests, as a part of a core",
      value: cost.idleShare,
      most: controlShare,
    }]);
  } finally {
    rmSync(folder, { recursive: true });
  }
}

function deployedOptions(): readonly string[] {
  const settings = readFileSync("deploy/system.toml", "utf8");
  const command = /^run = "node (.*)"$/m.exec(settings)?.[1] ?? "";
  return command.split(" ").filter((word) => word.startsWith("--"));
}
