/**
 * Writes lines to an open file descriptor. A slow reader of a pipe or socket
 * does not block the process.
 *
 * @module
 */
import { fstatSync, writeSync } from "node:fs";
import { Socket } from "node:net";

/** An output for lines of text. */
export interface LineOutput {
  /**
   * Writes a line. Returns false when the line was dropped, because too many
   * bytes are pending or the reader has closed the pipe.
   */
  write(line: string): boolean;
  /** Resolves when all lines are written, or after this many milliseconds. */
  flush(milliseconds: number): Promise<void>;
}

/** Lines are dropped while more than this many bytes are pending. */
const maxPendingBytes = 1_000_000;
const pollMilliseconds = 5;

/** Opens an output; writes to files are synchronous. */
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
  // The reader is gone; errors cannot be reported anywhere else.
  pipe.on("error", () => broken = true);
  pipe.unref();
  return {
    write(line) {
      if (broken || pipe.writableLength > maxPendingBytes) return false;
      pipe.write(`${line}\n`);
      return true;
    },
    async flush(milliseconds) {
      const endAt = performance.now() + milliseconds;
      while (!broken && pipe.writableLength > 0 && performance.now() < endAt) {
        await new Promise((resolve) => setTimeout(resolve, pollMilliseconds));
      }
    },
  };
}
