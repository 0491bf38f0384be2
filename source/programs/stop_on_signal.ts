/**
 * Runs the planned stop of an agent at a signal, and writes the log until the
 * process ends.
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
/** How long the process waits at its end for buffered log lines. */
const flushTimeoutMilliseconds = 100;

/** Opens the log of an agent, on the standard output. */
export function openLogOutput(): LineOutput {
  return openLineOutput(standardOutput);
}

/**
 * At the first SIGTERM or SIGINT, runs the planned stop, flushes the log and
 * ends the process. Later signals are ignored.
 */
export function stopOnSignal(
  agent: { stop(): Promise<void> },
  log: LineOutput,
): void {
  let stopping = false;
  async function stop(): Promise<void> {
    if (stopping) return;
    stopping = true;
    await agent.stop();
    await log.flush(flushTimeoutMilliseconds);
    process.exit(ExitCode.success);
  }
  process.on("SIGTERM", () => void stop());
  process.on("SIGINT", () => void stop());
}
