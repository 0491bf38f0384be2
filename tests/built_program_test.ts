/**
 * Tests of the built program for the users' platform: a restarted process must
 * use the code that the build has compiled and not compile it again.
 */
import assert from "node:assert/strict";
import { execFileSync, spawnSync } from "node:child_process";
import { mkdtempSync, readFileSync, rmSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import process from "node:process";
import { after, before, describe, it } from "node:test";
import { fileURLToPath } from "node:url";

const root = fileURLToPath(new URL("..", import.meta.url));
const compiledAnew = /compiled anew/;

/** Node's options on the command line that is deployed. */
function deployedOptions(): readonly string[] {
  const settings = readFileSync(join(root, "deploy/system.toml"), "utf8");
  const command = /^run = "node (.*)"$/m.exec(settings)?.[1] ?? "";
  return command.split(" ").filter((word) => word.startsWith("--"));
}

describe("the built program", () => {
  let folder = "";

  before(() => {
    folder = mkdtempSync(join(tmpdir(), "geraniumledge-"));
    execFileSync("bash", ["build/platform.sh", folder], { cwd: root });
  });
  after(() => rmSync(folder, { recursive: true }));

  function version(options: readonly string[]) {
    const launcher = join(folder, "geraniumledge.cjs");
    const args = [...options, launcher, "--version"];
    const ended = spawnSync(process.execPath, args, { encoding: "utf8" });
    return { output: ended.stdout, errors: ended.stderr };
  }

  it("starts from its compiled code", () => {
    const { output, errors } = version(deployedOptions());
    assert.match(output, /^geraniumledge\//);
    assert.equal(errors, "");
  });

  it("compiles anew with options that do not match the compiled code", () => {
    const { output, errors } = version(["--max-old-space-size=161"]);
    assert.match(output, /^geraniumledge\//);
    assert.match(errors, compiledAnew);
  });

  it("starts when the compiled code is missing", () => {
    rmSync(join(folder, "program.code"));
    const { output, errors } = version(deployedOptions());
    assert.match(output, /^geraniumledge\//);
    assert.equal(errors, "");
  });
});
