/**
 * The command that runs an agent on the users' platform. It reads the settings
 * file, reloads it when it changes, and stops the agent at a signal.
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
import type { CommandContext } from "./document_command.ts";
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

/** The settings file is also reread without SIGHUP, at this interval. */
const rereadIntervalMilliseconds = 5_000;

/**
 * Starts the agent. Resolves to an exit code if it could not be started, and to
 * null once it runs. If it can't listen, the process ends.
 */
export async function runPlatformAgent(
  context: Omit<CommandContext, "file">,
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
    output.writeError(
      `${settingsVariable} must hold the path of the settings file`,
    );
    return ExitCode.usage;
  }
  const settings = await readSettingsFile(path);
  if (settings.isErr) {
    output.writeError(`invalid settings in ${path}:`);
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
    // Tasks that have been started would keep the process alive.
    process.exit(ExitCode.unavailable);
  }
  watchSettings(path, { agent: agent.value, first: settings.value, context });
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

/**
 * Reloads the settings when their file changes. A file that can't be read or is
 * invalid leaves the previous settings in force and is reported once.
 */
function watchSettings(
  path: string,
  options: {
    readonly agent: RunningPlatformAgent;
    readonly first: PlatformSettings;
    readonly context: Pick<CommandContext, "output">;
  },
): void {
  const { agent, context } = options;
  let currentJson = JSON.stringify(options.first);
  let refusedJson = "";
  async function reread(): Promise<void> {
    const read = await readSettingsFile(path);
    const found = JSON.stringify(read);
    if (read.isErr) {
      if (found !== refusedJson) {
        context.output.writeError(
          `settings refused, the previous ones stay in force: ${
            read.error.join("; ")
          }`,
        );
      }
      refusedJson = found;
      return;
    }
    const next = JSON.stringify(read.value);
    if (next === currentJson) return;
    currentJson = next;
    agent.reload(read.value);
  }
  process.on("SIGHUP", () => void reread());
  setInterval(() => void reread(), rereadIntervalMilliseconds).unref();
}
