/**
 * A planned stop by signal, and the log that is written until its end.
 *
 * @module
 */
import process from "node:process";
import {
  type LineOutput,
  openLineOutput,
} from "../adapters/logs/line_output.ts";
import { ExitCode } from "./exit_code.ts";

const standardOutput = 1;
/** Lines that still wait at the end are given this long, in milliseconds. */
const flushMilliseconds = 100;

/** Opens the log of an agent. */
export function openLogOutput(): LineOutput {
  return openLineOutput(standardOutput);
}

/** Stops an agent as planned at the first signal, and ends the process. */
export function stopOnSignal(
  agent: { stop(): Promise<void> },
  log: LineOutput,
): void {
  let stopping = false;
  async function stop(): Promise<void> {
    if (stopping) return;
    stopping = true;
    await agent.stop();
    await log.flush(flushMilliseconds);
    process.exit(ExitCode.success);
  }
  process.on("SIGTERM", () => void stop());
  process.on("SIGINT", () => void stop());
}
