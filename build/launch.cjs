// Runs the program from code that was compiled when it was built, so that a
// process that starts anew serves sooner.
"use strict";
const { existsSync, readFileSync } = require("node:fs");
const { createRequire, wrap } = require("node:module");
const { join } = require("node:path");
const { Script } = require("node:vm");

// The settings are read later. By default the signal would end the process.
process.on("SIGHUP", () => undefined);

const program = join(__dirname, "program.cjs");
const compiled = join(__dirname, "program.code");

const script = new Script(wrap(readFileSync(program, "latin1")), {
  filename: program,
  cachedData: existsSync(compiled) ? readFileSync(compiled) : undefined,
});
if (script.cachedDataRejected) {
  console.error("the compiled code is of another runtime: compiled anew");
}
const run = script.runInThisContext();
run(exports, createRequire(program), module, program, __dirname);

module.exports = { script, compiled };
