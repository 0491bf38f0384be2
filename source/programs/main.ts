/**
 * The command line: one program with a sub-command for each task.
 *
 * @module
 */
import process from "node:process";
import { cac } from "cac";
import { startAgent } from "./agent.ts";
import {
  applyDocument,
  checkDocument,
  diffDocument,
  showDocument,
  showDocumentStatus,
} from "./document_command.ts";
import { ExitCode } from "./exit_code.ts";
import { agentSettings, readSettings } from "./settings.ts";
import { openLogOutput, stopOnSignal } from "./stop_on_signal.ts";
import { showTimeline } from "./timeline_command.ts";
import { version } from "./version.ts";

const program = cac("geraniumledge");

function writeLine(line: string): void {
  process.stdout.write(line + "\n");
}

function writeError(line: string): void {
  process.stderr.write(line + "\n");
}

async function runAgent(flags: Record<string, unknown>): Promise<void> {
  const settings = readSettings(flags, process.env);
  if (settings.isErr) {
    writeError("geraniumledge agent: invalid settings:");
    for (const fault of settings.error) writeError(`  ${fault}`);
    process.exitCode = ExitCode.usage;
    return;
  }
  const log = openLogOutput();
  const agent = await startAgent(settings.value, { writeLog: log.write });
  if (agent.isErr) {
    writeError(`geraniumledge agent: ${agent.error}`);
    process.exitCode = ExitCode.unavailable;
    return;
  }
  stopOnSignal(agent.value, log);
}

const agentCommand = program
  .command(
    "agent",
    "run the agent of a target: route requests, grant and hold leases",
  )
  .example("  geraniumledge agent --host desk-1 --data-center kolkata-1 ...");
for (const setting of agentSettings) {
  const defaultNote = setting.defaultText === null || setting.defaultText === ""
    ? ""
    : ` (default: ${setting.defaultText})`;
  agentCommand.option(
    `--${setting.flag} <${setting.placeholder}>`,
    `${setting.text}${defaultNote} [${setting.variable}]`,
  );
}
agentCommand.action(runAgent);

program
  .command("platform-agent", "run the agent of a target on the users' platform")
  .option("--log-level <level>", "debug, info (default), warn or error")
  .example("  GERANIUMLEDGE_NODE_FILE=local.json geraniumledge platform-agent")
  .action(async (flags) => {
    const { runPlatformAgent } = await import("./platform_command.ts");
    const code = await runPlatformAgent({
      flags,
      environment: process.env,
      output: { writeLine, writeError },
    });
    if (code !== null) process.exitCode = code;
  });

const storeHelp = "the platform's object store, as http://ip:port";
const output = { writeLine, writeError };

program
  .command(
    "document <action> [file]",
    "check, diff, apply or show the operators' document, or its status",
  )
  .option("--store <origin>", `${storeHelp} [GERANIUMLEDGE_STORE]`)
  .option("--agent <ip:port>", "peer address of any agent, for status")
  .option("--section <name>", "apply only this section of the file")
  .option(
    "--author <name>",
    "name of the editor, shown to others on a conflict",
  )
  .option(
    "--base <file>",
    "file that the edit started from, to detect conflicts",
  )
  .example("  geraniumledge document check document.yaml")
  .example("  geraniumledge document apply document.yaml --section ranks")
  .example("  geraniumledge document status --agent 10.0.0.7:8081")
  .action(async (action: string, file: string | undefined, flags) => {
    const actions: Readonly<Record<string, typeof checkDocument>> = {
      check: checkDocument,
      diff: diffDocument,
      apply: applyDocument,
      show: showDocument,
      status: showDocumentStatus,
    };
    const run = Object.hasOwn(actions, action) ? actions[action] : undefined;
    if (run === undefined) {
      const known = Object.keys(actions).join(", ");
      writeError(`document: unknown action "${action}"; use one of: ${known}`);
      process.exitCode = ExitCode.usage;
      return;
    }
    process.exitCode = await run({
      file: file ?? null,
      flags,
      environment: process.env,
      output,
    });
  });

program
  .command("timeline", "gather the events of all agents in causal order")
  .option("--agent <ip:port>", "peer address of any agent")
  .option("--request <id>", "only events of this request")
  .option(
    "--format <text|html>",
    "text (default), or an HTML page with a diagram",
  )
  .example("  geraniumledge timeline --agent 10.0.0.7:8081 --format html")
  .action(async (flags) => {
    process.exitCode = await showTimeline({ flags, output });
  });

program.help((sections) => [
  ...sections,
  {
    title: "Exit codes",
    body: [
      "  0  done",
      "  1  the document has faults, or a section is not in force everywhere",
      "  2  wrong flags or settings",
      "  3  a store, agent or address can't be reached or used",
      "  4  a conflict with another operator's edit",
    ].join("\n"),
  },
]);
program.version(version);

async function main(): Promise<void> {
  try {
    program.parse(process.argv, { run: false });
    if (program.matchedCommand === undefined) {
      refuseUnknownCommand();
      return;
    }
    await program.runMatchedCommand();
  } catch (error) {
    const text = error instanceof Error ? error.message : String(error);
    writeError(`geraniumledge: ${text}; see geraniumledge --help`);
    process.exitCode = ExitCode.usage;
  }
}

function refuseUnknownCommand(): void {
  if (program.options["help"] || program.options["version"]) return;
  const [name] = program.args;
  const text = name === undefined
    ? "no command given"
    : `unknown command "${name}"`;
  writeError(`geraniumledge: ${text}; see geraniumledge --help`);
  process.exitCode = ExitCode.usage;
}

void main();
