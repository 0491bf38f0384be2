import assert from "node:assert/strict";
import { spawn } from "node:child_process";
import { once } from "node:events";
import { copyFileSync, mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import process from "node:process";
import { after, before, describe, it } from "node:test";

/** Signals itself while it is loaded, and ends by itself later. */
const program = `process.kill(process.pid, "SIGHUP");
setTimeout(() => process.exit(7), 100);`;

describe("a program that is told of changed settings while it is loaded", () => {
  let folder = "";
  before(() => {
    folder = mkdtempSync(join(tmpdir(), "launch-"));
    copyFileSync("build/launch.cjs", join(folder, "launch.cjs"));
    writeFileSync(join(folder, "program.cjs"), program);
  });
  after(() => rmSync(folder, { recursive: true }));

  // Guards against processes that end by themselves (LOST): until the settings
  // were watched, the signal had its default effect.
  it("goes on", async () => {
    const child = spawn(process.execPath, [join(folder, "launch.cjs")]);
    assert.deepEqual(await once(child, "exit"), [7, null]);
  });
});
