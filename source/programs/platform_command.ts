/**
 * The command that runs an agent on the users' platform: reads the settings
 * file, follows its changes, and stops when it is told to.
 *
 * @module
 */
import { readFile } from "node:fs/promises";
import process from "node:process";
import { Result } from "true-myth";
import { settingsVariable } from "../../platform/names.ts";
import {
  type PlatformSettings,
  readPlatformSettings,
} from "../../platform/settings.ts";
import type { LogLevel } from "../adapters/logs/log.ts";
import type { DocumentCall } from "./document_command.ts";
import { ExitCode } from "./exit_code.ts";
import {
  type RunningPlatformAgent,
  startPlatformAgent,
} from "./platform_agent.ts";
import { openLogOutput, stopOnSignal } from "./stop_on_signal.ts";

const logLevels: ReadonlySet<string> = new Set<LogLevel>([
  "debug",
  "info",
  "warn",
  "error",
]);

/** The file may change without a signal; it is looked at this often. */
const rereadMilliseconds = 5_000;

/** Starts the agent; brings an exit code, or null while it runs. */
export async function runPlatformAgent(
  context: Omit<DocumentCall, "file">,
): Promise<number | null> {
  const { output, environment } = context;
  const level = String(context.flags["logLevel"] ?? "info");
  if (!logLevels.has(level)) {
    output.writeError(
      `--log-level must be one of ${[...logLevels].join(", ")}`,
    );
    return ExitCode.usage;
  }
  const path = environment[settingsVariable] ?? "";
  if (path === "") {
    output.writeError(`${settingsVariable} must hold the settings file's path`);
    return ExitCode.usage;
  }
  const settings = await readSettingsFile(path);
  if (settings.isErr) {
    output.writeError(`these settings in ${path} must be mended:`);
    for (const fault of settings.error) output.writeError(`  ${fault}`);
    return ExitCode.usage;
  }
  const log = openLogOutput();
  const agent = await startPlatformAgent(settings.value, {
    logLevel: level as LogLevel,
    writeLog: log.write,
  });
  if (agent.isErr) {
    output.writeError(`can't listen: ${agent.error}`);
    // What has started meanwhile would go on without its listeners.
    process.exit(ExitCode.unavailable);
  }
  followSettings(path, { agent: agent.value, first: settings.value, context });
  stopOnSignal(agent.value, log);
  return null;
}

async function readSettingsFile(
  path: string,
): Promise<Result<PlatformSettings, readonly string[]>> {
  try {
    return readPlatformSettings(await readFile(path, "utf8"));
  } catch (error) {
    const text = error instanceof Error ? error.message : String(error);
    return Result.err([text]);
  }
}

/** A file that can't be used leaves the former settings in force. */
function followSettings(
  path: string,
  options: {
    readonly agent: RunningPlatformAgent;
    readonly first: PlatformSettings;
    readonly context: Pick<DocumentCall, "output">;
  },
): void {
  const { agent, context } = options;
  let inForce = JSON.stringify(options.first);
  let refused = "";
  async function look(): Promise<void> {
    const read = await readSettingsFile(path);
    const found = JSON.stringify(read);
    if (read.isErr) {
      if (found !== refused) {
        context.output.writeError(
          `settings refused, the former ones stay: ${read.error.join("; ")}`,
        );
      }
      refused = found;
      return;
    }
    const next = JSON.stringify(read.value);
    if (next === inForce) return;
    inForce = next;
    agent.reload(read.value);
  }
  process.on("SIGHUP", () => void look());
  setInterval(() => void look(), rereadMilliseconds).unref();
}
