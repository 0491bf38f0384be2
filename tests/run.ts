/**
 * Runs all tests, or those whose paths contain one of the arguments, with
 * Node's test runner. The exit status is 1 if a test fails in a way that
 * KNOWN-RED.txt does not list. The entries of that list are printed.
 *
 * @module
 */
import { readdirSync, readFileSync } from "node:fs";
import { join, resolve } from "node:path";
import process from "node:process";
import { finished } from "node:stream/promises";
import { run } from "node:test";
import { tap } from "node:test/reporters";
import { fileURLToPath } from "node:url";
import { isKnownFailure, parseKnownFailures } from "./known_failures.ts";

const root = fileURLToPath(new URL("..", import.meta.url));
const folders = ["source", "platform", "standins", "tests"];
const maxConcurrentFiles = 4;
/** One session of real processes already uses all processors. */
const maxConcurrentSessions = 1;
/** A file that runs for longer is ended, and fails. */
const maxFileMilliseconds = 600_000;
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

const pathFilters = process.argv.slice(2);
const files = folders.flatMap(testFiles)
  .filter((file) =>
    pathFilters.length === 0 || pathFilters.some((part) => file.includes(part))
  )
  .map((file) => join(root, file));
const list = readFileSync(join(root, "KNOWN-RED.txt"), "utf8");
const knownFailures = parseKnownFailures(list);
for (const { test, failure } of knownFailures) {
  process.stdout.write(`known red: ${test} (${failure})\n`);
}

/** For each file the names from the outermost suite to the latest test. */
const paths = new Map<string, readonly string[]>();

async function runFiles(
  files: readonly string[],
  concurrency: number,
): Promise<void> {
  if (files.length === 0) return;
  const results = run({
    files: [...files],
    concurrency,
    timeout: maxFileMilliseconds,
  });
  results.on("test:start", ({ file = "", name, nesting }) => {
    const outer = (paths.get(file) ?? []).slice(0, nesting);
    paths.set(file, [...outer, name]);
  });
  results.on("test:fail", ({ file = "", name, nesting, details }) => {
    // A suite fails when its tests do; these are checked one by one.
    const error: unknown = details.error;
    if (failureType(error) === "subtestsFailed") return;
    const path = [...(paths.get(file) ?? []).slice(0, nesting), name];
    if (!isKnownFailure(knownFailures, { path, message: messageOf(error) })) {
      process.exitCode = 1;
    }
  });
  // The runner passes a file that has ended without running a test.
  results.on("test:pass", ({ file = "", name, nesting }) => {
    if (nesting > 0 || resolve(name) !== file) return;
    process.stdout.write(`no test has run: ${file}\n`);
    process.exitCode = 1;
  });
  const output = results.compose(tap);
  output.pipe(process.stdout);
  await finished(output);
}

const sessions = files.filter((file) => file.includes(sessionFolder));
await runFiles(
  files.filter((file) => !sessions.includes(file)),
  maxConcurrentFiles,
);
await runFiles(sessions, maxConcurrentSessions);
// What a file that was ended has started may hold its output open.
process.exit();

function failureType(error: unknown): string {
  return typeof error === "object" && error !== null && "failureType" in error
    ? String(error.failureType)
    : "";
}

/** All messages of the error and its causes: the runner wraps errors. */
function messageOf(error: unknown): string {
  if (!(error instanceof Error)) return String(error);
  return `${error.message}\n${messageOf(error.cause ?? "")}`;
}
