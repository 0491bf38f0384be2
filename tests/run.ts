/**
 * Runs all tests with the runtime's test runner, but for those that
 * KNOWN-RED.txt lists, and prints that list.
 *
 * @module
 */
import { spawn } from "node:child_process";
import { readdirSync, readFileSync } from "node:fs";
import { join } from "node:path";
import process from "node:process";
import { fileURLToPath } from "node:url";

const root = fileURLToPath(new URL("..", import.meta.url));
const folders = ["source", "standins", "tests"];

function testFiles(folder: string): readonly string[] {
  return readdirSync(join(root, folder), { withFileTypes: true })
    .flatMap((entry) => {
      const path = join(folder, entry.name);
      if (entry.isDirectory()) return testFiles(path);
      return entry.name.endsWith("_test.ts") ? [path] : [];
    })
    .sort();
}

/** An entry's first line is `test: FILE > NAME`. */
function knownRed(): readonly string[] {
  const text = readFileSync(join(root, "KNOWN-RED.txt"), "utf8");
  return text.split("\n")
    .filter((line) => line.startsWith("test: "))
    .map((line) => line.slice("test: ".length).trim());
}

const wanted = process.argv.slice(2);
const files = folders.flatMap(testFiles)
  .filter((file) =>
    wanted.length === 0 || wanted.some((part) => file.includes(part))
  );
const red = knownRed();
for (const entry of red) {
  process.stdout.write(`known red, passed over: ${entry}\n`);
}

const child = spawn(
  process.execPath,
  ["--import", "tsx", "--test", "--test-concurrency=4", ...files],
  {
    cwd: root,
    stdio: "inherit",
    env: { ...process.env, KNOWN_RED: JSON.stringify(red) },
  },
);
child.on("exit", (code) => {
  process.exitCode = code ?? 1;
});
