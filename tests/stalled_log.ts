/**
 * A program that writes far more lines to its standard output than a pipe
 * buffers, and reports on its standard error how many it wrote.
 *
 * @module
 */
import process from "node:process";
import { openLineOutput } from "../source/adapters/logs/line_output.ts";

const line = "x".repeat(999);
const lines = 20_000;

const log = openLineOutput(1);
let written = 0;
for (let index = 0; index < lines; index += 1) {
  if (log.write(line)) written += 1;
}
process.stderr.write(JSON.stringify({ lines, written }));
await log.flush(50);
process.exit(0);
