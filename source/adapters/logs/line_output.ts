/**
 * Lines to an open file descriptor, without waiting for whoever reads them.
 *
 * @module
 */
import { fstatSync, writeSync } from "node:fs";
import { Socket } from "node:net";

/** Where lines go. */
export interface LineOutput {
  /** False when the line was left out, since too much is waiting. */
  write(line: string): boolean;
  /** Resolves when nothing waits, or after this many milliseconds. */
  flush(milliseconds: number): Promise<void>;
}

/** Bytes that may wait for a reader; lines beyond are left out. */
const mostWaitingBytes = 1_000_000;
const pollMilliseconds = 5;

/** Opens an output; a pipe's reader that stops reading blocks nothing. */
export function openLineOutput(descriptor: number): LineOutput {
  const status = fstatSync(descriptor);
  return status.isFIFO() || status.isSocket()
    ? pipeOutput(descriptor)
    : fileOutput(descriptor);
}

function fileOutput(descriptor: number): LineOutput {
  return {
    write(line) {
      writeSync(descriptor, `${line}\n`);
      return true;
    },
    flush: () => Promise.resolve(),
  };
}

function pipeOutput(descriptor: number): LineOutput {
  const pipe = new Socket({ fd: descriptor, readable: false, writable: true });
  let broken = false;
  // There is nobody left to tell.
  pipe.on("error", () => broken = true);
  pipe.unref();
  return {
    write(line) {
      if (broken || pipe.writableLength > mostWaitingBytes) return false;
      pipe.write(`${line}\n`);
      return true;
    },
    async flush(milliseconds) {
      const end = performance.now() + milliseconds;
      while (!broken && pipe.writableLength > 0 && performance.now() < end) {
        await new Promise((resolve) => setTimeout(resolve, pollMilliseconds));
      }
    },
  };
}
