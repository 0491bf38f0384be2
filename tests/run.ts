/**
 * Runs all tests with the runtime's test runner. A failure counts unless
 * KNOWN-RED.txt lists the test; what it lists is printed.
 *
 * @module
 */
import { readdirSync, readFileSync } from "node:fs";
import { join } from "node:path";
import process from "node:process";
import { run } from "node:test";
import { tap } from "node:test/reporters";
import { fileURLToPath } from "node:url";

const root = fileURLToPath(new URL("..", import.meta.url));
const folders = ["source", "standins", "tests"];
const filesAtOnce = 4;

function testFiles(folder: string): readonly string[] {
  return readdirSync(join(root, folder), { withFileTypes: true })
    .flatMap((entry) => {
      const path = join(folder, entry.name);
      if (entry.isDirectory()) return testFiles(path);
      return entry.name.endsWith("_test.ts") ? [path] : [];
    })
    .sort();
}

/** The names in lines such as `test: serves its keys again`. */
function knownRed(): ReadonlySet<string> {
  const text = readFileSync(join(root, "KNOWN-RED.txt"), "utf8");
  const names = text.split("\n")
    .filter((line) => line.startsWith("test: "))
    .map((line) => line.slice("test: ".length).trim());
  return new Set(names);
}

const wanted = process.argv.slice(2);
const files = folders.flatMap(testFiles)
  .filter((file) =>
    wanted.length === 0 || wanted.some((part) => file.includes(part))
  )
  .map((file) => join(root, file));
const red = knownRed();
for (const name of red) process.stdout.write(`known red: ${name}\n`);

const results = run({ files, concurrency: filesAtOnce });
results.on("test:fail", (event) => {
  // A suite fails with its tests, which are judged by themselves.
  const cause: unknown = event.details.error;
  const type = typeof cause === "object" && cause !== null &&
      "failureType" in cause
    ? cause.failureType
    : "";
  if (type === "subtestsFailed" || red.has(event.name)) return;
  process.exitCode = 1;
});
results.compose(tap).pipe(process.stdout);
