/**
 * Runs all tests with the runtime's test runner. A failure counts unless
 * KNOWN-RED.txt lists the test and that failure; what it lists is printed.
 *
 * @module
 */
import { readdirSync, readFileSync } from "node:fs";
import { join } from "node:path";
import process from "node:process";
import { finished } from "node:stream/promises";
import { run } from "node:test";
import { tap } from "node:test/reporters";
import { fileURLToPath } from "node:url";
import { isKnownFailure, parseKnownFailures } from "./known_failures.ts";

const root = fileURLToPath(new URL("..", import.meta.url));
const folders = ["source", "platform", "standins", "tests"];
const filesAtOnce = 4;
/** Sessions of real processes keep the processors busy by themselves. */
const sessionsAtOnce = 1;
const sessionFolder = join("tests", "sessions");

function testFiles(folder: string): readonly string[] {
  return readdirSync(join(root, folder), { withFileTypes: true })
    .flatMap((entry) => {
      const path = join(folder, entry.name);
      if (entry.isDirectory()) return testFiles(path);
      return entry.name.endsWith("_test.ts") ? [path] : [];
    })
    .sort();
}

const wanted = process.argv.slice(2);
const files = folders.flatMap(testFiles)
  .filter((file) =>
    wanted.length === 0 || wanted.some((part) => file.includes(part))
  )
  .map((file) => join(root, file));
const list = readFileSync(join(root, "KNOWN-RED.txt"), "utf8");
const red = parseKnownFailures(list);
for (const { test, failure } of red) {
  process.stdout.write(`known red: ${test} (${failure})\n`);
}

/** For each file the names from the outermost suite to the test begun last. */
const paths = new Map<string, readonly string[]>();

async function runFiles(
  files: readonly string[],
  concurrency: number,
): Promise<void> {
  if (files.length === 0) return;
  const results = run({ files: [...files], concurrency });
  results.on("test:start", ({ file = "", name, nesting }) => {
    const outer = (paths.get(file) ?? []).slice(0, nesting);
    paths.set(file, [...outer, name]);
  });
  results.on("test:fail", ({ file = "", name, nesting, details }) => {
    // A suite fails with its tests, which are judged by themselves.
    const error: unknown = details.error;
    if (failureType(error) === "subtestsFailed") return;
    const path = [...(paths.get(file) ?? []).slice(0, nesting), name];
    if (!isKnownFailure(red, { path, message: messageOf(error) })) {
      process.exitCode = 1;
    }
  });
  const output = results.compose(tap);
  output.pipe(process.stdout);
  await finished(output);
}

const sessions = files.filter((file) => file.includes(sessionFolder));
await runFiles(
  files.filter((file) => !sessions.includes(file)),
  filesAtOnce,
);
await runFiles(sessions, sessionsAtOnce);

function failureType(error: unknown): string {
  return typeof error === "object" && error !== null && "failureType" in error
    ? String(error.failureType)
    : "";
}

/** The runner wraps what the test threw. */
function messageOf(error: unknown): string {
  if (!(error instanceof Error)) return String(error);
  return `${error.message}\n${messageOf(error.cause ?? "")}`;
}
