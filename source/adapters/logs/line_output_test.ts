import assert from "node:assert/strict";
import { spawn } from "node:child_process";
import { once } from "node:events";
import process from "node:process";
import { describe, it } from "node:test";
import { fileURLToPath } from "node:url";

const program = fileURLToPath(
  new URL("../../../tests/stalled_log.ts", import.meta.url),
);

describe("lines to a pipe", () => {
  describe("whose reader has stopped reading", () => {
    it("are dropped once too many bytes are pending, without blocking", async () => {
      const child = spawn(process.execPath, ["--import", "tsx", program], {
        stdio: ["ignore", "pipe", "pipe"],
      });
      let report = "";
      child.stderr.setEncoding("utf8");
      child.stderr.on("data", (text) => report += text);
      // Standard output is never read: a blocking write would not return.
      assert.deepEqual(await once(child, "exit"), [0, null]);
      const { lines, written } = JSON.parse(report) as {
        readonly lines: number;
        readonly written: number;
      };
      assert.ok(written >= 1_000 && written <= 1_200, `${written}`);
      assert.ok(written < lines);
    });
  });
});
